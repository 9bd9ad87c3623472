//! The simulated cluster: its parts, simulated time and the dispatch of events.

use super::active_faults::ActiveFaults;
use super::clock::EventQueue;
use super::digest_recorder::Digest;
use super::events::SimulationEvent;
use super::fakes::{FakeStore, Worker};
use super::faults::Faults;
use super::guards::DisabledGuard;
use super::large_fleet_state::LargeFleetState;
use super::node::Node;
use super::observations::Observations;
use super::topology::{ClusterSize, THREE_CONTROLLERS, ZONES};
use crate::ids::{JobId, MachineId, MonotonicTime};
use crate::protocol::{JobKind, JobSpec};
use crate::store::keys;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// The number of machines at the start of a run.
const INITIAL_MACHINES: usize = 4;
/// The time between the starts of two controllers, in ms.
const START_INTERVAL_MS: u64 = 10;
/// When user requests, gang ticks, fault injection and leader stops begin, in ms since the start.
const FIRST_USER_TICK_MS: u64 = 3000;
const FIRST_GANG_TICK_MS: u64 = 500;
const FIRST_FAULTS_MS: u64 = 8000;
const FIRST_LEADER_STOP_MS: u64 = 12_000;

/// Real controllers with fakes of the services and machines around them, in simulated time.
pub(super) struct SimulatedCluster {
    /// The current simulated time.
    pub now: MonotonicTime,
    /// The scheduled events.
    pub queue: EventQueue,
    /// The source of all random numbers, drawn in the order of events so that runs are
    /// reproducible.
    rng: StdRng,
    /// The kinds of fault that are injected.
    pub faults: Faults,
    /// The faults that are currently in effect.
    pub active_faults: ActiveFaults,
    /// The guard that is disabled in this run, if any.
    pub disabled_guard: DisabledGuard,
    /// The key-value store.
    pub store: FakeStore,
    /// The nodes that controllers run on.
    pub nodes: Vec<Node>,
    /// The workers of all machines that were not deleted.
    pub workers: BTreeMap<MachineId, Worker>,
    /// The number of the most recently created machine.
    pub last_machine_number: u64,
    /// The machines provided for each rental request, so that a duplicate request rents no more.
    pub machines_by_rent_request: BTreeMap<String, Vec<MachineId>>,
    /// The number of zones.
    pub zone_count: usize,
    /// Jobs that users have submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    /// When the user of each cancelled job was told of the cancellation.
    pub confirmed_cancellations: BTreeMap<JobId, MonotonicTime>,
    /// Jobs whose users wait for a confirmation of the cancellation.
    pub pending_cancellations: BTreeSet<JobId>,
    /// The state of the large fleet; `None` for a small fleet.
    pub fleet: Option<LargeFleetState>,
    /// Observations that invariants and tests check.
    pub observed: Observations,
    /// The digest of all outputs of the controllers.
    pub digest: Digest,
}

impl SimulatedCluster {
    /// Creates a cluster with three controllers.
    pub(super) fn new(seed: u64, faults: Faults, disabled_guard: DisabledGuard) -> Self {
        Self::with_size(seed, faults, disabled_guard, THREE_CONTROLLERS)
    }

    /// Creates a cluster with the given number of controllers and zones.
    pub(super) fn with_size(
        seed: u64,
        faults: Faults,
        disabled_guard: DisabledGuard,
        size: ClusterSize,
    ) -> Self {
        let nodes = (0..size.controller_count)
            .map(|i| Node::new(i, size.controller_count, faults.rolling_upgrade));
        let mut cluster = Self {
            now: MonotonicTime(0),
            queue: EventQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            active_faults: ActiveFaults::default(),
            disabled_guard,
            store: FakeStore::default(),
            nodes: nodes.collect(),
            workers: BTreeMap::new(),
            last_machine_number: 0,
            machines_by_rent_request: BTreeMap::new(),
            zone_count: size.zone_count,
            jobs: BTreeMap::new(),
            confirmed_cancellations: BTreeMap::new(),
            pending_cancellations: BTreeSet::new(),
            fleet: None,
            observed: Observations::default(),
            digest: Digest::default(),
        };
        cluster.store.ignore_fences = disabled_guard == DisabledGuard::FencesIgnored;
        cluster.schedule_first_events();
        cluster
    }

    fn schedule_first_events(&mut self) {
        for _ in 0..INITIAL_MACHINES {
            let id = self.new_machine(false);
            self.schedule_in(0, SimulationEvent::MachineBoot(id));
        }
        for node in 0..self.nodes.len() {
            let ms = START_INTERVAL_MS * node as u64;
            self.schedule_in(ms, SimulationEvent::ControllerStart(node));
        }
        self.schedule_in(FIRST_USER_TICK_MS, SimulationEvent::UserTick);
        self.schedule_in(FIRST_GANG_TICK_MS, SimulationEvent::GangTick);
        self.schedule_in(FIRST_FAULTS_MS, SimulationEvent::InjectFaults);
        if self.faults.rolling_upgrade || self.faults.lowered_store_limits {
            self.schedule_upgrades();
        }
        if self.faults.leader_crashes {
            self.schedule_in(FIRST_LEADER_STOP_MS, SimulationEvent::StopLeader);
        }
    }

    /// Returns the time `ms` milliseconds from now.
    pub(super) fn time_in(&self, ms: u64) -> MonotonicTime {
        MonotonicTime(self.now.0 + ms)
    }

    /// Schedules an event `ms` milliseconds from now.
    pub(super) fn schedule_in(&mut self, ms: u64, event: SimulationEvent) {
        self.queue.push(self.time_in(ms), event);
    }

    /// Returns a random number between `from` and `to`, both included.
    pub(super) fn pick(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..=to)
    }

    /// Returns the index of a random node.
    pub(super) fn pick_node(&mut self) -> usize {
        self.pick(0, self.nodes.len() as u64 - 1) as usize
    }

    /// Returns true with a probability of `percent` percent.
    pub(super) fn chance(&mut self, percent: u64) -> bool {
        self.pick(1, 100) <= percent
    }

    /// Handles all events that are due at or before `until`, in ms since the start of the run.
    pub(super) fn run_until(&mut self, until: u64) {
        while let Some((due, event)) = self.queue.pop_until(MonotonicTime(until)) {
            self.now = due;
            // Leases don't expire during an outage of the store.
            if self.active_faults.store_outage_until <= self.now {
                self.store.expire(self.now);
            }
            self.handle_event(event);
        }
    }

    /// Ends all faults, so that all remaining work must finish.
    pub(super) fn heal(&mut self) {
        let now = self.now;
        self.faults = Faults::default();
        self.active_faults.healed = true;
        self.active_faults.slow_store_until = now;
        self.active_faults.zone_isolated_until = now;
        self.active_faults.partition.until = now;
        for node in &mut self.nodes {
            node.paused_until = now;
            node.store_cut_until = now;
            node.peers_cut_until = now;
        }
        self.end_store_outage();
        for worker in self.workers.values_mut() {
            worker.cut_until = now;
            worker.hang_until = now;
            worker.inbound_cut_until = now;
            worker.outbound_cut_until = now;
        }
    }

    /// Returns whether workers ignore launches, which they do after the heal under
    /// `DisabledGuard::LaunchesIgnoredAfterHeal`.
    pub(super) fn ignores_launches(&self) -> bool {
        self.disabled_guard == DisabledGuard::LaunchesIgnoredAfterHeal && self.active_faults.healed
    }

    /// Returns the jobs other than services that have no final state yet.
    pub(super) fn unfinished_jobs(&self) -> Vec<&JobId> {
        let ended = |id: &JobId| self.store.contains(&keys::final_state(id));
        let finite = self.jobs.iter().filter(|(_, s)| s.kind != JobKind::Service);
        finite.map(|(id, _)| id).filter(|id| !ended(id)).collect()
    }

    /// Adds a machine that has not booted yet.
    pub(super) fn new_machine(&mut self, spot: bool) -> MachineId {
        self.last_machine_number += 1;
        let id = MachineId::from(format!("vm-{:04}", self.last_machine_number).as_str());
        let worker = self.new_worker(spot);
        self.workers.insert(id.clone(), worker);
        id
    }

    /// Creates the worker of the most recently created machine.
    pub(super) fn new_worker(&self, spot: bool) -> Worker {
        let zone = ZONES[(self.last_machine_number % self.zone_count as u64) as usize];
        let node = (self.last_machine_number % self.nodes.len() as u64) as usize;
        Worker::booting(spot, zone, node, self.now)
    }

    /// Handles an event. Events for a paused controller are deferred until the pause ends.
    fn handle_event(&mut self, event: SimulationEvent) {
        let paused_until = event.node().map(|n| self.nodes[n].paused_until);
        if let Some(until) = paused_until.filter(|until| *until > self.now) {
            self.schedule_in(until.since(self.now).0 + 1, event);
            return;
        }
        self.dispatch(event);
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        use SimulationEvent as Event;
        match event {
            Event::ControllerStart(node) => self.start_controller(node),
            Event::ControllerTick(node) => self.tick_controller(node),
            Event::WatchPoll(node) => self.poll_watch(node),
            Event::WatchCacheLoaded(process, cache) => self.replace_watch_cache(process, *cache),
            Event::LeaseRenewal(node) => self.renew_lease(node),
            Event::TxnRequest(request) => self.receive_txn(request),
            Event::TxnResponse(response) => self.receive_txn_response(&response),
            Event::DirectCall(call) => self.handle_direct_call(call),
            Event::DirectCallResponse(response) => self.receive_call_response(response),
            Event::Peer(delivery) => self.receive_peer_message(delivery),
            Event::CloudCall(caller, effect) => self.handle_cloud_call(caller, effect),
            Event::MachineBoot(id) => self.boot_machine(id),
            Event::WorkerTick(id) => self.worker_tick(&id),
            Event::Heartbeat(delivery) => self.receive_heartbeat(delivery),
            Event::DuplicateHeartbeat(node, copy) => self.receive_duplicate_heartbeat(node, &copy),
            Event::HeartbeatResponse(response) => self.receive_heartbeat_response(response),
            Event::HeartbeatRedirect(redirect) => self.receive_redirect(&redirect),
            Event::ForwardedHeartbeat(forwarded) => self.receive_forwarded_heartbeat(forwarded),
            Event::ForwardedAnswer(forwarded) => self.receive_forwarded_answer(forwarded),
            Event::ForwardTimeout(timeout) => self.time_out_forward(&timeout),
            Event::GangTick => self.gang_tick(),
            Event::CheckUnreachable(id) => self.check_unreachable_machine_removed(&id),
            Event::InjectFaults => self.inject_faults(),
            Event::RestartControllers => self.restart_controllers(),
            Event::RestartController(node) => self.restart_controller(node),
            Event::StopLeader => self.stop_leader(),
            Event::StoreOutage(ms) => self.begin_store_outage(ms),
            Event::StoreOutageEnd => self.on_store_outage_end(),
            Event::LowerStoreLimits => self.lower_store_limits(),
            Event::Upgrade(node) => self.upgrade(node),
            Event::UserTick => self.user_tick(),
            Event::SubmitDependent(spec) => self.submit_dependent(spec),
            Event::RequestCancellation(job) => self.request_cancellation(job),
            Event::CancelRunning => self.cancel_running(),
            Event::CancelAtCompletion(job) => self.cancel(&job),
            Event::CancellationPoll(poll) => self.poll_cancellation(poll),
            Event::CascadeStep(step) => self.step_cascade(step),
        }
    }
}
