//! The leader's duties, in the order in which they run.

use super::Controller;
use super::cleanup::{delete_orphans, fold_counters};
use super::effects::Effect;
use crate::ids::{JobId, MonotonicTime, Revision};
use crate::planning::plan_job;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::rate_limiter::RequestClass;

impl Controller {
    /// Runs the leader's duties that are due.
    pub(super) fn step_leader(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.step_dependents(now, effects);
        self.step_scheduler(now, term, effects);
        self.write_plans(now, term, effects);
        self.step_autoscaler(now, term, effects);
        self.write_history(now, term, effects);
        self.clean_up(now, effects);
    }

    /// Clears the state that only a leader needs. Called while this controller is not the leader.
    pub(super) fn clear_leader_state(&mut self) {
        self.plans.clear();
        self.dependents.clear();
        self.completions.clear();
        self.history.clear();
    }

    /// Plans new jobs, completes jobs whose tasks are all done, and places waiting tasks.
    fn step_scheduler(&mut self, now: MonotonicTime, term: Revision, effects: &mut Vec<Effect>) {
        let machines = self.cache.machines.len();
        if !self.timers.schedule.take_due(now, machines) {
            return;
        }
        self.plan_new_jobs(now);
        self.completions
            .step(now, &self.cache, &self.config, effects);
        let mut out = Vec::new();
        self.scheduler.step(now, term, &self.cache, &mut out);
        self.apply_scheduler_effects(now, out, effects);
    }

    fn plan_new_jobs(&mut self, now: MonotonicTime) {
        let jobs = self.cache.jobs.iter();
        let unplanned = jobs.filter(|(_, job)| job.plan.is_none());
        let unplanned = unplanned.map(|(id, _)| id);
        let unplanned = unplanned.chain(self.cache.dependency_graph.unplanned());
        let unplanned_ids: Vec<JobId> = unplanned.cloned().collect();
        for id in unplanned_ids {
            for (planned, plan) in plan_job(&id, &self.cache) {
                self.cache.set_plan(&planned, plan.clone());
                self.plans.add(now, planned, plan);
            }
        }
    }

    fn write_plans(&mut self, now: MonotonicTime, term: Revision, effects: &mut Vec<Effect>) {
        let value_bytes = self.config.store_limits.value_bytes;
        let batch = self.plans.next_batch(now, term, &self.cache, value_bytes);
        effects.extend(batch);
    }

    fn step_autoscaler(&mut self, now: MonotonicTime, term: Revision, effects: &mut Vec<Effect>) {
        if !self.timers.autoscaler.take_due(now) {
            return;
        }
        let mut out = Vec::new();
        self.autoscaler
            .step(now, term, &self.cache, &mut self.scheduler, &mut out);
        effects.extend(self.apply_cloud_effects(now, out));
        effects.extend(self.catalog.step(now, &self.autoscaler, &self.cache));
    }

    fn write_history(&mut self, now: MonotonicTime, term: Revision, effects: &mut Vec<Effect>) {
        if !self.timers.history.take_due(now) {
            return;
        }
        let value_bytes = self.config.store_limits.value_bytes;
        if let Some((pipeline, record)) = self.history.next(&self.cache, value_bytes) {
            let mut txn = Txn::default();
            txn.require(keys::LEADER, term);
            txn.put(keys::history(&pipeline), &record, None);
            effects.push(Effect::unattended_txn(RequestClass::Record, txn));
        }
    }

    fn clean_up(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if !self.timers.cleanup.take_due(now) {
            return;
        }
        self.cleanup
            .expire_unreported_machines(now, &self.scheduler, &mut self.cache);
        fold_counters(&self.cache, &self.config, effects);
        effects.extend(delete_orphans(&self.cache, &self.config));
    }

    /// Quarantines shard owners that get no heartbeats of machines whose heartbeats reach other controllers.
    pub(super) fn evaluate_reachability(&mut self, now: MonotonicTime) {
        let health = self.scheduler.health.values().map(|h| &h.report);
        let shards = self.config.shard_count();
        self.reachability.evaluate(now, shards, health, &self.cache);
        let quarantined = self.reachability.quarantined();
        self.leadership.set_quarantined(quarantined);
    }
}
