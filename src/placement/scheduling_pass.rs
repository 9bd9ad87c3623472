//! One scheduling pass: every waiting job in its order gets the free capacity that is left for it.

mod array_capacity;
mod assignment;
mod image_wait;
mod request;

pub(super) use image_wait::IMAGE_WAIT_LIMIT;

use super::candidates::Candidate;
use super::pass_inputs::{PassInputs, PassState};
use super::pending_allotment::PendingAllotment;
use super::queue_turns::{QueueTurn, queue_turns};
use super::quota_usage::QuotaUsage;
use super::ranking::CandidateSearch;
use super::unmet_demand::UnmetDemand;
use super::zone_constraint::ZoneConstraint;
use crate::ids::{JobId, Resources};
use crate::protocol::JobKind;
use array_capacity::ArrayCapacity;
use assignment::Assignment;
use request::TaskRequest;
use std::collections::BTreeMap;

/// While a smaller part of a second's worth of record changes is left, tasks go where one change
/// places the most. Near the full: else single tasks on nearly full machines use up what a large
/// array needs next.
const AMPLE_BUDGET_FRACTION: f64 = 0.9;
/// So they do for an array with more tasks than this part of the changes that are left.
const LARGE_ARRAY_FRACTION: f64 = 0.5;

/// A pass under way.
pub(super) struct SchedulingPass<'a, 's> {
    input: PassInputs<'a>,
    state: PassState<'s>,
    /// What the teams use, with what is allotted in the pass.
    quota_usage: QuotaUsage<'a>,
    /// The usable machines, less what is allotted in the pass.
    candidates: Vec<Candidate<'a>>,
    array_capacity: ArrayCapacity,
    /// The tasks that each job was allotted in its turn on machines that have its image.
    allotted_cached: BTreeMap<&'a JobId, usize>,
    unmet_demands: Vec<UnmetDemand>,
    changes_spent: bool,
    image_demands: Vec<UnmetDemand>,
    allotments: Vec<PendingAllotment>,
}

/// What a pass has decided, and what it leaves.
pub(super) struct PassResult<'a> {
    /// What is allotted.
    pub allotments: Vec<PendingAllotment>,
    /// Tasks for which no machine has free capacity.
    pub unmet_demands: Vec<UnmetDemand>,
    /// Arrays found free capacity on machines whose records no change could be spent on.
    pub changes_spent: bool,
    /// Replicas for which lower work is to be stopped where their image is.
    pub image_demands: Vec<UnmetDemand>,
    /// The usable machines, less what is allotted.
    pub candidates: Vec<Candidate<'a>>,
    /// Resources that only replicas may take, by candidate.
    pub replica_reserve: Vec<Resources>,
    /// What the teams use, with what is allotted.
    pub quota_usage: QuotaUsage<'a>,
}

impl<'a, 's> SchedulingPass<'a, 's> {
    /// A pass over these candidates.
    pub(super) fn new(
        input: PassInputs<'a>,
        state: PassState<'s>,
        quota_usage: QuotaUsage<'a>,
        candidates: Vec<Candidate<'a>>,
    ) -> Self {
        let array_capacity = ArrayCapacity::new(&candidates, &input.replica_reserve);
        Self {
            input,
            state,
            quota_usage,
            candidates,
            array_capacity,
            allotted_cached: BTreeMap::new(),
            unmet_demands: Vec::new(),
            changes_spent: false,
            image_demands: Vec::new(),
            allotments: Vec::new(),
        }
    }

    /// Gives every waiting job its turn.
    pub(super) fn run(mut self) -> PassResult<'a> {
        for turn in queue_turns(&self.input, &self.candidates) {
            self.serve(turn);
        }
        PassResult {
            allotments: self.allotments,
            unmet_demands: self.unmet_demands,
            changes_spent: self.changes_spent,
            image_demands: self.image_demands,
            candidates: self.candidates,
            replica_reserve: self.input.replica_reserve,
            quota_usage: self.quota_usage,
        }
    }

    fn serve(&mut self, turn: QueueTurn<'a>) {
        if turn.cached_only && self.array_capacity.is_exhausted() {
            return;
        }
        let Some(request) = self.request(turn).filter(|r| !r.indices.is_empty()) else {
            return;
        };
        let allotted = self.input.allotted.get(turn.id);
        let zones = ZoneConstraint::new(turn.job, allotted, self.input.cache);
        let ranked = self.ranked_candidates(turn, &request, &zones);
        if turn.kind() == JobKind::Service && self.waits_for_image(turn, &request, &ranked) {
            return;
        }
        let assignment = self.assign(turn, &request, &ranked, zones);
        self.commit(turn, &request, assignment);
    }

    /// The machines for a request, best first.
    fn ranked_candidates(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        zones: &ZoneConstraint,
    ) -> Vec<usize> {
        let now = self.input.now;
        let is_array = turn.kind() == JobKind::Array;
        let tasks = request.indices.len();
        let changes_are_scarce = self.state.record_writes.available_fraction(now)
            < AMPLE_BUDGET_FRACTION
            || tasks as f64 > LARGE_ARRAY_FRACTION * self.state.record_writes.level(now);
        let reserve_applies = turn.kind() != JobKind::Service;
        let search = CandidateSearch {
            tasks_at_once: (changes_are_scarce && is_array).then_some(tasks as u64),
            among: is_array.then_some(self.array_capacity.candidates()),
            reserve: reserve_applies.then_some(self.input.replica_reserve.as_slice()),
            cached_only: turn.cached_only,
        };
        let faults = self.input.faults;
        search.ranked(turn.id, turn.job, zones, faults, &self.candidates)
    }

    /// Enters what was found for a job, and what was not.
    fn commit(&mut self, turn: QueueTurn<'a>, request: &TaskRequest, assignment: Assignment) {
        let QueueTurn { id, job, .. } = turn;
        if assignment.changes_spent {
            self.changes_spent = true;
            self.array_capacity.keep_written(
                &self.input.record_is_written,
                &self.candidates,
                &self.input.replica_reserve,
            );
        }
        if turn.cached_only {
            self.allotted_cached.insert(id, assignment.task_count());
        } else {
            self.report_unmet_demand(turn, assignment.unassigned);
        }
        if assignment.unassigned > 0 && turn.kind() == JobKind::Gang {
            self.roll_back(turn, assignment);
            return;
        }
        if turn.kind() == JobKind::Array && !assignment.allotments.is_empty() {
            self.array_capacity
                .drop_full(&self.candidates, &self.input.replica_reserve);
        }
        if let Some(attempt_number) = request.attempt_number
            && job.placed.is_empty()
        {
            self.state
                .gangs
                .on_launched(self.input.now, id, attempt_number);
        }
        for (_, pending_allotment) in assignment.allotments {
            let count = pending_allotment.task_count() as u64;
            self.quota_usage
                .charge(&job.spec.team, turn.need().times(count));
            self.allotments.push(pending_allotment);
        }
    }

    /// Notes tasks for which there is no free capacity. What only waits for a machine's record to
    /// be written lacks no machine.
    fn report_unmet_demand(&mut self, turn: QueueTurn<'a>, tasks: u64) {
        let waiting = self
            .array_capacity
            .take_unwritable(tasks, turn.need().milli_cpus);
        if tasks > waiting {
            let unmet_demand = UnmetDemand::for_job(turn.id, turn.job, tasks - waiting);
            self.unmet_demands.push(unmet_demand);
        }
    }
}
