//! Assignment of a request's tasks to machines.

use super::SchedulingPass;
use super::request::TaskRequest;
use crate::ids::{AttemptNumber, MachineId, Resources, TaskAttempt, TaskId};
use crate::peers::Allotment;
use crate::placement::pending_allotment::PendingAllotment;
use crate::placement::queue_turns::QueueTurn;
use crate::placement::ranking::preferred_machines;
use crate::placement::zone_constraint::ZoneConstraint;
use crate::protocol::JobKind;
use crate::store::rate_limiter::RequestClass;

/// The machines that were found for a request.
#[derive(Default)]
pub(super) struct Assignment {
    /// The allotments, each with its candidate index.
    pub allotments: Vec<(usize, PendingAllotment)>,
    /// The number of tasks that found no machine.
    pub unassigned: u64,
    /// Whether a machine was skipped because its record could not be written: the write budget was
    /// exhausted.
    pub write_budget_exhausted: bool,
}

impl Assignment {
    /// Returns the number of tasks that found a machine.
    pub(super) fn task_count(&self) -> usize {
        self.allotments
            .iter()
            .map(|(_, allotment)| allotment.task_count())
            .sum()
    }
}

impl<'a> SchedulingPass<'a, '_> {
    /// Assigns the tasks of a request to the ranked machines, best first, and reserves their
    /// capacity. Stops when all tasks are assigned; tasks that no machine can take remain
    /// unassigned.
    pub(super) fn assign(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        ranked: &[usize],
        mut zones: ZoneConstraint,
    ) -> Assignment {
        let mut remaining = request.indices.iter().copied().peekable();
        let mut assignment = Assignment::default();
        for (rank, candidate_index) in ranked.iter().copied().enumerate() {
            if !self.try_acquire_record_write(turn, candidate_index) {
                assignment.write_budget_exhausted = true;
                continue;
            }
            let mut indices = Vec::new();
            while remaining.peek().is_some()
                && self.try_take_task(turn, candidate_index, &mut zones)
            {
                indices.extend(remaining.next());
            }
            if indices.is_empty() {
                continue;
            }
            let candidate = &self.candidates[candidate_index];
            let only_candidate = zones.is_constrained();
            let preferred =
                preferred_machines(candidate, &ranked[rank..], &self.candidates, only_candidate);
            let attempts = self.attempts(turn, indices, request.attempt_number);
            let allotment = self.pending_allotment(turn, candidate_index, attempts, preferred);
            assignment.allotments.push((candidate_index, allotment));
            if remaining.peek().is_none() {
                break;
            }
        }
        assignment.unassigned = remaining.count() as u64;
        assignment
    }

    /// Returns whether a machine's record may be written for a job. For an array, this takes a
    /// write from the budget unless the record is to be written anyway. Services and gangs are
    /// never delayed by the write budget.
    fn try_acquire_record_write(&mut self, turn: QueueTurn<'a>, candidate_index: usize) -> bool {
        if turn.kind() != JobKind::Array || self.input.has_pending_write[candidate_index] {
            return true;
        }
        let acquired =
            self.state
                .record_writes
                .try_acquire(self.input.now, 1.0, RequestClass::Place);
        self.input.has_pending_write[candidate_index] |= acquired;
        acquired
    }

    /// Reserves the resources of one more task on a machine. Returns `false` if the machine or its
    /// record has no capacity left, or the job's zone constraint does not allow the machine.
    fn try_take_task(
        &mut self,
        turn: QueueTurn<'a>,
        candidate_index: usize,
        zones: &mut ZoneConstraint,
    ) -> bool {
        let reserved = match turn.kind() {
            JobKind::Service => Resources::default(),
            JobKind::Array | JobKind::Gang => self.input.replica_reserve[candidate_index],
        };
        let need = turn.need();
        let candidate = &mut self.candidates[candidate_index];
        let is_taken = need.fits(candidate.free - reserved)
            && zones.allows(candidate.zone)
            && candidate.record_capacity.try_reserve(&turn.job.spec);
        if is_taken {
            zones.add_task(candidate.zone);
            candidate.free = candidate.free - need;
        }
        is_taken
    }

    /// Creates the attempts of a job's tasks. All tasks of a gang share the number `gang_attempt`.
    /// Each task of an array or a service gets a new number.
    fn attempts(
        &mut self,
        turn: QueueTurn<'a>,
        indices: Vec<u32>,
        gang_attempt: Option<AttemptNumber>,
    ) -> Vec<TaskAttempt> {
        let attempt_numbers = &mut self.state.attempt_numbers;
        let attempts = indices.into_iter().map(|index| TaskAttempt {
            task: TaskId {
                job: turn.id.clone(),
                index,
            },
            number: gang_attempt.unwrap_or_else(|| attempt_numbers.next()),
        });
        attempts.collect()
    }

    fn pending_allotment(
        &self,
        turn: QueueTurn<'a>,
        candidate_index: usize,
        attempts: Vec<TaskAttempt>,
        preferred: Vec<MachineId>,
    ) -> PendingAllotment {
        let QueueTurn { id, job, .. } = turn;
        let spec = &job.spec;
        let candidate = &self.candidates[candidate_index];
        let age_ms = self.input.unix_time.0.saturating_sub(job.eligible_at.0);
        tracing::debug!(job = %id, kind = ?spec.kind, machine = %candidate.id, tasks = attempts.len(), image = %spec.image, cached = candidate.has_image(spec), age_ms, "tasks allotted to machine");
        PendingAllotment {
            owner: candidate.owner.clone(),
            machine: candidate.id.clone(),
            team: spec.team.clone(),
            need: spec.need(),
            allotment: Allotment {
                shard: candidate.shard,
                fence: candidate.fence,
                job_revision: job.revision,
                attempts,
                candidate_machines: preferred,
            },
        }
    }

    /// Releases the resources that were reserved for part of a gang, because either all of its
    /// tasks are placed or none.
    pub(super) fn roll_back(&mut self, turn: QueueTurn<'a>, assignment: Assignment) {
        for (candidate_index, pending_allotment) in assignment.allotments {
            let count = pending_allotment.task_count() as u64;
            let candidate = &mut self.candidates[candidate_index];
            candidate.free = candidate.free + turn.need().times(count);
            candidate.record_capacity.release(count);
        }
    }
}
