//! The leader's scheduler. It counts every placement that is not known to be gone and every
//! allotment of its term, and prefers each job's placement group; the shard owners place.

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

/// What the leader does as a result of a pass.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Send a message to the owner of a shard.
    ToShardOwner(MemberId, Box<Message>),
    /// An allotment has gone without an answer: rewriting the shard voids it.
    RaiseShardFence(ShardId),
}

/// A preemption that has freed nothing by then is forgotten.
const PREEMPTION_TIMEOUT: Millis = Millis(10_000);
/// A service's wait for a place with its image is forgotten after so long. Until then it does not
/// wait again.
const IMAGE_WAIT_MEMORY: Millis = Millis(10 * IMAGE_WAIT_LIMIT.0);
/// The part of the key-value store's changes that arrays are placed with: each machine that is
/// given tasks has its record written for them, and others need changes as well.
pub(crate) const ARRAY_WRITE_SHARE: f64 = 0.65;
/// Below this part of a second's worth changes are scarce.
const SCARCE_FRACTION: f64 = 0.5;

/// The leader's decisions on placement, and what it remembers between passes.
pub(crate) struct Scheduler {
    config: Rc<Config>,
    attempt_numbers: AttemptNumbers,
    allotment_ledger: AllotmentLedger,
    /// The last reports of shard owners on their machines.
    pub health: BTreeMap<MachineId, ReportedHealth>,
    faults: FaultTracker,
    gangs: Gangs,
    /// The tasks that were preempted and may not be gone yet, and when.
    preempted: BTreeMap<TaskAttempt, MonotonicTime>,
    /// Services for which a place with their image is being made, and since when.
    awaiting_image: BTreeMap<JobId, MonotonicTime>,
    /// How many changes of machines' records may be spent on arrays.
    record_writes: TokenBucket,
    /// How many changes the key-value store takes in a second from all controllers.
    store_write_rate: f64,
    /// The tasks for which the last pass found no free capacity.
    pub unmet_demands: Vec<UnmetDemand>,
    /// The present time, for comparison with times on jobs' records. Set before each pass.
    pub unix_time: UnixTime,
    /// Machines on their way out: they get nothing new.
    pub draining: BTreeSet<MachineId>,
}

impl Scheduler {
    /// A scheduler that knows nothing of the cluster yet.
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

    /// Sets how many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_store_write_rate(&mut self, changes: f64) {
        self.store_write_rate = changes;
    }

    /// Whether the changes that arrays may be placed with are used up at present.
    pub(crate) fn is_write_budget_low(&mut self, now: MonotonicTime) -> bool {
        self.record_writes.available_fraction(now) < SCARCE_FRACTION
    }

    /// Takes a shard owner's message that placements are gone.
    pub(crate) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        self.allotment_ledger.on_freed(attempts);
    }

    /// Takes a shard owner's message that it does not place what was allotted under a token.
    pub(crate) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        self.allotment_ledger.on_refused(fence, attempts);
    }

    /// Takes a shard owner's message that an attempt has ended.
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

    /// One step of the scheduler in a term: a pass over all waiting jobs, and what follows from it.
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
        let unanswered = self.allotment_ledger.reconcile(now, cache);
        out.extend(unanswered.into_iter().map(Effect::RaiseShardFence));
        self.forget_stale(now, cache);
        let decisions = self.run_pass(now, cache);
        self.send_stops(now, decisions.stops, cache, out);
        self.send_allotments(now, decisions.allotments, out);
    }

    /// Forgets what belongs to an earlier term, if this is another one.
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

    /// Forgets what concerns jobs and machines that are gone, and what is too old to count.
    fn forget_stale(&mut self, now: MonotonicTime, cache: &WatchCache) {
        self.preempted
            .retain(|_, at| now.since(*at) < PREEMPTION_TIMEOUT);
        self.health.retain(|id, _| cache.machines.contains_key(id));
        self.gangs.retain(&cache.jobs);
        self.awaiting_image.retain(|id, since| {
            cache.jobs.contains_key(id) && now.since(*since) < IMAGE_WAIT_MEMORY
        });
        self.faults.retain(
            |job| cache.jobs.contains_key(job),
            |machine| cache.machines.contains_key(machine),
        );
    }

    /// Whether a placement is known to be gone while it is still on its machine's record.
    pub(crate) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.allotment_ledger.is_freed(attempt)
    }

    /// Whether something that was allotted to a shard before a time is still under way: only
    /// that can come to a machine which has been leaving since.
    pub(crate) fn has_in_flight_allotment_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotment_ledger
            .has_in_flight_allotment_before(shard, at)
    }

    /// How many tasks are allotted and not on record.
    pub(crate) fn in_flight_task_count(&self) -> usize {
        self.allotment_ledger.in_flight_task_count()
    }
}
