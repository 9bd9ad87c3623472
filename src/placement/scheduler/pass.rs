//! Runs a scheduling pass, and the preemption that follows it, on the scheduler's state.

use super::Scheduler;
use crate::ids::{JobId, MachineId, MonotonicTime};
use crate::placement::candidates;
use crate::placement::pass_inputs::{PassInputs, PassState};
use crate::placement::pending_allotment::PendingAllotment;
use crate::placement::preemption::{Preemption, TaskStop};
use crate::placement::queue_order::guaranteed_jobs;
use crate::placement::quota_usage::QuotaUsage;
use crate::placement::replica_reserve::replica_reserve;
use crate::placement::scheduling_pass::{PassResult, SchedulingPass};
use crate::placement::unmet_demand::UnmetDemand;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// The decisions of one scheduling step.
pub(super) struct Decisions {
    /// The tasks to stop.
    pub stops: Vec<TaskStop>,
    /// The tasks to start.
    pub allotments: Vec<PendingAllotment>,
}

impl Scheduler {
    /// Runs a scheduling pass and returns the tasks to start and to stop.
    pub(super) fn run_pass(&mut self, now: MonotonicTime, cache: &WatchCache) -> Decisions {
        let config = self.config.clone();
        let guaranteed_jobs = guaranteed_jobs(&config.teams, cache.jobs.iter());
        let mut quota_usage = QuotaUsage::new(&config.teams, cache.team_usage());
        self.allotment_ledger
            .adjust_quota_usage(&mut quota_usage, cache);
        let pending = self.allotment_ledger.pending_usage(cache);
        let is_usable = |id: &MachineId| self.is_usable(now, id, cache);
        let candidates = candidates::collect(cache, &config, &pending, is_usable);
        let has_pending_write = candidates.iter().map(|c| pending.has_allotted(c.id));
        let inputs = PassInputs {
            now,
            unix_time: self.unix_time,
            config: &config,
            cache,
            faults: &self.faults,
            guaranteed_jobs: &guaranteed_jobs,
            allotted: self.allotment_ledger.allotted_tasks(),
            replica_reserve: replica_reserve(cache, &candidates),
            has_pending_write: has_pending_write.collect(),
        };
        let state = PassState {
            gangs: &mut self.gangs,
            attempt_numbers: &mut self.attempt_numbers,
            record_writes: &mut self.record_writes,
            awaiting_image: &mut self.awaiting_image,
        };
        let pass = SchedulingPass::new(inputs, state, quota_usage, candidates);
        let mut result = pass.run();
        let demands = preemption_demands(&mut result);
        let stops = self.choose_stops(cache, &guaranteed_jobs, &result, &demands);
        self.unmet_demands = result.unmet_demands;
        Decisions {
            stops,
            allotments: result.allotments,
        }
    }

    /// Chooses the tasks to stop after a pass.
    fn choose_stops(
        &self,
        cache: &WatchCache,
        guaranteed_jobs: &BTreeSet<JobId>,
        pass: &PassResult<'_>,
        demands: &[UnmetDemand],
    ) -> Vec<TaskStop> {
        let preemption = Preemption {
            unix_time: self.unix_time,
            config: &self.config,
            cache,
            candidates: &pass.candidates,
            replica_reserve: &pass.replica_reserve,
            quota_usage: &pass.quota_usage,
            guaranteed_jobs,
            preempted: &self.preempted,
            health: &self.health,
            draining: &self.draining,
        };
        let mut stops = preemption.for_unmet_demands(demands);
        stops.extend(preemption.replica_moves());
        stops.extend(preemption.checkpoint_stops());
        stops
    }
}

/// Returns the demands for which tasks may be preempted, and moves the image demands out of the
/// pass result.
fn preemption_demands(pass: &mut PassResult<'_>) -> Vec<UnmetDemand> {
    let mut demands = std::mem::take(&mut pass.image_demands);
    // When the write budget is exhausted, preemption would not start an array sooner, and the
    // preempted tasks would need further writes to be placed again.
    let unmet_demands = pass.unmet_demands.iter().cloned();
    demands.extend(
        unmet_demands.filter(|demand| demand.must_run_concurrently || !pass.write_budget_exhausted),
    );
    demands
}
