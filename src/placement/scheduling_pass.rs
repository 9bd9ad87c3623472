//! A scheduling pass: gives each waiting job, in queue order, free capacity that the jobs before it
//! have left.

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

/// While less than this fraction of one second's record writes is available, tasks go to the
/// machines where one write places the most tasks. The fraction is close to 1 because otherwise
/// single tasks on nearly full machines would use up the writes that the next large array needs.
const AMPLE_WRITE_BUDGET_FRACTION: f64 = 0.9;
/// The same rule applies to an array whose task count exceeds this fraction of the available
/// writes.
const LARGE_ARRAY_FRACTION: f64 = 0.5;

/// A running scheduling pass.
pub(super) struct SchedulingPass<'a, 's> {
    input: PassInputs<'a>,
    state: PassState<'s>,
    /// The resources that each team uses, including the allotments of this pass.
    quota_usage: QuotaUsage<'a>,
    /// The usable machines. Their free capacity excludes the allotments of this pass.
    candidates: Vec<Candidate<'a>>,
    array_capacity: ArrayCapacity,
    /// The number of tasks of each job that this pass has allotted to machines that have the job's
    /// image.
    allotted_cached: BTreeMap<&'a JobId, usize>,
    unmet_demands: Vec<UnmetDemand>,
    write_budget_exhausted: bool,
    image_demands: Vec<UnmetDemand>,
    allotments: Vec<PendingAllotment>,
}

/// The decisions of a pass and the capacity that remains.
pub(super) struct PassResult<'a> {
    /// The allotments to send.
    pub allotments: Vec<PendingAllotment>,
    /// The tasks for which no machine has free capacity.
    pub unmet_demands: Vec<UnmetDemand>,
    /// Whether arrays found free capacity on machines whose records could not be written because
    /// the write budget was exhausted.
    pub write_budget_exhausted: bool,
    /// Replicas for which tasks of lower priority are to be stopped on a machine that has their
    /// image.
    pub image_demands: Vec<UnmetDemand>,
    /// The usable machines. Their free capacity excludes the allotments of this pass.
    pub candidates: Vec<Candidate<'a>>,
    /// The resources of each candidate that only service replicas may use, by candidate index.
    pub replica_reserve: Vec<Resources>,
    /// The resources that each team uses, including the allotments of this pass.
    pub quota_usage: QuotaUsage<'a>,
}

impl<'a, 's> SchedulingPass<'a, 's> {
    /// Creates a pass over the given candidates.
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
            write_budget_exhausted: false,
            image_demands: Vec::new(),
            allotments: Vec::new(),
        }
    }

    /// Serves every waiting job in its turn.
    pub(super) fn run(mut self) -> PassResult<'a> {
        for turn in queue_turns(&self.input, &self.candidates) {
            self.serve(turn);
        }
        PassResult {
            allotments: self.allotments,
            unmet_demands: self.unmet_demands,
            write_budget_exhausted: self.write_budget_exhausted,
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

    /// Returns the candidate indices of the machines that suit a request, best first.
    fn ranked_candidates(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        zones: &ZoneConstraint,
    ) -> Vec<usize> {
        let now = self.input.now;
        let is_array = turn.kind() == JobKind::Array;
        let tasks = request.indices.len();
        let writes_are_scarce = self.state.record_writes.available_fraction(now)
            < AMPLE_WRITE_BUDGET_FRACTION
            || tasks as f64 > LARGE_ARRAY_FRACTION * self.state.record_writes.level(now);
        let reserve_applies = turn.kind() != JobKind::Service;
        let search = CandidateSearch {
            tasks_to_pack: (writes_are_scarce && is_array).then_some(tasks as u64),
            candidate_subset: is_array.then_some(self.array_capacity.candidates()),
            reserve: reserve_applies.then_some(self.input.replica_reserve.as_slice()),
            cached_only: turn.cached_only,
        };
        let faults = self.input.faults;
        search.ranked(turn.id, turn.job, zones, faults, &self.candidates)
    }

    /// Records the allotments of a job and its tasks that found no machine. If any task of a gang
    /// found none, all of the gang's allotments are rolled back.
    fn commit(&mut self, turn: QueueTurn<'a>, request: &TaskRequest, assignment: Assignment) {
        let QueueTurn { id, job, .. } = turn;
        if assignment.write_budget_exhausted {
            self.write_budget_exhausted = true;
            self.array_capacity.drop_unwritable(
                &self.input.has_pending_write,
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

    /// Records tasks for which there is no free capacity. Tasks that fit on machines whose records
    /// cannot be written in this pass are excluded, since they need no further machine.
    fn report_unmet_demand(&mut self, turn: QueueTurn<'a>, tasks: u64) {
        let waiting = self
            .array_capacity
            .take_unwritable_capacity(tasks, turn.need().milli_cpus);
        if tasks > waiting {
            let unmet_demand = UnmetDemand::for_job(turn.id, turn.job, tasks - waiting);
            self.unmet_demands.push(unmet_demand);
        }
    }
}
