//! All decisions of one controller: the slices put together, still without I/O, clock or
//! randomness of its own. The daemon carries out the effects; tests do so in simulated time.

mod cancel;
mod dependents;
mod leader;

use crate::cancellation::{CacheView, CancellationDeadlines, CancellationRounds, RoundId};
use crate::cloud::{self, Autoscaler, RentOutcome};
use crate::config::Config;
use crate::ids::{
    FencingToken, Incarnation, JobId, LeaseId, MachineId, Member, Millis, MonotonicTime, Revision,
    TaskAttempt,
};
use crate::leadership::{Leadership, ReachabilityMonitor};
use crate::peers::{AttemptOutcome, Message, ShardFence};
use crate::placement::{self, Scheduler};
use crate::planning::{History, counter, plan_job};
use crate::protocol::store::{Event, Txn};
use crate::protocol::{Catalog, Command, Heartbeat, JobState, ListedMachine, RentRequest};
use crate::store::TxnOutcome;
use crate::store::keys;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{PlanBatch, PlanRecord};
use crate::store::watch_cache::WatchCache;
use crate::worker_control::{self, DirectCallOutcome, HeartbeatAnswer, HeartbeatPath, ShardOwner};
use dependents::Dependents;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whom a transaction's outcome concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TxnRequester {
    ShardOwner(MachineId),
    Leadership,
    /// A batch of plans, by their jobs.
    Plans(Vec<JobId>),
    /// The end of a job.
    Release(JobId),
    /// The release of a job that waited for others.
    Dependent(JobId),
    /// The cancellation of jobs that need a cancelled one.
    CancelledDependents(Vec<JobId>),
    Catalog,
    /// Repeated on its own when it is still needed.
    Nobody,
}

#[derive(Debug)]
pub(crate) enum Effect {
    Txn {
        requester: TxnRequester,
        class: RequestClass,
        txn: Txn,
    },
    Call {
        machine: MachineId,
        addr: String,
        token: FencingToken,
        epoch: crate::ids::WorkerEpoch,
        commands: Vec<Command>,
    },
    Peer(Member, Message),
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
    Catalog,
    /// Read how a job that is over has ended.
    QueryOutcome(JobId),
}

const MIN_SCHEDULE_INTERVAL: Millis = Millis(15);
const MAX_SCHEDULE_INTERVAL: Millis = Millis(500);
const AUTOSCALER_INTERVAL: Millis = Millis(400);
const RECONCILE_INTERVAL: Millis = Millis(200);
const HISTORY_WRITE_INTERVAL: Millis = Millis(5000);
const CLEANUP_INTERVAL: Millis = Millis(2000);
const CANCELLATION_SCAN_INTERVAL: Millis = Millis(1000);
/// A shard owner's own deletion that was not carried out is asked for again after this.
const DECOMMISSION_RETRY_INTERVAL: Millis = Millis(3000);
/// Plans gather for so long, or until a record is half full, to be written in one change.
const PLAN_BATCH_DELAY: Millis = Millis(1000);
/// Counters that are brought up to date at once.
const MAX_COUNTERS_FOLDED: usize = 4;
/// A release without an outcome is tried again after this.
const COMPLETION_RETRY_INTERVAL: Millis = Millis(4000);
/// Machine types that the key-value store refused for their size are offered again after this.
const CATALOG_RETRY_INTERVAL: Millis = Millis(60_000);
/// The removal of a machine's record is tried again after this.
const RECORD_DELETION_RETRY_INTERVAL: Millis = Millis(1000);
/// For so long at the most it waits for jobs that are counted there.
const MAX_COUNTED_WAIT: Millis = Millis(60_000);
const UNREPORTED_MACHINE_TIMEOUT: Millis = Millis(10_000);
/// The turns of a large fleet lie further apart, by so many machines for a millisecond.
const MACHINES_PER_SCHEDULE_MS: usize = 4;

pub(crate) struct Controller {
    config: Config,
    pub cache: WatchCache,
    pub leadership: Leadership,
    pub shard_owner: ShardOwner,
    pub scheduler: Scheduler,
    pub autoscaler: Autoscaler,
    reachability: ReachabilityMonitor,
    cancellation_deadlines: CancellationDeadlines,
    next_cancellation_scan: MonotonicTime,
    /// Machines whose deletion was asked for without leading, and when.
    decommissioning: BTreeMap<MachineId, MonotonicTime>,
    rounds: CancellationRounds,
    history: History,
    /// Plans that are made and not yet written.
    plans: BTreeMap<JobId, PlanRecord>,
    plans_in_flight: bool,
    plans_since: MonotonicTime,
    plans_retry_at: MonotonicTime,
    plan_batch: u64,
    completing: BTreeMap<JobId, MonotonicTime>,
    dependents: Dependents,
    catalog_in_flight: bool,
    catalog_retry_at: MonotonicTime,
    dropping: BTreeMap<MachineId, MonotonicTime>,
    /// Since when machines are gone whose records still stand.
    gone_since: BTreeMap<MachineId, MonotonicTime>,
    /// Since when no shard owner has spoken of a machine without a record.
    unreported_since: BTreeMap<MachineId, MonotonicTime>,
    needs_scheduling: bool,
    next_schedule: MonotonicTime,
    last_schedule: MonotonicTime,
    next_autoscaler_step: MonotonicTime,
    lease_valid_until: MonotonicTime,
    next_reconcile: MonotonicTime,
    next_history: MonotonicTime,
    next_clean: MonotonicTime,
}

impl Controller {
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        let zero = MonotonicTime::default();
        Self {
            config: config.clone(),
            cache: WatchCache::new(config),
            leadership: Leadership::new(config, incarnation),
            shard_owner: ShardOwner::new(config, incarnation),
            scheduler: Scheduler::new(config),
            autoscaler: Autoscaler::new(config),
            reachability: ReachabilityMonitor::new(config),
            cancellation_deadlines: CancellationDeadlines::default(),
            next_cancellation_scan: zero,
            decommissioning: BTreeMap::new(),
            rounds: CancellationRounds::default(),
            history: History::default(),
            plans: BTreeMap::new(),
            plans_in_flight: false,
            plans_since: zero,
            plans_retry_at: zero,
            plan_batch: 0,
            completing: BTreeMap::new(),
            dependents: Dependents::default(),
            catalog_in_flight: false,
            catalog_retry_at: zero,
            dropping: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            unreported_since: BTreeMap::new(),
            needs_scheduling: false,
            next_schedule: zero,
            last_schedule: zero,
            next_autoscaler_step: zero,
            lease_valid_until: zero,
            next_reconcile: zero,
            next_history: zero,
            next_clean: zero,
        }
    }

    /// The lease holds at least until then. Whoever can't say so may lead no longer without
    /// knowing it: it then stops nothing and leaves the cloud alone, since others place by now.
    pub(crate) fn set_lease_deadline(&mut self, until: MonotonicTime) {
        self.lease_valid_until = until;
    }

    pub(crate) fn set_lease(&mut self, now: MonotonicTime, lease: Option<LeaseId>) -> Vec<Effect> {
        self.leadership.set_lease(lease, &self.cache);
        self.run_due_work(now)
    }

    /// A watch cache read anew takes the old one's place.
    pub(crate) fn on_snapshot(&mut self, now: MonotonicTime, mut cache: WatchCache) -> Vec<Effect> {
        cache.keep_cancelled(&self.cache);
        self.cache = cache;
        self.shard_owner.compare_all_trackers();
        self.needs_scheduling = true;
        self.next_reconcile = now;
        self.run_due_work(now)
    }

    /// The next changes of the stream; also the jobs that ended by them.
    pub(crate) fn on_events(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        events: Vec<Event>,
    ) -> (Vec<Effect>, Vec<JobId>) {
        let touched: BTreeSet<MachineId> = events
            .iter()
            .filter_map(|e| keys::machine_of(e.put.as_deref().or(e.delete.as_deref())?))
            .collect();
        let ended = self.cache.apply(revision, events);
        self.needs_scheduling = true;
        let mut out = Vec::new();
        self.shard_owner
            .on_changed(now, &touched, &self.cache, &mut out);
        (self.finish(now, out), ended)
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        self.process_heartbeat(now, heartbeat, HeartbeatPath::FromWorker)
    }

    fn process_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        path: HeartbeatPath,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        let mut out = Vec::new();
        let answer = self
            .shard_owner
            .on_heartbeat(now, heartbeat, path, &self.cache, &mut out);
        (answer, self.finish(now, out))
    }

    /// A heartbeat that its worker could not bring here itself. `None`: it should try.
    pub(crate) fn on_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (Option<HeartbeatAnswer>, Vec<Effect>) {
        if !self.shard_owner.accepts_relayed(now, &heartbeat.machine) {
            return (None, Vec::new());
        }
        let (answer, effects) = self.process_heartbeat(now, heartbeat, HeartbeatPath::Relayed);
        (Some(answer), effects)
    }

    /// Machines held here whose heartbeats have not come straight for so long that they may be cut
    /// off.
    pub(crate) fn missing_machines(&self, now: MonotonicTime) -> Vec<MachineId> {
        self.shard_owner.missing_machines(now)
    }

    /// Whether some controllers can't reach each other: machines may be cut off likewise.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.shard_owner.set_partitioned(partitioned);
    }

    pub(crate) fn on_call(
        &mut self,
        now: MonotonicTime,
        machine: &MachineId,
        token: FencingToken,
        outcome: DirectCallOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        self.shard_owner
            .on_call(now, machine, token, outcome, &self.cache, &mut out);
        self.finish(now, out)
    }

    pub(crate) fn on_txn(
        &mut self,
        now: MonotonicTime,
        requester: &TxnRequester,
        outcome: &TxnOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        match requester {
            TxnRequester::ShardOwner(machine) => {
                self.shard_owner
                    .on_txn(now, machine, outcome, &mut self.cache, &mut out);
                self.needs_scheduling = true;
            }
            TxnRequester::Leadership => self.leadership.on_txn(now, outcome),
            TxnRequester::Plans(jobs) => {
                self.plans_in_flight = false;
                // Under any other outcome they are written, or somebody else leads. A refusal
                // for want of tokens comes back at once: without a pause it would go round and
                // round (entry 37769b7d).
                self.plans_retry_at = now + PLAN_BATCH_DELAY;
                let again = matches!(outcome, TxnOutcome::Refused);
                for job in jobs.iter().filter(|_| again) {
                    let plan = self.cache.plan(job).cloned();
                    self.plans.extend(plan.map(|p| (job.clone(), p)));
                }
            }
            TxnRequester::Release(job) => {
                let known = !matches!(outcome, TxnOutcome::Unknown);
                if known && !matches!(outcome, TxnOutcome::Committed(_)) {
                    self.completing.remove(job);
                }
                if matches!(outcome, TxnOutcome::Committed(_)) {
                    self.learn_outcome(job, JobState::Done);
                }
            }
            TxnRequester::Dependent(job) => self.on_release(now, job, outcome),
            TxnRequester::CancelledDependents(jobs) => {
                if let TxnOutcome::Committed(revision) = outcome {
                    self.dependents_cancelled(jobs, *revision);
                }
            }
            TxnRequester::Catalog => {
                self.catalog_in_flight = false;
                if matches!(outcome, TxnOutcome::Invalid) {
                    tracing::error!(
                        "the machine types do not fit into a value of the key-value store"
                    );
                    self.catalog_retry_at = now + CATALOG_RETRY_INTERVAL;
                }
            }
            TxnRequester::Nobody => {}
        }
        self.finish(now, out)
    }

    pub(crate) fn on_peer(
        &mut self,
        now: MonotonicTime,
        from: &Member,
        message: Message,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Cancelled {
                round,
                job,
                revision,
                age,
            } => {
                self.learn_cancelled(now, &job, revision, age, &mut effects);
                let settled = self.settled(now, &job);
                let known = Message::CancellationAcknowledged {
                    round,
                    job,
                    settled,
                };
                effects.push(Effect::Peer(from.clone(), known));
            }
            Message::CancellationAcknowledged {
                round,
                job,
                settled,
            } => self.rounds.on_acknowledged(round, &job, from, settled),
            message => self.dispatch(now, message, &mut effects),
        }
        effects.extend(self.run_due_work(now));
        effects
    }

    pub(crate) fn on_catalog(
        &mut self,
        now: MonotonicTime,
        catalog: Option<Catalog>,
    ) -> Vec<Effect> {
        self.autoscaler.on_catalog(now, catalog);
        self.run_due_work(now)
    }

    pub(crate) fn on_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
    ) -> Vec<Effect> {
        self.autoscaler.on_list(now, machines, &self.cache);
        self.run_due_work(now)
    }

    pub(crate) fn on_rent(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) -> Vec<Effect> {
        self.autoscaler.on_rent(now, request, outcome);
        self.run_due_work(now)
    }

    pub(crate) fn on_deleted(
        &mut self,
        now: MonotonicTime,
        ids: &[MachineId],
        ok: bool,
    ) -> Vec<Effect> {
        let mut cloud = Vec::new();
        self.autoscaler.on_deleted(now, ids, ok, &mut cloud);
        let mut effects = self.cloud_effects(now, cloud);
        effects.extend(self.run_due_work(now));
        effects
    }

    pub(crate) fn on_job_outcome(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        state: JobState,
    ) -> Vec<Effect> {
        self.cancellation_deadlines.record_outcome(job, state);
        self.learn_outcome(job, state);
        self.next_cancellation_scan = now;
        self.run_due_work(now)
    }

    pub(crate) fn tick(
        &mut self,
        now: MonotonicTime,
        unix_time: crate::ids::UnixTime,
    ) -> Vec<Effect> {
        self.autoscaler.unix_time = unix_time;
        self.scheduler.unix_time = unix_time;
        self.run_due_work(now)
    }

    /// How many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_change_rate(&mut self, changes: f64) {
        self.shard_owner.set_change_rate(changes);
        self.scheduler.set_change_rate(changes);
        self.autoscaler.change_rate = changes;
    }

    /// When the next tick is due; events may ask for an earlier one.
    pub(crate) fn next_tick_at(&self, now: MonotonicTime) -> MonotonicTime {
        let schedule = if self.needs_scheduling {
            self.next_schedule
        } else {
            now + MAX_SCHEDULE_INTERVAL
        };
        schedule.min(self.next_reconcile)
    }

    fn finish(&mut self, now: MonotonicTime, out: Vec<worker_control::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply_owner_effects(now, out, &mut effects);
        effects.extend(self.run_due_work(now));
        effects
    }

    /// Carries messages between this controller's own duties, and turns the rest into effects.
    fn apply_owner_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<worker_control::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let mut queue = VecDeque::from(out);
        while let Some(effect) = queue.pop_front() {
            match effect {
                worker_control::Effect::Txn { machine, txn } => effects.push(Effect::Txn {
                    requester: TxnRequester::ShardOwner(machine),
                    class: RequestClass::Place,
                    txn,
                }),
                worker_control::Effect::Call {
                    machine,
                    addr,
                    token,
                    epoch,
                    commands,
                } => effects.push(Effect::Call {
                    machine,
                    addr,
                    token,
                    epoch,
                    commands,
                }),
                worker_control::Effect::ToLeader(message) => {
                    let Some(leader) = &self.cache.leader else {
                        continue;
                    };
                    if leader.value.member == self.config.member {
                        self.dispatch(now, message, effects);
                    } else {
                        effects.push(Effect::Peer(leader.value.member.clone(), message));
                    }
                }
                worker_control::Effect::MachineDiscovered(id, record) => {
                    self.cache.discover(id, record);
                    self.shard_owner.compare_all_trackers();
                    self.next_reconcile = now;
                }
                worker_control::Effect::MachineLost(id) => self.cache.forget(&id),
                worker_control::Effect::RenewShard(shard) => self.renew(shard, effects),
            }
        }
    }

    fn renew(&self, shard: crate::ids::ShardId, effects: &mut Vec<Effect>) {
        if let Some(txn) = self.leadership.renew_shard(shard, &self.cache) {
            effects.push(Effect::Txn {
                requester: TxnRequester::Nobody,
                class: RequestClass::Place,
                txn,
            });
        }
    }

    fn dispatch(&mut self, now: MonotonicTime, message: Message, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        match message {
            Message::Allot(allotment) => {
                self.shard_owner
                    .on_allot(now, allotment, &self.cache, &mut out);
            }
            Message::Stop {
                machine,
                attempt,
                grace,
            } => self
                .shard_owner
                .on_stop(now, &machine, attempt, grace, &self.cache, &mut out),
            Message::Freed(attempts) => {
                for freed in attempts.iter().filter(|freed| freed.done) {
                    let task = &freed.attempt.task;
                    if let Some(job) = self.cache.jobs.get_mut(&task.job) {
                        job.report_done(task.index);
                    }
                }
                self.scheduler.on_freed(attempts);
                self.needs_scheduling = true;
            }
            Message::Refused { fence, attempts } => {
                self.scheduler.on_refused(fence, &attempts);
                self.needs_scheduling = true;
            }
            Message::EndedAttempt(ended) => {
                if ended.end == AttemptOutcome::Done
                    && let (Some(pipeline), Some(ran)) = (&ended.pipeline, ended.ran)
                {
                    self.history
                        .add(pipeline, &ended.type_name, ended.estimate_s, ran);
                }
                self.scheduler.on_ended(now, &ended, &self.cache);
                self.needs_scheduling = true;
            }
            Message::MisdirectedHeartbeats(machines) => {
                self.reachability.on_misdirected_heartbeats(now, machines)
            }
            Message::Health(health) => {
                let urgent = health.len() == 1;
                for h in &health {
                    if let Some(record) = &h.unrecorded {
                        self.cache.discover(h.machine.clone(), record.clone());
                    }
                }
                self.scheduler.on_health(now, health, &self.cache);
                self.needs_scheduling |= urgent;
            }
            // Dealt with before they get here.
            Message::Hello { .. }
            | Message::PeerStatus { .. }
            | Message::Relay { .. }
            | Message::ForwardedRequest { .. }
            | Message::ForwardedResponse { .. }
            | Message::Cancelled { .. }
            | Message::CancellationAcknowledged { .. } => {}
        }
        self.apply_owner_effects(now, out, effects);
    }

    /// Does whatever is due. Called after every input.
    fn run_due_work(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_reconcile {
            self.next_reconcile = now + RECONCILE_INTERVAL;
            let mut out = Vec::new();
            self.shard_owner.reconcile(now, &self.cache, &mut out);
            self.apply_owner_effects(now, out, &mut effects);
        }
        if let Some(txn) = self.leadership.step(now, &self.cache) {
            effects.push(Effect::Txn {
                requester: TxnRequester::Leadership,
                class: RequestClass::Lease,
                txn,
            });
        }
        let cancellation_deadlines = now >= self.next_cancellation_scan;
        if cancellation_deadlines {
            self.next_cancellation_scan = now + CANCELLATION_SCAN_INTERVAL;
            self.cancellation_deadlines.scan(now, &self.cache);
        }
        match self.leadership.settled_term(&self.cache) {
            Some(term) if now < self.lease_valid_until => {
                if cancellation_deadlines {
                    self.decommission_overdue(now, &mut effects);
                    let health = self.scheduler.health.values().map(|h| &h.last);
                    let shards = self.config.shards();
                    self.reachability.evaluate(now, shards, health, &self.cache);
                    self.leadership.quarantined = self.reachability.quarantined();
                }
                self.step_leader(now, term, &mut effects);
            }
            // Perhaps somebody else leads by now.
            Some(_) => self.decommission_owned(now, cancellation_deadlines, &mut effects),
            None => {
                self.decommission_owned(now, cancellation_deadlines, &mut effects);
                self.plans.clear();
                self.dependents.clear();
                self.completing.clear();
                self.history.clear();
            }
        }
        effects
    }
}

#[cfg(test)]
mod tests;
