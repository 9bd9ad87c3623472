//! The leader's scheduler. It counts every placement that has not been freed and every allotment of
//! its term as used capacity, and prefers the machines of each job's placement group. The shard
//! owners write the placements.

mod dispatch;
mod health;
mod pass;

use super::allotment_ledger::AllotmentLedger;
use super::attempt_numbers::AttemptNumbers;
use super::fault_tracking::FaultTracker;
use super::gangs::Gangs;
use super::reported_health::ReportedHealth;
use super::scheduling_pass::IMAGE_WAIT_LIMIT;
use super::unmet_demand::UnmetDemand;
use crate::config::Config;
use crate::ids::{
    JobId, MachineId, MemberId, Millis, MonotonicTime, Revision, ShardId, TaskAttempt, UnixTime,
};
use crate::peers::{AttemptOutcome, EndedAttempt, FreedAttempt, Message};
use crate::protocol::ExitReason;
use crate::store::rate_limiter::TokenBucket;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An action that the leader takes after a scheduling pass.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Send a message to the owner of a shard.
    ToShardOwner(MemberId, Box<Message>),
    /// Rewrite a shard's record to raise its fencing token, because an allotment to the shard was
    /// not answered in time. The new token voids that allotment.
    RaiseShardFence(ShardId),
}

/// The time after which a preempted task that has not ended is no longer expected to free its
/// resources. It may then be chosen as a victim again.
const PREEMPTION_TIMEOUT: Millis = Millis(10_000);
/// The time for which the scheduler remembers that a service waited for a machine with its image.
/// During that time the service does not wait again.
const IMAGE_WAIT_RETENTION: Millis = Millis(10 * IMAGE_WAIT_LIMIT.0);
/// The fraction of the key-value store's write rate that may be used for placing arrays. Each
/// machine that is given tasks needs one write of its record, and other parts of the controller
/// need writes too.
pub(crate) const ARRAY_WRITE_SHARE: f64 = 0.65;
/// The write budget counts as low while less than this fraction of one second's writes is
/// available.
const LOW_WRITE_BUDGET_FRACTION: f64 = 0.5;

/// The leader's scheduler and the state that it keeps between passes.
pub(crate) struct Scheduler {
    config: Rc<Config>,
    attempt_numbers: AttemptNumbers,
    allotment_ledger: AllotmentLedger,
    /// The latest health report of each machine from its shard owner.
    pub health: BTreeMap<MachineId, ReportedHealth>,
    faults: FaultTracker,
    gangs: Gangs,
    /// Preempted tasks that may still be running, with the time of preemption.
    preempted: BTreeMap<TaskAttempt, MonotonicTime>,
    /// Services that wait for preemption on a machine that has their image, with the time at which
    /// the wait began.
    awaiting_image: BTreeMap<JobId, MonotonicTime>,
    /// The budget of machine record writes for placing arrays.
    record_writes: TokenBucket,
    /// The write rate that the key-value store allows for all controllers together, in writes per
    /// second.
    store_write_rate: f64,
    /// The tasks for which the latest pass found no free capacity.
    pub unmet_demands: Vec<UnmetDemand>,
    /// The current wall-clock time, for comparison with the times on job records. Set before each
    /// pass.
    pub unix_time: UnixTime,
    /// Machines that are being drained. They receive no new tasks.
    pub draining: BTreeSet<MachineId>,
}

impl Scheduler {
    /// Creates a scheduler with no knowledge of the cluster.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            config: Rc::new(config.clone()),
            attempt_numbers: AttemptNumbers::default(),
            allotment_ledger: AllotmentLedger::default(),
            health: BTreeMap::new(),
            faults: FaultTracker::default(),
            gangs: Gangs::default(),
            preempted: BTreeMap::new(),
            awaiting_image: BTreeMap::new(),
            record_writes: TokenBucket::new(config.store_limits.rates.writes * ARRAY_WRITE_SHARE),
            store_write_rate: config.store_limits.rates.writes,
            unmet_demands: Vec::new(),
            unix_time: UnixTime(0),
            draining: BTreeSet::new(),
        }
    }

    /// Sets the write rate that the key-value store allows for all controllers together, in writes
    /// per second.
    pub(crate) fn set_store_write_rate(&mut self, writes_per_s: f64) {
        self.store_write_rate = writes_per_s;
    }

    /// Returns whether the write budget for placing arrays is nearly exhausted.
    pub(crate) fn is_write_budget_low(&mut self, now: MonotonicTime) -> bool {
        self.record_writes.available_fraction(now) < LOW_WRITE_BUDGET_FRACTION
    }

    /// Handles a shard owner's message that placements have been freed.
    pub(crate) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        self.allotment_ledger.on_freed(attempts);
    }

    /// Handles a shard owner's message that it refuses the attempts that were allotted under a
    /// fencing token.
    pub(crate) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        self.allotment_ledger.on_refused(fence, attempts);
    }

    /// Handles a shard owner's message that an attempt has ended.
    pub(crate) fn on_ended(
        &mut self,
        now: MonotonicTime,
        ended: &EndedAttempt,
        cache: &WatchCache,
    ) {
        self.allotment_ledger.on_ended(ended, cache);
        self.preempted.remove(&ended.attempt);
        let job = &ended.attempt.task.job;
        if !matches!(ended.outcome, AttemptOutcome::Absent) {
            self.gangs.on_ended(job);
        }
        match ended.outcome {
            AttemptOutcome::Done => self.faults.on_success(job, &ended.machine),
            AttemptOutcome::Exited(ExitReason::Error) => {
                self.faults.on_failure(now, job, &ended.machine)
            }
            AttemptOutcome::Exited(_) | AttemptOutcome::Absent => {}
        }
    }

    /// Runs one scheduling step in a term: a pass over all waiting jobs, then the messages that
    /// result from it.
    pub(crate) fn step(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.begin_term(term);
        self.record_writes
            .set_rate(now, self.store_write_rate * ARRAY_WRITE_SHARE);
        let shards_to_fence = self.allotment_ledger.reconcile(now, cache);
        out.extend(shards_to_fence.into_iter().map(Effect::RaiseShardFence));
        self.forget_stale(now, cache);
        let decisions = self.run_pass(now, cache);
        self.send_stops(now, decisions.stops, cache, out);
        self.send_allotments(now, decisions.allotments, out);
    }

    /// Clears the state of the previous term if `term` is a new one.
    fn begin_term(&mut self, term: Revision) {
        if self.attempt_numbers.term() != term {
            self.attempt_numbers = AttemptNumbers::of_term(term);
            self.allotment_ledger.begin_term();
            self.preempted.clear();
            self.faults.clear();
            self.gangs.clear();
            self.draining.clear();
        }
    }

    /// Drops state of jobs and machines that no longer exist, and entries that have expired.
    fn forget_stale(&mut self, now: MonotonicTime, cache: &WatchCache) {
        self.preempted
            .retain(|_, at| now.since(*at) < PREEMPTION_TIMEOUT);
        self.health.retain(|id, _| cache.machines.contains_key(id));
        self.gangs.retain(&cache.jobs);
        self.awaiting_image.retain(|id, since| {
            cache.jobs.contains_key(id) && now.since(*since) < IMAGE_WAIT_RETENTION
        });
        self.faults.retain(
            |job| cache.jobs.contains_key(job),
            |machine| cache.machines.contains_key(machine),
        );
    }

    /// Returns whether a placement has been freed while it is still on its machine's record.
    pub(crate) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.allotment_ledger.is_freed(attempt)
    }

    /// Returns whether an allotment that was sent to a shard at or before a time is still in
    /// flight. Only such an allotment can still reach a machine that has been draining since then.
    pub(crate) fn has_in_flight_allotment_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotment_ledger
            .has_in_flight_allotment_before(shard, at)
    }

    /// Returns the number of tasks that are allotted but not yet on record.
    pub(crate) fn in_flight_task_count(&self) -> usize {
        self.allotment_ledger.in_flight_task_count()
    }
}
