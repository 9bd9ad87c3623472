//! Simulated time, the network between the parts, the troubles, and the checks.

use super::digest::Digest;
use super::pipelines::PipelineCounts;
use super::stand_ins::{StoreModel, Worker, WorkerTask};
use crate::api::dependencies::CancellationCascade;
use crate::cancellation::RoundId;
use crate::cloud::RentOutcome;
use crate::config::tests::sample_config;
use crate::config::{Config, Team};
use crate::controller::{Controller, Effect, TxnRequester};
use crate::ids::{
    FencingToken, Incarnation, JobId, LeaseId, MachineId, Member, MonotonicTime, Revision,
    WorkerEpoch,
};
use crate::peers::{Message, over_link};
use crate::protocol::store::Txn;
use crate::protocol::{
    Catalog, Command, ExitReason, Heartbeat, JobKind, JobSpec, JobState, ListedMachine,
    MachineState, TaskState,
};
use crate::store::rate_limiter::TokenBucket;
use crate::store::records::{FinalRecord, MemberRecord, ProgramVersion};
use crate::store::{TxnOutcome, keys};
use crate::worker_control::{DirectCallOutcome, HeartbeatAnswer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Faults {
    pub controller_crashes: bool,
    pub lost_responses: bool,
    pub machine_failures: bool,
    pub store_disconnects: bool,
    /// Heartbeats of some machines arrive, but no answer and no command gets there.
    pub outbound_only_machines: bool,
    /// Copies of heartbeats come once more, up to several leases late, to any controller.
    pub duplicate_heartbeats: bool,
    /// A controller loses the key-value store and its peers, but not its workers.
    pub isolated_controllers: bool,
    /// Processes are back within a fraction of a second, all at once too, and end again before
    /// the election that they met is over.
    pub restarts_in_election: bool,
    /// Users ask for more than their teams' limits all the time.
    pub overload: bool,
    /// A controller stands still for longer than every lease while its clocks run on.
    pub controller_pauses: bool,
    /// A zone is cut off from everything outside, with a controller in it.
    pub zone_isolation: bool,
    /// Requests that were carried out come once more, up to several leases later.
    pub duplicate_requests: bool,
    /// The key-value store refuses the leader alone, users cancel through the others, and then it
    /// is out for everybody for longer than a cancellation has.
    pub refusal_then_outage: bool,
    /// Machines can't reach any controller, while direct commands reach them.
    pub inbound_only_machines: bool,
    /// The key-value store takes its time: transactions are given up and carried out later, and
    /// the watch caches lag by seconds.
    pub slow_store: bool,
    /// The leader ends every eleven seconds, in outages too, and is back at any time.
    pub leader_crashes: bool,
    /// All controllers are away for longer than a lease.
    pub control_plane_outage: bool,
    /// Jobs are cancelled at the very moment of their tasks' end.
    pub cancel_at_completion: bool,
    /// Two zones can't reach each other, and a third reaches both.
    pub zone_partition: bool,
    /// Users name other jobs that have to be done first.
    pub dependent_jobs: bool,
    /// Controllers begin as the earlier version, and come back as this one, one after the other.
    pub rolling_upgrade: bool,
    /// The key-value store lowers its limits after a while.
    pub lowered_store_limits: bool,
}

/// How many controllers there are, and zones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub members: usize,
    pub zones: usize,
}

pub(super) const THREE_CONTROLLERS: Shape = Shape {
    members: 3,
    zones: 2,
};
pub(super) const FIVE_CONTROLLERS: Shape = Shape {
    members: 5,
    zones: 3,
};
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Where a controller stands: of five, two in the first zone and two in the second.
pub(super) fn zone_of(node: usize, members: usize) -> &'static str {
    match (members, node) {
        (5, node) => ZONES[node / 2],
        (_, ISOLATED_ZONE_CONTROLLER) => "b",
        _ => "a",
    }
}

impl Faults {
    pub(super) const NONE: Self = Self {
        controller_crashes: false,
        lost_responses: false,
        machine_failures: false,
        store_disconnects: false,
        outbound_only_machines: false,
        duplicate_heartbeats: false,
        isolated_controllers: false,
        restarts_in_election: false,
        overload: false,
        controller_pauses: false,
        zone_isolation: false,
        duplicate_requests: false,
        refusal_then_outage: false,
        inbound_only_machines: false,
        slow_store: false,
        leader_crashes: false,
        control_plane_outage: false,
        cancel_at_completion: false,
        zone_partition: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };

    pub(super) const ALL: Self = Self {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        store_disconnects: true,
        outbound_only_machines: true,
        duplicate_heartbeats: true,
        isolated_controllers: true,
        restarts_in_election: true,
        overload: true,
        controller_pauses: true,
        zone_isolation: true,
        duplicate_requests: true,
        refusal_then_outage: true,
        inbound_only_machines: true,
        slow_store: true,
        leader_crashes: true,
        control_plane_outage: true,
        cancel_at_completion: true,
        zone_partition: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };
}

/// A guard that is deliberately missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisabledGuard {
    None,
    /// A command without an answer counts as never sent.
    LostCallsCountAsUnsent,
    /// The cloud's answer to a deletion is not waited for.
    UnconfirmedDeletionsTrusted,
    /// The store does not check the fences of shards and machines.
    FencesIgnored,
    /// Whoever is asked answers, machines that are long deleted too.
    DeletedMachinesAnswer,
    /// Commands count as carried out by machines that nothing reaches.
    UnreachableMachinesAcknowledge,
    /// Users are told of a cancellation as soon as its record is written.
    CancellationConfirmedAtOnce,
    /// Nothing goes around two zones that can't reach each other.
    RelayDisabled,
    /// Once all is well, workers start nothing.
    LaunchesIgnoredAfterHeal,
    /// Workers forget exited tasks once they have reported them, as if told to at once.
    ExitedTasksForgottenAtOnce,
    /// Jobs are accepted as if nothing that they name had to be done first.
    DependenciesIgnored,
    /// A job that has left the watch cache counts as done.
    MissingParentCountsAsDone,
    /// Jobs that need a cancelled one are left as they are.
    DependentsNotCancelled,
    /// Jobs that name others are accepted while an earlier version takes part.
    OldVersionsAcceptDependencies,
}

pub(super) enum SimulationEvent {
    Tick(usize),
    Watch(usize),
    Extend(usize),
    Txn(usize, u64, TxnRequester, Txn, bool),
    TxnDone(usize, u64, TxnRequester, TxnOutcome),
    Call(
        usize,
        u64,
        MachineId,
        FencingToken,
        WorkerEpoch,
        Vec<Command>,
        u32,
    ),
    CallDone(usize, u64, MachineId, FencingToken, DirectCallOutcome),
    /// To, from.
    Peer(usize, usize, Message),
    Worker(MachineId),
    Heartbeat(usize, MachineId, u64, Heartbeat),
    Copy(usize, Heartbeat),
    /// A machine could not be reached for long.
    Deaf(MachineId),
    Answer(MachineId, u64, FencingToken, Vec<Command>),
    Redirect(MachineId, u64, Option<usize>),
    Cloud(usize, u64, Effect),
    Boot(MachineId),
    Start(usize),
    Faults,
    Flap,
    User,
    Gangs,
    /// A user asks for a cancellation, or asks again.
    Cancel(JobId),
    /// Whether the user may be told, until then.
    Told(usize, u64, JobId, RoundId, MonotonicTime),
    /// Users call off what runs, all at once.
    CancelRunning,
    /// The key-value store is out for everybody for so long.
    Outage(u64),
    OutageEnds,
    EndLeader,
    CancelAtEnd(JobId),
    /// A user submits a job that names others, or does so again.
    Submit(JobSpec),
    /// What needs a cancelled job is cancelled too, until then.
    CancellationCascade(usize, u64, JobId, CancellationCascade, MonotonicTime),
    /// A controller ends and comes back as the present version.
    Upgrade(usize),
    /// The key-value store takes less from now on.
    LowerLimits,
}

impl SimulationEvent {
    /// The controller that has to do something.
    fn node(&self) -> Option<usize> {
        match self {
            Self::Tick(node)
            | Self::Watch(node)
            | Self::Extend(node)
            | Self::TxnDone(node, ..)
            | Self::CallDone(node, ..)
            | Self::Peer(node, ..)
            | Self::Told(node, ..)
            | Self::CancellationCascade(node, ..)
            | Self::Heartbeat(node, ..)
            | Self::Copy(node, _) => Some(*node),
            _ => None,
        }
    }
}

pub(super) struct Entry(MonotonicTime, u64, SimulationEvent);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub(super) struct Node {
    pub config: Config,
    pub controller: Option<Controller>,
    /// Rises with each end, so that what belongs to an earlier generation is dropped.
    pub generation: u64,
    pub watched_revision: Revision,
    pub lease: Option<LeaseId>,
    pub previous_lease: Option<LeaseId>,
    pub store_cut_until: MonotonicTime,
    pub peers_cut_until: MonotonicTime,
    pub frozen_until: MonotonicTime,
    /// Cancelled jobs whose record this generation has written or read.
    pub final_records_seen: BTreeSet<JobId>,
    /// It runs the earlier version of the program.
    pub earlier_version: bool,
}

/// A large fleet: what the settings allow is then refused beyond its rates, and counted.
pub(super) struct Scale {
    /// Up from the start, and at most.
    pub machines: (usize, usize),
    pub slots: u64,
    /// Between two arrays, and between two services, in ms.
    pub array_ms: u64,
    pub service_ms: u64,
    pub tasks: (u64, u64),
    /// What the key-value store takes a second.
    pub changes: f64,
    pub rates: Vec<TokenBucket>,
    pub counts: Counts,
}

/// What was asked of the key-value store, and what was done with it.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub transactions: u64,
    pub refused: u64,
    pub changes: u64,
    pub by_requester: BTreeMap<&'static str, u64>,
    pub ended: u64,
}

pub(super) struct SimulatedCluster {
    pub now: MonotonicTime,
    /// Services submitted to a large fleet.
    pub services: u64,
    pub order: u64,
    pub queue: BinaryHeap<Reverse<Entry>>,
    pub rng: StdRng,
    pub faults: Faults,
    pub disabled_guard: DisabledGuard,
    pub store: StoreModel,
    pub nodes: Vec<Node>,
    pub workers: BTreeMap<MachineId, Worker>,
    /// Zone `b` and the controller in it hear nothing from outside until then.
    pub zone_cut_until: MonotonicTime,
    pub rented: BTreeMap<String, Vec<MachineId>>,
    pub next_machine: u64,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub completed_indices: BTreeMap<JobId, BTreeSet<u32>>,
    /// When users were told that their jobs are cancelled.
    pub cancelled: BTreeMap<JobId, MonotonicTime>,
    /// Cancellations that users wait for.
    pub cancelling: BTreeSet<JobId>,
    pub outage_until: MonotonicTime,
    pub slow_until: MonotonicTime,
    pub zones: usize,
    /// These two zones can't reach each other until then; what was sent comes after, or never.
    pub partition: [&'static str; 2],
    pub partition_until: MonotonicTime,
    pub partition_delays_messages: bool,
    /// Messages and heartbeats that went around the cut.
    pub relayed: u64,
    /// Tasks that ended with their machine or its lease.
    pub tasks_lost: u64,
    /// When the troubles were over.
    pub healed_at: MonotonicTime,
    /// Since when a job has nothing on any machine and could have.
    pub starving_since: BTreeMap<JobId, MonotonicTime>,
    /// How often troubles met as the day's name says.
    pub faults_met: u64,
    pub final_states_seen: BTreeMap<JobId, JobState>,
    pub healed: bool,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Machines that were deleted.
    pub deleted_machines: BTreeSet<MachineId>,
    /// Since when records of machines that are gone stand, once all troubles are over.
    pub deleted_records_since: BTreeMap<MachineId, MonotonicTime>,
    /// Until when a controller stood still last.
    pub last_pause_until: MonotonicTime,
    pub scale: Option<Scale>,
    pub pipelines: PipelineCounts,
    /// Of all that left the controllers.
    pub digest: Digest,
}

/// As many of them as there are controllers.
pub(super) const MEMBERS: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];
/// The controller in zone `b`.
pub(super) const ISOLATED_ZONE_CONTROLLER: usize = 2;
pub(super) const SHARD_LEASE_MS: u64 = 16_000;
pub(super) const CANCELLATION_LIMIT_MS: u64 = 30_000;
/// A machine that nothing reaches for so long must have been given up.
pub(super) const UNREACHABLE_LIMIT_MS: u64 = 36_000;

impl SimulatedCluster {
    pub(super) fn new(seed: u64, faults: Faults, disabled_guard: DisabledGuard) -> Self {
        Self::of_shape(seed, faults, disabled_guard, THREE_CONTROLLERS)
    }

    pub(super) fn of_shape(
        seed: u64,
        faults: Faults,
        disabled_guard: DisabledGuard,
        shape: Shape,
    ) -> Self {
        let (members, zones) = (shape.members, shape.zones);
        let nodes = (0..members).map(|i| {
            let mut config = sample_config();
            config.member = MEMBERS[i].into();
            let addr = config.peer_listen;
            let others = MEMBERS[..members].iter().filter(|m| **m != MEMBERS[i]);
            config.controllers = members as u32;
            config.peers = others.map(|m| (Member::from(*m), addr)).collect();
            Node {
                config,
                controller: None,
                generation: 0,
                watched_revision: Revision(0),
                lease: None,
                previous_lease: None,
                store_cut_until: MonotonicTime(0),
                peers_cut_until: MonotonicTime(0),
                frozen_until: MonotonicTime(0),
                final_records_seen: BTreeSet::new(),
                earlier_version: faults.rolling_upgrade,
            }
        });
        let mut cluster = Self {
            now: MonotonicTime(0),
            services: 0,
            order: 0,
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            disabled_guard,
            store: StoreModel {
                ignore_fences: disabled_guard == DisabledGuard::FencesIgnored,
                ..StoreModel::default()
            },
            nodes: nodes.collect(),
            workers: BTreeMap::new(),
            zone_cut_until: MonotonicTime(0),
            rented: BTreeMap::new(),
            next_machine: 0,
            jobs: BTreeMap::new(),
            completed_indices: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            cancelling: BTreeSet::new(),
            outage_until: MonotonicTime(0),
            slow_until: MonotonicTime(0),
            zones,
            partition: ["", ""],
            partition_until: MonotonicTime(0),
            partition_delays_messages: false,
            relayed: 0,
            tasks_lost: 0,
            healed_at: MonotonicTime(0),
            starving_since: BTreeMap::new(),
            faults_met: 0,
            final_states_seen: BTreeMap::new(),
            healed: false,
            violations: Vec::new(),
            starts: 0,
            deleted_machines: BTreeSet::new(),
            deleted_records_since: BTreeMap::new(),
            last_pause_until: MonotonicTime(0),
            scale: None,
            pipelines: PipelineCounts::default(),
            digest: Digest::default(),
        };
        for _ in 0..4 {
            let id = cluster.new_machine(false);
            cluster.schedule_in(0, SimulationEvent::Boot(id));
        }
        for node in 0..members {
            cluster.schedule_in(10 * node as u64, SimulationEvent::Start(node));
        }
        cluster.schedule_in(3000, SimulationEvent::User);
        cluster.schedule_in(500, SimulationEvent::Gangs);
        cluster.schedule_in(8000, SimulationEvent::Faults);
        if faults.rolling_upgrade || faults.lowered_store_limits {
            cluster.begin_upgrade();
        }
        if faults.leader_crashes {
            cluster.schedule_in(12_000, SimulationEvent::EndLeader);
        }
        cluster
    }

    pub(super) fn schedule_in(&mut self, ms: u64, event: SimulationEvent) {
        self.order += 1;
        self.queue.push(Reverse(Entry(
            MonotonicTime(self.now.0 + ms),
            self.order,
            event,
        )));
    }

    pub(super) fn pick(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..=to)
    }

    pub(super) fn pick_node(&mut self) -> usize {
        self.pick(0, self.nodes.len() as u64 - 1) as usize
    }

    pub(super) fn chance(&mut self, percent: u64) -> bool {
        self.pick(1, 100) <= percent
    }

    pub(super) fn run(&mut self, until: u64) {
        while let Some(Reverse(entry)) = self.queue.pop() {
            if entry.0.0 > until {
                self.queue.push(Reverse(entry));
                return;
            }
            self.now = entry.0;
            // In an outage leases keep their time.
            if self.outage_until <= self.now {
                self.store.expire(self.now);
            }
            self.handle_event(entry.2);
        }
    }

    /// How long a message between a controller and a machine is held.
    pub(super) fn blocked_until(&self, node: usize, zone: &str) -> MonotonicTime {
        let parted = self.partitioned_until(zone_of(node, self.nodes.len()), zone);
        let cut = if (node == ISOLATED_ZONE_CONTROLLER) == (zone == "b") {
            MonotonicTime(0)
        } else {
            self.zone_cut_until
        };
        parted.max(cut)
    }

    /// Ends all troubles, so that what remains must finish.
    pub(super) fn heal(&mut self) {
        self.healed = true;
        self.healed_at = self.now;
        self.slow_until = self.now;
        self.zone_cut_until = self.now;
        self.partition_until = self.now;
        for node in &mut self.nodes {
            node.frozen_until = self.now;
        }
        self.faults = Faults::default();
        for node in &mut self.nodes {
            node.store_cut_until = self.now;
            node.peers_cut_until = self.now;
        }
        self.end_outage();
        for worker in self.workers.values_mut() {
            worker.cut_until = self.now;
            worker.hang_until = self.now;
            worker.inbound_cut_until = self.now;
            worker.outbound_cut_until = self.now;
        }
    }

    pub(super) fn unfinished(&self) -> Vec<&JobId> {
        let ended = |id: &JobId| self.store.keys.contains_key(&keys::final_state(id));
        let arrays = self.jobs.iter().filter(|(_, s)| s.kind != JobKind::Service);
        arrays.map(|(id, _)| id).filter(|id| !ended(id)).collect()
    }

    pub(super) fn new_machine(&mut self, spot: bool) -> MachineId {
        self.next_machine += 1;
        let id = MachineId::from(format!("vm-{:04}", self.next_machine).as_str());
        let worker = self.new_worker(spot);
        self.workers.insert(id.clone(), worker);
        id
    }

    /// The machines of a large fleet, up from the start.
    pub(super) fn start_large_fleet(&mut self) {
        let Some(scale) = &self.scale else { return };
        let changes = scale.changes;
        let more = scale.machines.0.saturating_sub(self.workers.len());
        for _ in 0..more {
            let id = self.new_machine(false);
            self.schedule_in(0, SimulationEvent::Boot(id));
        }
        for node in &mut self.nodes {
            node.config.state.rates.changes = changes;
            node.config.state.rates.requests = 200.0;
            node.config.state.least_rates = node.config.state.rates;
            for team in node.config.teams.values_mut() {
                *team = Team::of_cpus(10_000_000, 30_000_000);
            }
        }
    }

    pub(super) fn new_worker(&self, spot: bool) -> Worker {
        Worker {
            spot,
            zone: ZONES[(self.next_machine % self.zones as u64) as usize],
            epoch: WorkerEpoch(1),
            sequence: crate::ids::HeartbeatSequence(0),
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            node: (self.next_machine % self.nodes.len() as u64) as usize,
            answered: self.now,
            next_heartbeat: self.now,
            awaiting: None,
            cut_until: MonotonicTime(0),
            hang_until: MonotonicTime(0),
            inbound_cut_until: MonotonicTime(0),
            outbound_cut_until: MonotonicTime(0),
            dead: true,
        }
    }

    pub(super) fn handle_event(&mut self, event: SimulationEvent) {
        // What comes to a controller that stands still is held for it.
        let frozen = event.node().map(|n| self.nodes[n].frozen_until);
        if let Some(until) = frozen.filter(|until| *until > self.now) {
            self.schedule_in(until.since(self.now).0 + 1, event);
            return;
        }
        match event {
            SimulationEvent::Start(node) => self.start(node),
            SimulationEvent::Tick(node) => {
                let now = self.now;
                self.report_partition(node);
                if let Some(c) = self.nodes[node].controller.as_mut() {
                    let effects = c.tick(now, crate::ids::UnixTime(now.0));
                    self.execute(node, effects);
                    self.schedule_in(25, SimulationEvent::Tick(node));
                }
            }
            SimulationEvent::Watch(node) => self.watch(node),
            SimulationEvent::Extend(node) => self.renew_lease(node),
            SimulationEvent::Txn(node, generation, requester, txn, answered) => {
                let cut = self.nodes[node].store_cut_until > self.now;
                let outcome = if (cut && answered) || !self.admits(node, &requester, &txn) {
                    TxnOutcome::Refused
                } else {
                    self.store.txn(&txn)
                };
                self.check_final_states();
                if let Some(ms) = self.duplicate_delay() {
                    let again =
                        SimulationEvent::Txn(node, generation, requester.clone(), txn, false);
                    self.schedule_in(ms, again);
                }
                // What comes once more may bring a record back for a while: see `check_deleted_records_removed`.
                if let TxnOutcome::Committed(revision) = &outcome
                    && answered
                    && !self.faults.lost_responses
                    && !self.faults.slow_store
                    && !self.healed
                {
                    self.check_no_record_recreated(*revision);
                }
                if answered {
                    let ms = self.pick(1, 4);
                    self.schedule_in(
                        ms,
                        SimulationEvent::TxnDone(node, generation, requester, outcome),
                    );
                }
            }
            SimulationEvent::TxnDone(node, generation, requester, outcome) => {
                let now = self.now;
                self.with_controller(node, generation, |c| c.on_txn(now, &requester, &outcome));
            }
            SimulationEvent::Call(node, generation, id, token, epoch, commands, tries) => {
                self.call(node, generation, id, token, epoch, commands, tries);
            }
            SimulationEvent::CallDone(node, generation, id, token, outcome) => {
                let now = self.now;
                self.with_controller(node, generation, |c| c.on_call(now, &id, token, outcome));
            }
            SimulationEvent::Peer(node, from, message) => {
                let (now, generation) = (self.now, self.nodes[node].generation);
                let from = Member::from(MEMBERS[from]);
                self.with_controller(node, generation, |c| c.on_peer(now, &from, message));
            }
            SimulationEvent::Worker(id) => self.work(&id),
            SimulationEvent::Heartbeat(node, id, ticket, heartbeat) => {
                self.heartbeat(node, id, ticket, heartbeat)
            }
            SimulationEvent::Copy(node, heartbeat) => {
                self.deliver_duplicate_heartbeat(node, &heartbeat)
            }
            SimulationEvent::Answer(id, ticket, token, commands) => {
                self.answer(&id, ticket, token, &commands)
            }
            SimulationEvent::Redirect(id, ticket, to) => {
                let (now, members) = (self.now, self.nodes.len());
                if let Some(w) = self.workers.get_mut(&id)
                    && w.inbound_cut_until <= now
                    && w.awaiting.is_some_and(|(t, _)| t == ticket)
                {
                    w.awaiting = None;
                    match to {
                        Some(to) if to != w.node => {
                            w.node = to;
                            w.next_heartbeat = self.now;
                        }
                        _ => {
                            w.node = (w.node + 1) % members;
                            w.next_heartbeat = MonotonicTime(self.now.0 + 1000);
                        }
                    }
                }
            }
            SimulationEvent::Cloud(node, generation, effect) => {
                self.cloud(node, generation, effect)
            }
            SimulationEvent::Boot(id) => {
                if let Some(w) = self.workers.get_mut(&id) {
                    w.dead = false;
                    w.answered = self.now;
                    self.schedule_in(0, SimulationEvent::Worker(id));
                }
            }
            SimulationEvent::Faults => self.inject_faults(),
            SimulationEvent::Flap => self.restart_controllers(),
            SimulationEvent::Deaf(id) => {
                let stands = self.workers.get(&id).is_some_and(|w| !w.dead);
                // Without a leader, or a key-value store, no record of a machine goes.
                let t = &self.faults;
                let led = !(t.controller_crashes
                    || t.refusal_then_outage
                    || t.leader_crashes
                    || t.control_plane_outage
                    || t.slow_store);
                let only = led && !self.healed;
                let due = MonotonicTime(self.last_pause_until.0 + UNREACHABLE_LIMIT_MS);
                if stands && only && self.now < due {
                    // Nobody could notice while controllers stood still.
                    let deaf = self
                        .workers
                        .get(&id)
                        .is_some_and(|w| w.inbound_cut_until >= due);
                    if deaf {
                        self.schedule_in(due.since(self.now).0, SimulationEvent::Deaf(id));
                    }
                } else if stands && only && self.store.keys.contains_key(&keys::machine(&id)) {
                    self.record_violation("kept_deaf", &id);
                }
            }
            SimulationEvent::User => self.user(),
            SimulationEvent::Gangs => self.gangs(),
            SimulationEvent::Cancel(job) => self.request_cancellation(job),
            SimulationEvent::Told(node, generation, job, round, until) => {
                self.poll_cancellation(node, generation, job, round, until);
            }
            SimulationEvent::CancelRunning => self.cancel_running(),
            SimulationEvent::Outage(ms) => self.begin_outage(ms),
            SimulationEvent::EndLeader => self.stop_leader(),
            SimulationEvent::CancelAtEnd(job) => self.cancel(&job),
            SimulationEvent::Submit(spec) => self.submit_dependent(spec),
            SimulationEvent::CancellationCascade(node, generation, job, cascade, until) => {
                self.cascade(node, generation, job, cascade, until);
            }
            SimulationEvent::Upgrade(node) => self.upgrade(node),
            SimulationEvent::LowerLimits => self.lower_limits(),
            SimulationEvent::OutageEnds => {
                if self.outage_until <= self.now {
                    self.end_outage();
                }
            }
        }
    }

    pub(super) fn with_controller(
        &mut self,
        node: usize,
        generation: u64,
        f: impl FnOnce(&mut Controller) -> Vec<Effect>,
    ) {
        if self.nodes[node].generation == generation
            && let Some(controller) = self.nodes[node].controller.as_mut()
        {
            let effects = f(controller);
            self.execute(node, effects);
        }
    }

    pub(super) fn start(&mut self, node: usize) {
        // Without the key-value store there is no watch cache and no lease: it answers nobody.
        let cut = self.nodes[node].store_cut_until;
        if cut > self.now {
            self.schedule_in(cut.since(self.now).0, SimulationEvent::Start(node));
            return;
        }
        let incarnation = Incarnation(self.pick(1, 1 << 40));
        let n = &mut self.nodes[node];
        n.generation += 1;
        n.watched_revision = Revision(0);
        n.final_records_seen.clear();
        let mut controller = Controller::new(&n.config, incarnation);
        let effects =
            controller.on_snapshot(self.now, self.store.snapshot(&n.config, n.earlier_version));
        n.watched_revision = self.store.revision;
        n.controller = Some(controller);
        n.previous_lease = n.lease.take();
        self.execute(node, effects);
        self.acquire_lease(node, incarnation);
        self.schedule_in(1, SimulationEvent::Tick(node));
        self.schedule_in(2, SimulationEvent::Watch(node));
        self.schedule_in(1500, SimulationEvent::Extend(node));
    }

    /// Ends the earlier generation's lease and takes a new one.
    pub(super) fn acquire_lease(&mut self, node: usize, incarnation: Incarnation) {
        if let Some(old) = self.nodes[node].previous_lease.take() {
            self.store.revoke_lease(old);
        }
        let lease = self.store.create_lease(MonotonicTime(self.now.0 + 5000));
        if self.duplicate_delay().is_some() {
            self.store.create_lease(MonotonicTime(self.now.0 + 5000));
        }
        let member = Member::from(MEMBERS[node]);
        let mut record = MemberRecord::new(incarnation, lease);
        if self.nodes[node].earlier_version {
            record.version = ProgramVersion::default();
        }
        let mut txn = Txn::default();
        txn.put(keys::member(&member), &record, Some(lease));
        self.store.txn(&txn);
        self.nodes[node].lease = Some(lease);
        let (now, generation) = (self.now, self.nodes[node].generation);
        self.with_controller(node, generation, |c| {
            c.set_lease_deadline(MonotonicTime(now.0 + 5000));
            c.set_lease(now, Some(lease))
        });
    }

    pub(super) fn renew_lease(&mut self, node: usize) {
        if self.nodes[node].controller.is_none() {
            return;
        }
        if self.nodes[node].store_cut_until <= self.now
            && let Some(lease) = self.nodes[node].lease
        {
            if let Some(until) = self.store.leases.get_mut(&lease) {
                *until = MonotonicTime(self.now.0 + 5000);
                if let Some(c) = self.nodes[node].controller.as_mut() {
                    c.set_lease_deadline(MonotonicTime(self.now.0 + 5000));
                }
            } else if let Some(c) = &self.nodes[node].controller {
                let incarnation = c.leadership.incarnation();
                let (now, generation) = (self.now, self.nodes[node].generation);
                self.with_controller(node, generation, |c| c.set_lease(now, None));
                self.acquire_lease(node, incarnation);
            }
        }
        self.schedule_in(1500, SimulationEvent::Extend(node));
    }

    pub(super) fn watch(&mut self, node: usize) {
        if self.nodes[node].controller.is_none() {
            return;
        }
        if self.nodes[node].store_cut_until <= self.now {
            let earlier = self.nodes[node].earlier_version;
            let events = self
                .store
                .events(self.nodes[node].watched_revision, earlier);
            let revision = self.store.revision;
            self.nodes[node].watched_revision = revision;
            if !events.is_empty() {
                let (now, generation) = (self.now, self.nodes[node].generation);
                self.with_controller(node, generation, |c| c.on_events(now, revision, events).0);
            }
        }
        let ms = if self.slow_until > self.now {
            self.pick(200, 3000)
        } else {
            self.pick(2, 12)
        };
        self.schedule_in(ms, SimulationEvent::Watch(node));
    }

    pub(super) fn execute(&mut self, node: usize, effects: Vec<Effect>) {
        let generation = self.nodes[node].generation;
        self.count_dependents(&effects);
        for effect in effects {
            self.digest.add_effect(node, &effect);
            match effect {
                Effect::Txn {
                    requester: TxnRequester::CancelledDependents(_),
                    ..
                } if self.disabled_guard == DisabledGuard::DependentsNotCancelled => {}
                Effect::Txn { requester, txn, .. } => {
                    let slow = self.slow_until > self.now;
                    let lost = (self.faults.lost_responses && self.chance(12))
                        || (slow && self.chance(30));
                    let ms = match (lost, slow) {
                        (true, _) => self.pick(1, 20_000),
                        (false, true) => self.pick(100, 1400),
                        (false, false) => self.pick(1, 5),
                    };
                    if lost {
                        let done = SimulationEvent::TxnDone(
                            node,
                            generation,
                            requester.clone(),
                            TxnOutcome::Unknown,
                        );
                        self.schedule_in(1500, done);
                    }
                    self.schedule_in(
                        ms,
                        SimulationEvent::Txn(node, generation, requester, txn, !lost),
                    );
                }
                Effect::Call {
                    machine,
                    token,
                    epoch,
                    commands,
                    ..
                } => {
                    let ms = self.pick(1, 5);
                    self.schedule_in(
                        ms,
                        SimulationEvent::Call(node, generation, machine, token, epoch, commands, 0),
                    );
                }
                Effect::Peer(member, message) => {
                    let to = MEMBERS
                        .iter()
                        .position(|m| *m == member.as_str())
                        .unwrap_or(0);
                    let now = self.now;
                    let cut = |n: usize| self.nodes[n].peers_cut_until > now;
                    let members = self.nodes.len();
                    let parted =
                        self.partitioned_until(zone_of(node, members), zone_of(to, members)) > now;
                    let cut = cut(node) || cut(to) || parted;
                    if parted && let Some(between) = self.relay_between(node, to) {
                        self.schedule_in(10, SimulationEvent::Peer(to, node, over_link(&message)));
                        self.relayed += u64::from(between != node);
                        continue;
                    }
                    let lost = cut || (self.faults.lost_responses && self.chance(5));
                    if !lost {
                        let ms = self.pick(1, 5);
                        self.schedule_in(ms, SimulationEvent::Peer(to, node, over_link(&message)));
                    }
                }
                effect => {
                    let at_once = self.disabled_guard == DisabledGuard::MissingParentCountsAsDone;
                    let ms = if at_once { 0 } else { self.pick(50, 200) };
                    self.schedule_in(ms, SimulationEvent::Cloud(node, generation, effect));
                }
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn call(
        &mut self,
        node: usize,
        generation: u64,
        id: MachineId,
        token: FencingToken,
        epoch: WorkerEpoch,
        commands: Vec<Command>,
        tries: u32,
    ) {
        let now = self.now;
        let lost = self.faults.lost_responses && self.chance(10);
        let unanswered = match self.disabled_guard {
            DisabledGuard::LostCallsCountAsUnsent => DirectCallOutcome::NotSent,
            _ => DirectCallOutcome::Unknown,
        };
        let ghost = self.disabled_guard == DisabledGuard::DeletedMachinesAnswer
            && self.deleted_machines.contains(&id);
        let cut = self
            .workers
            .get(&id)
            .map(|w| self.blocked_until(node, w.zone));
        let Some(worker) = self.workers.get_mut(&id).filter(|w| !w.dead) else {
            if ghost {
                let mut ghost = self.new_worker(false);
                ghost.token = token;
                let heartbeat = ghost.heartbeat(id.as_str());
                self.schedule_in(
                    2,
                    SimulationEvent::CallDone(
                        node,
                        generation,
                        id,
                        token,
                        DirectCallOutcome::Done(heartbeat),
                    ),
                );
                return;
            }
            if tries == 0 {
                self.schedule_in(
                    1500,
                    SimulationEvent::CallDone(node, generation, id, token, unanswered),
                );
            }
            return;
        };
        if worker.inbound_cut_until > now
            && self.disabled_guard == DisabledGuard::UnreachableMachinesAcknowledge
        {
            let heartbeat = worker.heartbeat(id.as_str());
            self.schedule_in(
                2,
                SimulationEvent::CallDone(
                    node,
                    generation,
                    id,
                    token,
                    DirectCallOutcome::Done(heartbeat),
                ),
            );
            return;
        }
        let lost = lost
            || (cut.is_some_and(|c| c > now)
                && !self.partition_delays_messages
                && tries == 0
                && cut == Some(self.partition_until));
        let silent = worker
            .cut_until
            .max(worker.hang_until)
            .max(worker.inbound_cut_until)
            .max(cut.unwrap_or_default());
        if silent > now || (lost && tries == 0) {
            // Held, and carried out when the machine goes on, long after the sender gave up.
            if tries == 0 {
                let done =
                    SimulationEvent::CallDone(node, generation, id.clone(), token, unanswered);
                self.schedule_in(1500, done);
            }
            let wait = silent.since(now).0.max(if lost { 15_000 } else { 0 }) + 3;
            self.schedule_in(
                wait,
                SimulationEvent::Call(node, generation, id, token, epoch, commands, tries + 1),
            );
            return;
        }
        let idle = self.disabled_guard == DisabledGuard::LaunchesIgnoredAfterHeal && self.healed;
        let commands = if idle { Vec::new() } else { commands };
        let ok = token >= worker.token && epoch == worker.epoch;
        let mut launched = Vec::new();
        if ok {
            worker.token = token;
            launched = worker.execute(now, &commands);
        }
        let (id_again, orders_again) = (id.clone(), commands);
        let heartbeat = worker.heartbeat(id.as_str());
        self.check_launches(&id, &launched, tries == 0);
        if tries == 0 {
            let outcome = if ok {
                DirectCallOutcome::Done(heartbeat)
            } else {
                DirectCallOutcome::Rejected(Some(heartbeat))
            };
            self.schedule_in(
                2,
                SimulationEvent::CallDone(node, generation, id, token, outcome),
            );
        }
        if ok && let Some(ms) = self.duplicate_delay() {
            let again = SimulationEvent::Call(
                node,
                generation,
                id_again,
                token,
                epoch,
                orders_again,
                tries + 1,
            );
            self.schedule_in(ms, again);
        }
    }

    /// When what was just carried out comes once more, if it does.
    pub(super) fn duplicate_delay(&mut self) -> Option<u64> {
        let comes = self.faults.duplicate_requests && self.chance(10);
        comes.then(|| self.pick(200, 4 * SHARD_LEASE_MS))
    }

    /// One worker's turn: finish tasks, let the lease run out, send a heartbeat.
    pub(super) fn work(&mut self, id: &MachineId) {
        let (now, members) = (self.now, self.nodes.len());
        self.order += 1;
        let ticket = self.order;
        let Some(w) = self.workers.get_mut(id).filter(|w| !w.dead) else {
            return;
        };
        let mut send = None;
        let mut ended = Vec::new();
        if w.hang_until <= now {
            if now.since(w.answered).0 > SHARD_LEASE_MS {
                w.epoch.0 += 1;
                let running = |t: &&WorkerTask| t.state == TaskState::Running;
                self.tasks_lost += w.tasks.values().filter(running).count() as u64;
                w.tasks.clear();
                w.answered = now;
                w.awaiting = None;
            }
            for (attempt, task) in &mut w.tasks {
                let spec = self.jobs.get(&attempt.task.job);
                let array = spec.is_some_and(|s| s.kind == JobKind::Array);
                if task.state == TaskState::Running && task.until <= now && array {
                    task.state = TaskState::Exited;
                    task.exit_reason = Some(ExitReason::Done);
                    if let Some(scale) = &mut self.scale {
                        scale.counts.ended += 1;
                    }
                    let done = self
                        .completed_indices
                        .entry(attempt.task.job.clone())
                        .or_default();
                    done.insert(attempt.task.index);
                    ended.push(attempt.task.job.clone());
                    w.next_heartbeat = w.next_heartbeat.min(now);
                }
            }
            if w.awaiting.is_some_and(|(_, at)| now.since(at).0 >= 4000) {
                w.awaiting = None;
                w.node = (w.node + 1) % members;
                w.next_heartbeat = MonotonicTime(now.0 + 1000);
            }
            if w.awaiting.is_none() && now >= w.next_heartbeat && w.cut_until <= now {
                if w.outbound_cut_until > now {
                    w.node = (w.node + 1) % members;
                    w.next_heartbeat = MonotonicTime(now.0 + 1000);
                } else {
                    w.awaiting = Some((ticket, now));
                    w.next_heartbeat = MonotonicTime(now.0 + 2000);
                    send = Some((w.node, w.heartbeat(id.as_str())));
                }
            }
        }
        for job in ended {
            if self.faults.cancel_at_completion && self.chance(30) {
                let ms = self.pick(0, 60);
                self.faults_met += 1;
                self.schedule_in(ms, SimulationEvent::CancelAtEnd(job));
            }
        }
        if let Some((node, heartbeat)) = send {
            let late = self.faults.lost_responses && self.chance(5);
            let ms = if late {
                self.pick(3000, 9000)
            } else {
                self.pick(1, 4)
            };
            if self.faults.duplicate_heartbeats && self.chance(8) {
                let to = self.pick_node();
                let ms = self.pick(1000, 4 * SHARD_LEASE_MS);
                self.schedule_in(ms, SimulationEvent::Copy(to, heartbeat.clone()));
            }
            self.schedule_in(
                ms,
                SimulationEvent::Heartbeat(node, id.clone(), ticket, heartbeat),
            );
        }
        self.schedule_in(100, SimulationEvent::Worker(id.clone()));
    }

    /// Gangs start together once all are there, end together, and notice a member's loss.
    pub(super) fn gangs(&mut self) {
        let now = self.now;
        self.check_cancelled_tasks_stopped();
        self.check_no_orphans();
        self.check_no_starvation();
        self.check_deleted_records_removed();
        let mut there: BTreeMap<(JobId, crate::ids::AttemptNumber), Vec<TaskState>> =
            BTreeMap::new();
        let up = |w: &&mut Worker| !w.dead && w.hang_until <= now;
        for worker in self.workers.values_mut().filter(up) {
            for (attempt, task) in &worker.tasks {
                if self
                    .jobs
                    .get(&attempt.task.job)
                    .is_some_and(|s| s.kind == JobKind::Gang)
                {
                    let key = (attempt.task.job.clone(), attempt.number);
                    there.entry(key).or_default().push(task.state);
                }
            }
        }
        let mut finished = Vec::new();
        for worker in self.workers.values_mut().filter(up) {
            for (attempt, task) in &mut worker.tasks {
                let Some(states) = there.get(&(attempt.task.job.clone(), attempt.number)) else {
                    continue;
                };
                let alive = states.iter().filter(|s| **s != TaskState::Exited).count();
                let full = alive == self.jobs[&attempt.task.job].tasks as usize;
                let (state, exit_reason) = match task.state {
                    TaskState::Waiting if full => {
                        task.until = MonotonicTime(now.0 + 4000);
                        (TaskState::Running, None)
                    }
                    TaskState::Waiting if now >= task.until => {
                        (TaskState::Exited, Some(ExitReason::Alone))
                    }
                    TaskState::Running if !full => (TaskState::Exited, Some(ExitReason::Peers)),
                    TaskState::Running if now >= task.until => {
                        finished.push(attempt.task.job.clone());
                        (TaskState::Exited, Some(ExitReason::Done))
                    }
                    _ => continue,
                };
                (task.state, task.exit_reason) = (state, exit_reason);
                worker.next_heartbeat = worker.next_heartbeat.min(now);
            }
        }
        for id in finished {
            let tasks = self.jobs[&id].tasks;
            self.completed_indices
                .entry(id)
                .or_default()
                .extend(0..tasks);
        }
        self.schedule_in(500, SimulationEvent::Gangs);
    }

    pub(super) fn heartbeat(
        &mut self,
        node: usize,
        id: MachineId,
        ticket: u64,
        heartbeat: Heartbeat,
    ) {
        let now = self.now;
        let held = self.blocked_until(node, heartbeat.zone.as_str());
        if held > now {
            if held == self.partition_until && !self.partition_delays_messages {
                return;
            }
            // It arrives after the cut; nobody waits for the answer any more.
            self.schedule_in(
                held.since(now).0 + 3,
                SimulationEvent::Copy(node, heartbeat),
            );
            return;
        }
        let Some(c) = self.nodes[node].controller.as_mut() else {
            self.schedule_in(5, SimulationEvent::Redirect(id, ticket, None));
            return;
        };
        let (mut answer, effects) = c.on_heartbeat(now, &heartbeat);
        self.digest.add_answer(node, &answer);
        self.execute(node, effects);
        let ms = self.pick(1, 4);
        if let HeartbeatAnswer::Redirect(Some(owner)) = &answer
            && let Some(relayed) = self.relay_heartbeat(node, owner.clone(), &heartbeat)
        {
            answer = relayed;
        }
        match answer {
            HeartbeatAnswer::Commands(token, commands) => {
                self.schedule_in(ms, SimulationEvent::Answer(id, ticket, token, commands));
            }
            HeartbeatAnswer::Redirect(to) => {
                let to = to.and_then(|t| MEMBERS.iter().position(|m| *m == t.as_str()));
                self.schedule_in(ms, SimulationEvent::Redirect(id, ticket, to));
            }
        }
    }

    /// A heartbeat comes once more; nobody waits for the answer.
    pub(super) fn deliver_duplicate_heartbeat(&mut self, node: usize, heartbeat: &Heartbeat) {
        let now = self.now;
        if let Some(c) = self.nodes[node].controller.as_mut() {
            let (_, effects) = c.on_heartbeat(now, heartbeat);
            self.execute(node, effects);
        }
    }

    pub(super) fn answer(
        &mut self,
        id: &MachineId,
        ticket: u64,
        token: FencingToken,
        commands: &[Command],
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id).filter(|w| !w.dead) else {
            return;
        };
        let Some((awaited, sent)) = w.awaiting else {
            return;
        };
        // Responses of an earlier epoch, too late, with a lower token, or that can't get
        // through are dropped.
        let unreached = w.cut_until.max(w.hang_until).max(w.inbound_cut_until) > now;
        let late = now.since(sent).0 >= 4000 || unreached;
        if awaited != ticket || late {
            return;
        }
        w.awaiting = None;
        if token < w.token {
            return;
        }
        let idle = self.disabled_guard == DisabledGuard::LaunchesIgnoredAfterHeal && self.healed;
        let launched = w.execute(now, if idle { &[] } else { commands });
        w.answered = sent;
        if self.disabled_guard == DisabledGuard::ExitedTasksForgottenAtOnce {
            w.forget_exited();
        }
        if token > w.token || !commands.is_empty() {
            w.next_heartbeat = MonotonicTime(now.0 + 500);
        }
        w.token = token;
        self.check_launches(id, &launched, true);
    }

    pub(super) fn cloud(&mut self, node: usize, generation: u64, effect: Effect) {
        let now = self.now;
        if let Some(ms) = self.duplicate_delay() {
            let again = match &effect {
                Effect::Rent(request) => Some(Effect::Rent(request.clone())),
                Effect::Delete(ids) => Some(Effect::Delete(ids.clone())),
                _ => None,
            };
            if let Some(again) = again {
                // Nobody waits for the answer any more.
                self.schedule_in(ms, SimulationEvent::Cloud(node, u64::MAX, again));
            }
        }
        match effect {
            Effect::Rent(request) => {
                let known = self.rented.get(&request.request).cloned();
                let up = self.workers.len();
                let ids = known.unwrap_or_else(|| {
                    let most = self.scale.as_ref().map_or(14, |s| s.machines.1);
                    let free = most.saturating_sub(up).min(request.count as usize);
                    let ids: Vec<_> = (0..free).map(|_| self.new_machine(request.spot)).collect();
                    for id in &ids {
                        let boot = self.pick(1000, 6000);
                        if !self.chance(5) {
                            self.schedule_in(boot, SimulationEvent::Boot(id.clone()));
                        }
                    }
                    self.rented.insert(request.request.clone(), ids.clone());
                    ids
                });
                let outcome = match ids.is_empty() {
                    true => RentOutcome::NoCapacity,
                    false if self.faults.lost_responses && self.chance(20) => RentOutcome::Again,
                    false => RentOutcome::Rented(ids),
                };
                self.with_controller(node, generation, |c| c.on_rent(now, &request, outcome));
            }
            Effect::Delete(ids) => {
                // With standing controllers alone no machine is at fault.
                let alone = Faults {
                    controller_pauses: true,
                    overload: self.faults.overload,
                    cancel_at_completion: self.faults.cancel_at_completion,
                    ..Faults::default()
                };
                let only = self.faults == alone;
                let busy = |w: &Worker| w.tasks.values().any(|t| t.state == TaskState::Running);
                let healthy = |id: &&MachineId| self.workers.get(*id).is_some_and(busy);
                if only && let Some(id) = ids.iter().find(healthy).cloned() {
                    self.record_violation("deleted_healthy", id);
                }
                if self.disabled_guard != DisabledGuard::UnconfirmedDeletionsTrusted {
                    for id in &ids {
                        let gone = self.workers.remove(id).filter(|w| !w.dead);
                        let running = |t: &&WorkerTask| t.state == TaskState::Running;
                        let tasks = gone.iter().flat_map(|w| w.tasks.values());
                        self.tasks_lost += tasks.filter(running).count() as u64;
                        self.deleted_machines.insert(id.clone());
                    }
                }
                let ok = !(self.faults.lost_responses && self.chance(20));
                self.with_controller(node, generation, |c| c.on_deleted(now, &ids, ok));
            }
            Effect::List => {
                let list = self.workers.iter().map(|(id, w)| ListedMachine {
                    id: id.clone(),
                    type_name: "t8".into(),
                    zone: w.zone.into(),
                    spot: w.spot,
                    state: if w.sequence.0 == 0 {
                        MachineState::Booting
                    } else {
                        MachineState::Running
                    },
                    age_s: 5.0,
                });
                let list = list.collect();
                self.with_controller(node, generation, |c| c.on_list(now, Some(list)));
            }
            Effect::Catalog => {
                let slots = self.scale.as_ref().map_or(4, |s| s.slots);
                let catalog: Catalog = serde_json::from_value(json!({"hulls": [
                    {"name": "t8", "cores": 2 * slots, "cards": 0, "memory_gb": 16 * slots, "cache_gb": 50,
                     "fetch_gb_per_s": 1.0, "price": 1.0, "low_price": 0.4, "startup_s": 4,
                     "berths": &ZONES[..self.zones]}]}))
                .expect("catalog");
                self.with_controller(node, generation, |c| c.on_catalog(now, Some(catalog)));
            }
            Effect::QueryOutcome(job) => {
                let final_records_seen = self.store.keys.get(&keys::final_state(&job));
                let record =
                    final_records_seen.and_then(|v| serde_json::from_value(v.0.clone()).ok());
                let cut = self.nodes[node].store_cut_until > now;
                if let Some(FinalRecord { state, .. }) = record.filter(|_| !cut) {
                    let state = match self.disabled_guard {
                        DisabledGuard::MissingParentCountsAsDone => JobState::Done,
                        _ => state,
                    };
                    self.with_controller(node, generation, |c| c.on_job_outcome(now, &job, state));
                }
            }
            Effect::Txn { .. } | Effect::Call { .. } | Effect::Peer(..) => {}
        }
    }
}
