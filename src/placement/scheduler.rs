//! Allots tasks to shards. The leader counts every placement that is not proved gone and every
//! allotment of its term, and prefers each job's placement group; the owners place.

use super::allotment_ledger::{AllotmentLedger, Allotted};
use super::candidates;
use super::fault_tracking::Faults;
use super::gangs::Gangs;
use super::preemption::{Preemption, Stop};
use super::queue_order::guaranteed;
use super::quota_usage::QuotaUsage;
use super::replicas::reserve;
use super::scheduling_pass::{
    AttemptNumbers, IMAGE_WAIT_LIMIT, PassInputs, PassState, PendingAllotment, SchedulingPass,
};
use super::unmet_demand::UnmetDemand;
use crate::config::Config;
use crate::ids::{
    JobId, MachineId, Member, Millis, MonotonicTime, Revision, ShardId, TaskAttempt, UnixTime,
};
use crate::peers::{AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message};
use crate::protocol::ExitReason;
use crate::store::rate_limiter::TokenBucket;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What the leader does as a result of a pass.
#[derive(Debug)]
pub(crate) enum Effect {
    ToShardOwner(Member, Box<Message>),
    /// An allotment has gone without an answer: rewriting the shard voids it.
    RenewShard(ShardId),
}

/// A machine whose shard owner says nothing of it is not used.
const HEALTH_AGE: Millis = Millis(5000);
/// A preemption that has freed nothing by then is forgotten.
const PREEMPT: Millis = Millis(10_000);
/// The part of the key-value store's changes that arrays are placed with: each machine that is
/// given tasks has its record written for them, and others need changes as well.
pub(crate) const RECORD_WRITE_SHARE: f64 = 0.65;
/// Below this part of a second's worth changes are scarce.
const SCARCE: f64 = 0.5;

/// What the shard owner of a machine last said of it.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub at: MonotonicTime,
    pub last: MachineHealth,
}

/// The leader's decisions on placement, and what it remembers between passes.
pub(crate) struct Scheduler {
    config: Rc<Config>,
    attempt_numbers: AttemptNumbers,
    allotment_ledger: AllotmentLedger,
    pub health: BTreeMap<MachineId, Health>,
    pub faults: Faults,
    gangs: Gangs,
    preempted: BTreeMap<TaskAttempt, MonotonicTime>,
    /// Services for which a place with their image is being made.
    awaiting_image: BTreeMap<JobId, MonotonicTime>,
    /// What arrays may cost in changes of machines' records.
    records: TokenBucket,
    change_rate: f64,
    pub unmet_demands: Vec<UnmetDemand>,
    pub unix_time: UnixTime,
    /// Machines on their way out: they get nothing new.
    pub leaving: BTreeSet<MachineId>,
}

impl Scheduler {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            config: Rc::new(config.clone()),
            attempt_numbers: AttemptNumbers::default(),
            allotment_ledger: AllotmentLedger::default(),
            health: BTreeMap::new(),
            faults: Faults::default(),
            gangs: Gangs::default(),
            preempted: BTreeMap::new(),
            awaiting_image: BTreeMap::new(),
            records: TokenBucket::new(config.state.rates.changes * RECORD_WRITE_SHARE),
            change_rate: config.state.rates.changes,
            unmet_demands: Vec::new(),
            unix_time: UnixTime(0),
            leaving: BTreeSet::new(),
        }
    }

    /// How many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_change_rate(&mut self, changes: f64) {
        self.change_rate = changes;
    }

    /// Whether the changes that arrays may be placed with are used up at present.
    pub(crate) fn changes_are_scarce(&mut self, now: MonotonicTime) -> bool {
        self.records.available_fraction(now) < SCARCE
    }

    /// Takes a shard owner's word on its machines. One that the key-value store refuses alone goes on
    /// speaking of machines that others hold since, and of their silence: that is no news (on
    /// Tramite grown a third of the fleet counted as lost for 30 s).
    pub(crate) fn on_health(
        &mut self,
        now: MonotonicTime,
        health: Vec<MachineHealth>,
        cache: &WatchCache,
    ) {
        let shards = self.config.shards();
        for last in health {
            let shard_record = cache.shards.get(&last.machine.shard(shards));
            if shard_record.is_some_and(|l| l.revision > last.fence) {
                continue;
            }
            self.gangs.on_health(&last);
            self.health
                .insert(last.machine.clone(), Health { at: now, last });
        }
    }

    pub(crate) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        self.allotment_ledger.on_freed(attempts);
    }

    pub(crate) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        self.allotment_ledger.on_refused(fence, attempts);
    }

    pub(crate) fn on_ended(
        &mut self,
        now: MonotonicTime,
        ended: &EndedAttempt,
        cache: &WatchCache,
    ) {
        self.allotment_ledger.on_ended(ended, cache);
        self.preempted.remove(&ended.attempt);
        let job = &ended.attempt.task.job;
        if !matches!(ended.end, AttemptOutcome::Absent) {
            self.gangs.on_ended(job);
        }
        match ended.end {
            AttemptOutcome::Done => self.faults.succeeded(job, &ended.machine),
            AttemptOutcome::Exited(ExitReason::Error) => {
                self.faults.failed(now, job, &ended.machine)
            }
            AttemptOutcome::Exited(_) | AttemptOutcome::Absent => {}
        }
    }

    fn begin_term(&mut self, term: Revision) {
        if self.attempt_numbers.term != term {
            self.attempt_numbers = AttemptNumbers::of_term(term);
            self.allotment_ledger.begin_term();
            self.preempted.clear();
            self.faults.clear();
            self.gangs.clear();
            self.leaving.clear();
        }
    }

    /// One pass over all waiting jobs.
    pub(crate) fn step(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.begin_term(term);
        self.records
            .set_rate(now, self.change_rate * RECORD_WRITE_SHARE);
        let unanswered = self.allotment_ledger.reconcile(now, cache);
        out.extend(unanswered.into_iter().map(Effect::RenewShard));
        self.forget(now, cache);
        let (stops, allotments) = self.scheduling_pass(now, cache);
        self.send_stops(now, stops, cache, out);
        self.send_allotments(now, allotments, out);
    }

    /// Decides what is allotted, and what is stopped.
    fn scheduling_pass(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
    ) -> (Vec<Stop>, Vec<PendingAllotment>) {
        let config = self.config.clone();
        let mut quota_usage = QuotaUsage::new(&config.teams, cache.team_usage());
        let pending = self.allotment_ledger.book(&mut quota_usage, cache);
        let is_usable = |id: &MachineId| self.is_usable(now, id, cache);
        let candidates = candidates::collect(cache, &config, &pending, is_usable);
        let within = guaranteed(&config.teams, cache.jobs.iter());
        let inputs = PassInputs {
            now,
            unix_time: self.unix_time,
            config: &config,
            cache,
            faults: &self.faults,
            within: &within,
            allotted: self.allotment_ledger.tasks(),
            reserve: reserve(cache, &candidates),
            written: candidates
                .iter()
                .map(|c| pending.promised.contains_key(c.id))
                .collect(),
        };
        let state = PassState {
            gangs: &mut self.gangs,
            attempt_numbers: &mut self.attempt_numbers,
            records: &mut self.records,
            awaiting_image: &mut self.awaiting_image,
        };
        let mut scheduling_pass = SchedulingPass::new(inputs, state, quota_usage, candidates);
        scheduling_pass.run();
        let mut wanted = std::mem::take(&mut scheduling_pass.image_demands);
        // What waits for changes does not start sooner where something is stopped, and what is
        // stopped has to be placed again, with changes that are lacking.
        let unmet_demands = scheduling_pass.unmet_demands.iter().cloned();
        wanted.extend(unmet_demands.filter(|s| s.together || !scheduling_pass.changes_spent));
        let preemption = Preemption {
            unix_time: self.unix_time,
            config: &config,
            cache,
            candidates: &scheduling_pass.candidates,
            reserve: &scheduling_pass.input.reserve,
            quota_usage: &scheduling_pass.quota_usage,
            within: &within,
            preempted: &self.preempted,
            health: &self.health,
            leaving: &self.leaving,
        };
        let mut stops = preemption.for_unmet_demands(&wanted);
        stops.extend(preemption.moves());
        stops.extend(preemption.savings());
        let allotments = std::mem::take(&mut scheduling_pass.allotments);
        self.unmet_demands = std::mem::take(&mut scheduling_pass.unmet_demands);
        (stops, allotments)
    }

    fn send_stops(
        &mut self,
        now: MonotonicTime,
        stops: Vec<Stop>,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        for (machine, attempt) in stops {
            let shard = machine.shard(self.config.shards());
            let Some(record) = cache.shards.get(&shard) else {
                continue;
            };
            let job = cache.jobs.get(&attempt.task.job);
            let grace = job.map_or(Millis(0), |j| Millis::from_secs(j.spec.save_s));
            self.preempted.insert(attempt.clone(), now);
            let message = Message::Stop {
                machine,
                attempt,
                grace,
            };
            let owner = record.value.owner.clone();
            out.push(Effect::ToShardOwner(owner, Box::new(message)));
        }
    }

    fn send_allotments(
        &mut self,
        now: MonotonicTime,
        allotments: Vec<PendingAllotment>,
        out: &mut Vec<Effect>,
    ) {
        for pending_allotment in allotments {
            let allotment = pending_allotment.allotment;
            for attempt in &allotment.attempts {
                let allotted = Allotted {
                    shard: allotment.shard,
                    fence: allotment.fence,
                    machine: pending_allotment.machine.clone(),
                    team: pending_allotment.team.clone(),
                    need: pending_allotment.need,
                    at: now,
                };
                self.allotment_ledger.allot(attempt.clone(), allotted);
            }
            let message = Box::new(Message::Allot(allotment));
            out.push(Effect::ToShardOwner(pending_allotment.owner, message));
        }
    }

    /// Forgets what concerns jobs and machines that are gone, and what is too old to count.
    fn forget(&mut self, now: MonotonicTime, cache: &WatchCache) {
        self.preempted.retain(|_, at| now.since(*at) < PREEMPT);
        self.health.retain(|id, _| cache.machines.contains_key(id));
        self.gangs.retain(&cache.jobs);
        self.awaiting_image.retain(|id, at| {
            cache.jobs.contains_key(id) && now.since(*at) < Millis(10 * IMAGE_WAIT_LIMIT.0)
        });
        self.faults.retain(
            |job| cache.jobs.contains_key(job),
            |machine| cache.machines.contains_key(machine),
        );
    }

    /// Whether a shard owner has spoken of a machine lately.
    pub(crate) fn has_recent_health(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let health = self.health.get(id);
        health.is_some_and(|h| now.since(h.at) < HEALTH_AGE)
    }

    /// Whether its present shard owner says that nothing has come from a machine for so long.
    pub(crate) fn is_silent(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        for_long: Millis,
        cache: &WatchCache,
    ) -> bool {
        let shard_record = cache.shards.get(&id.shard(self.config.shards()));
        self.health.get(id).is_some_and(|h| {
            shard_record.is_some_and(|l| l.revision == h.last.fence)
                && h.last.silent >= for_long
                && now.since(h.at) < HEALTH_AGE
        })
    }

    /// Whether a shard owner has told that a placement is proved gone.
    pub(crate) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.allotment_ledger.is_freed(attempt)
    }

    /// Whether a machine can take work: its shard owner has it, under the present token, and no
    /// notice or fault stands against it.
    pub(crate) fn is_usable(&self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) -> bool {
        let shard = id.shard(self.config.shards());
        let fence = cache.shards.get(&shard).map(|b| b.revision);
        let healthy = self.health.get(id).is_some_and(|h| {
            Some(h.last.fence) == fence
                && h.last.confirmed
                && h.last.notice.is_none()
                && now.since(h.at) < HEALTH_AGE
                && h.last.silent < self.config.heartbeat_interval + Millis(2000)
        });
        healthy && !self.faults.is_quarantined(now, id) && !self.leaving.contains(id)
    }

    /// Whether a machine counts as capacity. One whose shard owner has just changed is of no use for
    /// a moment, but it is there: renting for it would be renting twice.
    pub(crate) fn counts_as_capacity(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let lost = self.health.get(id).is_some_and(|h| {
            h.last.notice.is_some()
                || h.last.silent >= self.config.heartbeat_interval + Millis(2000)
        });
        !lost && !self.faults.is_quarantined(now, id) && !self.leaving.contains(id)
    }
    /// Whether something that was allotted to a shard before a time is still on its way: only
    /// that can come to a machine which has been left out of the lists since.
    pub(crate) fn allotted_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotment_ledger.allotted_before(shard, at)
    }

    pub(crate) fn allotted_count(&self) -> usize {
        self.allotment_ledger.allotted_count()
    }
}
