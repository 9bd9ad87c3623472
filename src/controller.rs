//! The decision logic of one controller. It performs no I/O and reads neither a clock nor randomness.
//! Each input, also the outcome of an effect, is a method call that returns the [`Effect`]s to execute. The
//! daemon executes them; tests do so in simulated time. Each duty, such as scheduling, has its own state. The
//! controller passes messages between the duties and, after every input, runs those that are due.

mod cancellation;
mod catalog;
mod cleanup;
mod completion;
mod dependents;
mod effects;
mod leader;
mod messages;
mod plans;
mod read_leases;
mod timers;

pub(crate) use effects::{Effect, TxnRequester};

use crate::cloud::{Autoscaler, RentOutcome};
use crate::config::Config;
use crate::ids::{
    Incarnation, JobId, LeaseId, MachineId, Millis, MonotonicTime, Revision, UnixTime,
};
use crate::leadership::{Leadership, ReachabilityMonitor};
use crate::placement::Scheduler;
use crate::planning::History;
use crate::protocol::store::Event;
use crate::protocol::{Catalog, Heartbeat, JobState, ListedMachine, RentRequest};
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use crate::worker_control::{
    self, DirectCallOutcome, HeartbeatAnswer, HeartbeatPath, SentCall, ShardOwner,
};
use cancellation::CancellationState;
use catalog::CatalogWriter;
use cleanup::RecordCleanup;
use completion::JobCompletions;
use dependents::DependentReleases;
use plans::PlanWriter;
use read_leases::ReadLeaseState;
use std::collections::BTreeSet;
use timers::{PeriodicTimer, ScheduleTimer};

/// How often all machine trackers are reconciled with the watch cache.
const RECONCILE_INTERVAL: Millis = Millis(200);
const AUTOSCALER_INTERVAL: Millis = Millis(400);
/// How often machine records are scanned for tasks of jobs that have ended.
const CANCELLATION_SCAN_INTERVAL: Millis = Millis(1000);
/// How often the leader scans for records that are no longer needed.
const CLEANUP_INTERVAL: Millis = Millis(2000);
/// Time between history writes. Each writes one pipeline's record: the first by name with unwritten samples.
const HISTORY_WRITE_INTERVAL: Millis = Millis(5000);

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

/// One controller. Every controller owns shards and watches the store; one of them is also the leader.
pub(crate) struct Controller {
    config: Config,
    /// The records of the key-value store, up to the last event that this controller has received.
    pub cache: WatchCache,
    /// Leader election and the assignment of shards.
    pub leadership: Leadership,
    /// The machines of the shards that this controller owns.
    pub shard_owner: ShardOwner,
    /// Task placement. Used by the leader only.
    pub scheduler: Scheduler,
    /// The fleet's size: renting and deleting machines. Decisions are made by the leader only.
    pub autoscaler: Autoscaler,
    reachability: ReachabilityMonitor,
    cancellation: CancellationState,
    read_leases: ReadLeaseState,
    dependents: DependentReleases,
    completions: JobCompletions,
    plans: PlanWriter,
    history: History,
    catalog: CatalogWriter,
    cleanup: RecordCleanup,
    timers: Timers,
    lease_valid_until: MonotonicTime,
}

impl Controller {
    /// Creates a controller with an empty watch cache and without a lease.
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            config: config.clone(),
            cache: WatchCache::new(config),
            leadership: Leadership::new(config, incarnation),
            shard_owner: ShardOwner::new(config, incarnation),
            scheduler: Scheduler::new(config),
            autoscaler: Autoscaler::new(config),
            reachability: ReachabilityMonitor::new(config),
            cancellation: CancellationState::default(),
            read_leases: ReadLeaseState::default(),
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

    /// Sets the time until which the lease is certainly valid. After it, another controller may lead without
    /// this one knowing, so this one places and preempts no tasks, and neither rents nor lists machines. It
    /// continues only to assign shards, as those transactions have a condition on the leader's record.
    pub(crate) fn set_lease_deadline(&mut self, until: MonotonicTime) {
        self.lease_valid_until = until;
    }

    /// Handles a new lease of this controller, or with `None` the loss of its lease.
    pub(crate) fn set_lease(&mut self, now: MonotonicTime, lease: Option<LeaseId>) -> Vec<Effect> {
        self.leadership.set_lease(lease, &self.cache);
        self.run_due_work(now)
    }

    /// Replaces the watch cache by one that was loaded from a new snapshot of the store.
    pub(crate) fn on_snapshot(&mut self, now: MonotonicTime, mut cache: WatchCache) -> Vec<Effect> {
        cache.take_over_from(&self.cache);
        self.cache = cache;
        self.record_revision(now);
        self.shard_owner.request_full_reconcile();
        self.timers.schedule.request();
        self.timers.reconcile.expedite(now);
        self.run_due_work(now)
    }

    /// Applies the store's next events. Also returns the jobs that ended with these events.
    pub(crate) fn on_events(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        events: Vec<Event>,
    ) -> (Vec<Effect>, Vec<JobId>) {
        let changed_machines: BTreeSet<MachineId> = events
            .iter()
            .filter_map(|e| keys::machine_from_key(e.put.as_deref().or(e.delete.as_deref())?))
            .collect();
        let ended = self.cache.apply(revision, events);
        self.record_revision(now);
        self.timers.schedule.request();
        let mut out = Vec::new();
        self.shard_owner
            .on_machines_changed(now, &changed_machines, &self.cache, &mut out);
        (self.apply_and_run_due_work(now, out), ended)
    }

    /// Handles a heartbeat that a worker sent directly to this controller.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        self.process_heartbeat(now, heartbeat, HeartbeatPath::DirectFromWorker)
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
        (answer, self.apply_and_run_due_work(now, out))
    }

    /// Handles a relayed heartbeat. Returns no answer if the worker should first try to send it directly.
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

    /// Returns owned machines without recent direct heartbeats. They may be unable to reach this controller.
    pub(crate) fn machines_without_direct_heartbeats(&self, now: MonotonicTime) -> Vec<MachineId> {
        self.shard_owner.machines_without_direct_heartbeats(now)
    }

    /// Sets whether some controllers can't reach each other. If so, some machines may be unreachable as well.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.shard_owner.set_partitioned(partitioned);
    }

    /// Handles the outcome of direct commands that were sent to a worker.
    pub(crate) fn on_direct_call_outcome(
        &mut self,
        now: MonotonicTime,
        call: &SentCall,
        outcome: DirectCallOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        self.shard_owner
            .on_direct_call_outcome(now, call, outcome, &self.cache, &mut out);
        self.apply_and_run_due_work(now, out)
    }

    /// Handles the outcome of a transaction.
    pub(crate) fn on_txn_outcome(
        &mut self,
        now: MonotonicTime,
        requester: &TxnRequester,
        outcome: &TxnOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        match requester {
            TxnRequester::ShardOwner(write) => {
                self.shard_owner
                    .on_txn_outcome(now, write, outcome, &mut self.cache, &mut out);
                self.timers.schedule.request();
            }
            TxnRequester::Leadership => self.leadership.on_txn_outcome(now, outcome),
            TxnRequester::Plans(jobs) => self.plans.on_outcome(now, jobs, outcome, &self.cache),
            TxnRequester::JobCompletion(job) => self.on_completion_outcome(job, outcome),
            TxnRequester::DependentRelease(job) => self.on_release_outcome(now, job, outcome),
            TxnRequester::CancelledDependents(jobs) => {
                if let TxnOutcome::Committed(revision) = outcome {
                    self.on_dependents_cancelled(jobs, *revision);
                }
            }
            TxnRequester::Catalog => self.catalog.on_outcome(now, outcome),
            TxnRequester::Nobody => {}
        }
        self.apply_and_run_due_work(now, out)
    }

    fn on_completion_outcome(&mut self, job: &JobId, outcome: &TxnOutcome) {
        self.completions.on_outcome(job, outcome);
        if matches!(outcome, TxnOutcome::Committed(_)) {
            self.apply_job_outcome(job, JobState::Done);
        }
    }

    /// Handles the cloud's machine types. `None` means that they could not be read.
    pub(crate) fn on_catalog(
        &mut self,
        now: MonotonicTime,
        catalog: Option<Catalog>,
    ) -> Vec<Effect> {
        self.autoscaler.on_catalog(now, catalog);
        self.run_due_work(now)
    }

    /// Handles the cloud's list of machines. `None` means that the list could not be read.
    pub(crate) fn on_machine_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
    ) -> Vec<Effect> {
        self.autoscaler.on_machine_list(now, machines, &self.cache);
        self.run_due_work(now)
    }

    /// Handles the outcome of a request to rent machines.
    pub(crate) fn on_rent_outcome(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) -> Vec<Effect> {
        self.autoscaler.on_rent_outcome(now, request, outcome);
        self.run_due_work(now)
    }

    /// Handles the outcome of a request to delete machines. `ok` says whether the cloud deleted them.
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

    /// Handles the state that was read from a job's final record.
    pub(crate) fn on_job_outcome(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        state: JobState,
    ) -> Vec<Effect> {
        self.cancellation.deadlines.record_outcome(job, state);
        self.apply_job_outcome(job, state);
        self.timers.cancellation_scan.expedite(now);
        self.run_due_work(now)
    }

    /// Runs the work that is due. `unix_time` may be off by as much as the settings allow.
    pub(crate) fn tick(&mut self, now: MonotonicTime, unix_time: UnixTime) -> Vec<Effect> {
        self.autoscaler.unix_time = unix_time;
        self.scheduler.unix_time = unix_time;
        self.run_due_work(now)
    }

    /// Sets how many changes per second the key-value store accepts from all controllers together.
    pub(crate) fn set_store_write_rate(&mut self, changes: f64) {
        self.shard_owner.set_store_write_rate(changes);
        self.scheduler.set_store_write_rate(changes);
        self.autoscaler.store_write_rate = changes;
    }

    /// Returns when the next tick is due. An input may make a tick due earlier.
    pub(crate) fn next_tick_at(&self, now: MonotonicTime) -> MonotonicTime {
        let schedule = self.timers.schedule.next(now);
        schedule.min(self.timers.reconcile.next())
    }

    fn apply_and_run_due_work(
        &mut self,
        now: MonotonicTime,
        out: Vec<worker_control::Effect>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply_owner_effects(now, out, &mut effects);
        effects.extend(self.run_due_work(now));
        effects
    }

    fn run_due_work(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.reconcile_shards(now, &mut effects);
        self.step_leadership(now, &mut effects);
        let scan_due = self.scan_cancellations(now);
        match self.leadership.established_term(&self.cache) {
            Some(term) if now < self.lease_valid_until => {
                if scan_due {
                    self.decommission_overdue(now, &mut effects);
                    self.evaluate_reachability(now);
                }
                self.step_leader(now, term, &mut effects);
            }
            // The lease may have expired, so another controller may be the leader.
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
