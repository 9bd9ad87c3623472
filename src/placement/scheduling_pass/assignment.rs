//! The assignment of a request's tasks to machines.

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

/// What was found for a request.
#[derive(Default)]
pub(super) struct Assignment {
    /// The allotments, each with the index of its candidate.
    pub allotments: Vec<(usize, PendingAllotment)>,
    /// How many tasks found no machine.
    pub unassigned: u64,
    /// There was free capacity on machines whose records no change could be spent on.
    pub changes_spent: bool,
}

impl Assignment {
    /// How many tasks found a machine.
    pub(super) fn task_count(&self) -> usize {
        self.allotments
            .iter()
            .map(|(_, allotment)| allotment.task_count())
            .sum()
    }
}

impl<'a> SchedulingPass<'a, '_> {
    /// Takes free capacity on the ranked machines until all tasks of a request are assigned.
    pub(super) fn assign(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        ranked: &[usize],
        mut zones: ZoneConstraint,
    ) -> Assignment {
        let mut open = request.indices.iter().copied().peekable();
        let mut assignment = Assignment::default();
        for (rank, at) in ranked.iter().copied().enumerate() {
            if !self.may_change_record(turn, at) {
                assignment.changes_spent = true;
                continue;
            }
            let mut indices = Vec::new();
            while open.peek().is_some() && self.try_take_task(turn, at, &mut zones) {
                indices.extend(open.next());
            }
            if indices.is_empty() {
                continue;
            }
            let candidate = &self.candidates[at];
            let only_candidate = zones.is_constrained();
            let preferred =
                preferred_machines(candidate, &ranked[rank..], &self.candidates, only_candidate);
            let attempts = self.attempts(turn, indices, request.attempt_number);
            let allotment = self.pending_allotment(turn, at, attempts, preferred);
            assignment.allotments.push((at, allotment));
            if open.peek().is_none() {
                break;
            }
        }
        assignment.unassigned = open.count() as u64;
        assignment
    }

    /// Whether a change of a machine's record can be spent, for an array. What must run at once
    /// is never delayed for that.
    fn may_change_record(&mut self, turn: QueueTurn<'a>, at: usize) -> bool {
        if turn.kind() != JobKind::Array || self.input.record_is_written[at] {
            return true;
        }
        let acquired =
            self.state
                .record_writes
                .try_acquire(self.input.now, 1.0, RequestClass::Place);
        self.input.record_is_written[at] |= acquired;
        acquired
    }

    /// Takes the resources of one more task on a machine, if they are free and the job's zones
    /// allow it.
    fn try_take_task(
        &mut self,
        turn: QueueTurn<'a>,
        at: usize,
        zones: &mut ZoneConstraint,
    ) -> bool {
        let reserved = match turn.kind() {
            JobKind::Service => Resources::default(),
            JobKind::Array | JobKind::Gang => self.input.replica_reserve[at],
        };
        let need = turn.need();
        let candidate = &mut self.candidates[at];
        let is_taken = need.fits(candidate.free - reserved)
            && zones.allows(candidate.zone)
            && candidate.record_capacity.try_reserve(&turn.job.spec);
        if is_taken {
            zones.add_task(candidate.zone);
            candidate.free = candidate.free - need;
        }
        is_taken
    }

    /// Attempts of a job's tasks: under one number for a gang, each under its own for other jobs.
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
        at: usize,
        attempts: Vec<TaskAttempt>,
        preferred: Vec<MachineId>,
    ) -> PendingAllotment {
        let QueueTurn { id, job, .. } = turn;
        let spec = &job.spec;
        let candidate = &self.candidates[at];
        let age_ms = self.input.unix_time.0.saturating_sub(job.eligible_at.0);
        tracing::debug!(job = %id, kind = ?spec.kind, machine = %candidate.id, tasks = attempts.len(), image = %spec.image, cached = candidate.has_image(spec), age_ms, "allotted");
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

    /// Gives back what was taken for a part of a gang: all of its tasks are placed, or none is.
    pub(super) fn roll_back(&mut self, turn: QueueTurn<'a>, assignment: Assignment) {
        for (at, pending_allotment) in assignment.allotments {
            let count = pending_allotment.task_count() as u64;
            let candidate = &mut self.candidates[at];
            candidate.free = candidate.free + turn.need().times(count);
            candidate.record_capacity.release(count);
        }
    }
}
