//! All decisions of one controller: its duties put together, without I/O, clock or randomness.
//!
//! Inputs come as calls, what has to be done goes out as [`Effect`]s, and their outcomes come back
//! as calls again. The daemon executes the effects; tests do so in simulated time. Each duty has its
//! own state; the controller passes messages between them and says when they are due.

mod cancellation;
mod catalog;
mod cleanup;
mod completion;
mod dependents;
mod effects;
mod leader;
mod messages;
mod plans;
mod timers;

pub(crate) use effects::{Effect, TxnRequester};

use crate::cloud::{Autoscaler, RentOutcome};
use crate::config::Config;
use crate::ids::{
    FencingToken, Incarnation, JobId, LeaseId, MachineId, Millis, MonotonicTime, Revision, UnixTime,
};
use crate::leadership::{Leadership, ReachabilityMonitor};
use crate::placement::Scheduler;
use crate::planning::History;
use crate::protocol::store::Event;
use crate::protocol::{Catalog, Heartbeat, JobState, ListedMachine, RentRequest};
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use crate::worker_control::{self, DirectCallOutcome, HeartbeatAnswer, HeartbeatPath, ShardOwner};
use cancellation::CancellationDuty;
use catalog::CatalogWriter;
use cleanup::RecordCleanup;
use completion::JobCompletions;
use dependents::DependentReleases;
use plans::PlanWriter;
use std::collections::BTreeSet;
use timers::{PeriodicTimer, ScheduleTimer};

/// How often all trackers are reconciled with the watch cache.
const RECONCILE_INTERVAL: Millis = Millis(200);
/// How often the autoscaler decides.
const AUTOSCALER_INTERVAL: Millis = Millis(400);
/// How often jobs that are over are looked for among those that still have tasks on record.
const CANCELLATION_SCAN_INTERVAL: Millis = Millis(1000);
/// How often records that are no longer needed are looked for.
const CLEANUP_INTERVAL: Millis = Millis(2000);
/// How often one pipeline's history is written.
const HISTORY_WRITE_INTERVAL: Millis = Millis(5000);

/// When each periodic duty is due next.
struct Timers {
    reconcile: PeriodicTimer,
    schedule: ScheduleTimer,
    autoscaler: PeriodicTimer,
    cancellation_scan: PeriodicTimer,
    cleanup: PeriodicTimer,
    history: PeriodicTimer,
}

impl Timers {
    fn new() -> Self {
        Self {
            reconcile: PeriodicTimer::new(RECONCILE_INTERVAL),
            schedule: ScheduleTimer::default(),
            autoscaler: PeriodicTimer::new(AUTOSCALER_INTERVAL),
            cancellation_scan: PeriodicTimer::new(CANCELLATION_SCAN_INTERVAL),
            cleanup: PeriodicTimer::new(CLEANUP_INTERVAL),
            history: PeriodicTimer::new(HISTORY_WRITE_INTERVAL),
        }
    }
}

/// One controller. Every controller owns shards and watches the store; one of them also leads.
pub(crate) struct Controller {
    config: Config,
    /// The records of the key-value store, as this controller has seen them so far.
    pub cache: WatchCache,
    /// Leader election and the assignment of shards.
    pub leadership: Leadership,
    /// The machines of the shards that this controller owns.
    pub shard_owner: ShardOwner,
    /// The leader's decisions on placement.
    pub scheduler: Scheduler,
    /// The leader's decisions on the fleet's size.
    pub autoscaler: Autoscaler,
    reachability: ReachabilityMonitor,
    cancellation: CancellationDuty,
    dependents: DependentReleases,
    completions: JobCompletions,
    plans: PlanWriter,
    history: History,
    catalog: CatalogWriter,
    cleanup: RecordCleanup,
    timers: Timers,
    /// This controller's lease holds at least until then.
    lease_valid_until: MonotonicTime,
}

impl Controller {
    /// A controller at its start, with an empty watch cache and without a lease.
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            config: config.clone(),
            cache: WatchCache::new(config),
            leadership: Leadership::new(config, incarnation),
            shard_owner: ShardOwner::new(config, incarnation),
            scheduler: Scheduler::new(config),
            autoscaler: Autoscaler::new(config),
            reachability: ReachabilityMonitor::new(config),
            cancellation: CancellationDuty::default(),
            dependents: DependentReleases::default(),
            completions: JobCompletions::default(),
            plans: PlanWriter::default(),
            history: History::default(),
            catalog: CatalogWriter::default(),
            cleanup: RecordCleanup::default(),
            timers: Timers::new(),
            lease_valid_until: MonotonicTime::default(),
        }
    }

    /// The lease holds at least until then. A controller that can't say so may have been replaced
    /// as leader without knowing: it stops nothing and leaves the cloud alone.
    pub(crate) fn set_lease_deadline(&mut self, until: MonotonicTime) {
        self.lease_valid_until = until;
    }

    /// This controller got a lease, or lost it.
    pub(crate) fn set_lease(&mut self, now: MonotonicTime, lease: Option<LeaseId>) -> Vec<Effect> {
        self.leadership.set_lease(lease, &self.cache);
        self.run_due_work(now)
    }

    /// A watch cache that was read anew takes the old one's place.
    pub(crate) fn on_snapshot(&mut self, now: MonotonicTime, mut cache: WatchCache) -> Vec<Effect> {
        cache.copy_cancelled_from(&self.cache);
        self.cache = cache;
        self.shard_owner.request_full_reconcile();
        self.timers.schedule.request();
        self.timers.reconcile.expedite(now);
        self.run_due_work(now)
    }

    /// The next changes of the store. Returns also the jobs that ended by them.
    pub(crate) fn on_events(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        events: Vec<Event>,
    ) -> (Vec<Effect>, Vec<JobId>) {
        let touched: BTreeSet<MachineId> = events
            .iter()
            .filter_map(|e| keys::machine_from_key(e.put.as_deref().or(e.delete.as_deref())?))
            .collect();
        let ended = self.cache.apply(revision, events);
        self.timers.schedule.request();
        let mut out = Vec::new();
        self.shard_owner
            .on_machines_changed(now, &touched, &self.cache, &mut out);
        (self.finish(now, out), ended)
    }

    /// A worker's heartbeat, as its worker sent it here.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        self.process_heartbeat(now, heartbeat, HeartbeatPath::Direct)
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

    /// A heartbeat that another controller relays. `None`: its worker should try to bring it here.
    pub(crate) fn on_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (Option<HeartbeatAnswer>, Vec<Effect>) {
        if !self
            .shard_owner
            .try_accept_relayed_heartbeat(now, &heartbeat.machine)
        {
            return (None, Vec::new());
        }
        let (answer, effects) = self.process_heartbeat(now, heartbeat, HeartbeatPath::Relayed);
        (Some(answer), effects)
    }

    /// Machines of owned shards without a direct heartbeat for so long that they may be cut off.
    pub(crate) fn machines_without_direct_heartbeats(&self, now: MonotonicTime) -> Vec<MachineId> {
        self.shard_owner.machines_without_direct_heartbeats(now)
    }

    /// Whether some controllers can't reach each other: machines may be cut off likewise.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.shard_owner.set_partitioned(partitioned);
    }

    /// The outcome of direct commands that were sent under a token.
    pub(crate) fn on_direct_call_outcome(
        &mut self,
        now: MonotonicTime,
        machine: &MachineId,
        token: FencingToken,
        outcome: DirectCallOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        self.shard_owner.on_direct_call_outcome(
            now,
            machine,
            token,
            outcome,
            &self.cache,
            &mut out,
        );
        self.finish(now, out)
    }

    /// The outcome of a transaction.
    pub(crate) fn on_txn_outcome(
        &mut self,
        now: MonotonicTime,
        requester: &TxnRequester,
        outcome: &TxnOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        match requester {
            TxnRequester::ShardOwner(machine) => {
                self.shard_owner
                    .on_txn_outcome(now, machine, outcome, &mut self.cache, &mut out);
                self.timers.schedule.request();
            }
            TxnRequester::Leadership => self.leadership.on_txn_outcome(now, outcome),
            TxnRequester::Plans(jobs) => self.plans.on_outcome(now, jobs, outcome, &self.cache),
            TxnRequester::JobCompletion(job) => self.on_completion(job, outcome),
            TxnRequester::DependentRelease(job) => self.on_release(now, job, outcome),
            TxnRequester::CancelledDependents(jobs) => {
                if let TxnOutcome::Committed(revision) = outcome {
                    self.on_dependents_cancelled(jobs, *revision);
                }
            }
            TxnRequester::Catalog => self.catalog.on_outcome(now, outcome),
            TxnRequester::Nobody => {}
        }
        self.finish(now, out)
    }

    fn on_completion(&mut self, job: &JobId, outcome: &TxnOutcome) {
        self.completions.on_outcome(job, outcome);
        if matches!(outcome, TxnOutcome::Committed(_)) {
            self.learn_outcome(job, JobState::Done);
        }
    }

    /// The cloud's machine types. `None`: it did not answer.
    pub(crate) fn on_catalog(
        &mut self,
        now: MonotonicTime,
        catalog: Option<Catalog>,
    ) -> Vec<Effect> {
        self.autoscaler.on_catalog(now, catalog);
        self.run_due_work(now)
    }

    /// The cloud's list of machines. `None`: it did not answer.
    pub(crate) fn on_machine_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
    ) -> Vec<Effect> {
        self.autoscaler.on_machine_list(now, machines, &self.cache);
        self.run_due_work(now)
    }

    /// The outcome of a request for machines.
    pub(crate) fn on_rent_outcome(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) -> Vec<Effect> {
        self.autoscaler.on_rent_outcome(now, request, outcome);
        self.run_due_work(now)
    }

    /// Whether the cloud has deleted these machines.
    pub(crate) fn on_delete_outcome(
        &mut self,
        now: MonotonicTime,
        ids: &[MachineId],
        ok: bool,
    ) -> Vec<Effect> {
        let mut cloud = Vec::new();
        self.autoscaler.on_delete_outcome(now, ids, ok, &mut cloud);
        let mut effects = self.apply_cloud_effects(now, cloud);
        effects.extend(self.run_due_work(now));
        effects
    }

    /// How a job has ended, as its final record says.
    pub(crate) fn on_job_outcome(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        state: JobState,
    ) -> Vec<Effect> {
        self.cancellation.deadlines.record_outcome(job, state);
        self.learn_outcome(job, state);
        self.timers.cancellation_scan.expedite(now);
        self.run_due_work(now)
    }

    /// Time has passed. `unix_time` is only as good as the settings' bound.
    pub(crate) fn tick(&mut self, now: MonotonicTime, unix_time: UnixTime) -> Vec<Effect> {
        self.autoscaler.unix_time = unix_time;
        self.scheduler.unix_time = unix_time;
        self.run_due_work(now)
    }

    /// How many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_store_write_rate(&mut self, changes: f64) {
        self.shard_owner.set_store_write_rate(changes);
        self.scheduler.set_store_write_rate(changes);
        self.autoscaler.store_write_rate = changes;
    }

    /// When the next tick is due; inputs may make an earlier one due.
    pub(crate) fn next_tick_at(&self, now: MonotonicTime) -> MonotonicTime {
        let schedule = self.timers.schedule.next(now);
        schedule.min(self.timers.reconcile.next())
    }

    fn finish(&mut self, now: MonotonicTime, out: Vec<worker_control::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply_owner_effects(now, out, &mut effects);
        effects.extend(self.run_due_work(now));
        effects
    }

    /// Does whatever is due. Called after every input.
    fn run_due_work(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.reconcile_shards(now, &mut effects);
        self.step_leadership(now, &mut effects);
        let scan_due = self.scan_cancellations(now);
        match self.leadership.settled_term(&self.cache) {
            Some(term) if now < self.lease_valid_until => {
                if scan_due {
                    self.decommission_overdue(now, &mut effects);
                    self.evaluate_reachability(now);
                }
                self.step_leader(now, term, &mut effects);
            }
            // Perhaps another controller leads by now.
            Some(_) => self.decommission_owned(now, scan_due, &mut effects),
            None => {
                self.decommission_owned(now, scan_due, &mut effects);
                self.clear_leader_state();
            }
        }
        effects
    }

    fn reconcile_shards(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.timers.reconcile.take_due(now) {
            let mut out = Vec::new();
            self.shard_owner.reconcile(now, &self.cache, &mut out);
            self.apply_owner_effects(now, out, effects);
        }
    }

    fn step_leadership(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if let Some(txn) = self.leadership.step(now, &self.cache) {
            effects.push(Effect::Txn {
                requester: TxnRequester::Leadership,
                class: RequestClass::Lease,
                txn,
            });
        }
    }
}

#[cfg(test)]
mod tests;
