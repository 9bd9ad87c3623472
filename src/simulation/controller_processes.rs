//! The lifecycle of a controller process: start, tick, lease renewal and watch.

use super::cluster::SimulatedCluster;
use super::events::{ControllerProcess, SimulationEvent};
use super::guards::DisabledGuard;
use super::timing::MEMBER_LEASE_MS;
use super::topology::MEMBERS;
use crate::controller::{Controller, Effect};
use crate::ids::{Incarnation, MemberId, Revision, UnixTime};
use crate::peers::PendingForwards;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::{MemberRecord, ProgramVersion};
use crate::store::watch_cache::WatchCache;

/// The interval between ticks of a controller, in ms.
const TICK_MS: u64 = 25;
/// The interval between lease renewals of a controller, in ms.
const LEASE_RENEWAL_MS: u64 = 1500;
/// The lag of the watch, in ms, normally and while the store is slow.
const WATCH_LAG_MS: (u64, u64) = (2, 12);
const SLOW_WATCH_LAG_MS: (u64, u64) = (200, 3000);
/// Under the fault `watch_cache_reloads`, one of so many polls of the watch loads the watch cache again,
/// and the time that it takes, in ms.
const RELOAD_ONE_POLL_IN: u64 = 100;
const RELOAD_MS: (u64, u64) = (20, 600);

impl SimulatedCluster {
    /// Returns the process that currently runs on a node.
    pub(super) fn process(&self, node: usize) -> ControllerProcess {
        ControllerProcess {
            node,
            generation: self.nodes[node].generation,
        }
    }

    /// Calls a controller and executes the returned effects, unless the process has stopped.
    pub(super) fn with_controller(
        &mut self,
        process: ControllerProcess,
        call: impl FnOnce(&mut Controller) -> Vec<Effect>,
    ) {
        if let Some(controller) = self.nodes[process.node].process(process.generation) {
            let effects = call(controller);
            self.execute(process.node, effects);
        }
    }

    /// Stops a controller. Returns whether it was running.
    pub(super) fn stop_process(&mut self, node: usize) -> bool {
        let running = self.nodes[node].controller.take().is_some();
        self.nodes[node].generation += u64::from(running);
        running
    }

    /// Starts a controller. While the key-value store is unreachable, the start is postponed, since
    /// the controller needs a snapshot and a lease from the store.
    pub(super) fn start_controller(&mut self, node: usize) {
        let cut_until = self.nodes[node].store_cut_until;
        if cut_until > self.now {
            let ms = cut_until.since(self.now).0;
            self.schedule_in(ms, SimulationEvent::ControllerStart(node));
            return;
        }
        let incarnation = Incarnation(self.pick(1, 1 << 40));
        let reuses_ids = self.disabled_guard == DisabledGuard::ForwardIdsReused;
        let n = &mut self.nodes[node];
        n.pending_forwards = PendingForwards::new(match reuses_ids {
            true => Incarnation(0),
            false => incarnation,
        });
        n.generation += 1;
        n.watched_revision = Revision(0);
        n.is_loading_watch_cache = false;
        n.final_records_seen.clear();
        let mut controller = Controller::new(&n.config, incarnation);
        let snapshot = self.store.snapshot(&n.config, n.earlier_version);
        let effects = controller.on_snapshot(self.now, snapshot);
        n.watched_revision = self.store.revision;
        n.controller = Some(controller);
        n.previous_lease = n.lease.take();
        self.execute(node, effects);
        self.acquire_lease(node, incarnation);
        self.schedule_in(1, SimulationEvent::ControllerTick(node));
        self.schedule_in(2, SimulationEvent::WatchPoll(node));
        self.schedule_in(LEASE_RENEWAL_MS, SimulationEvent::LeaseRenewal(node));
    }

    /// Runs one tick of a controller.
    pub(super) fn tick_controller(&mut self, node: usize) {
        let now = self.now;
        self.report_partition(node);
        if let Some(controller) = self.nodes[node].controller.as_mut() {
            let effects = controller.tick(now, UnixTime(now.0));
            self.execute(node, effects);
            self.schedule_in(TICK_MS, SimulationEvent::ControllerTick(node));
        }
    }

    /// Revokes the lease of the previous process and acquires a new one.
    fn acquire_lease(&mut self, node: usize, incarnation: Incarnation) {
        if let Some(previous) = self.nodes[node].previous_lease.take() {
            self.store.revoke_lease(previous);
        }
        let deadline = self.time_in(MEMBER_LEASE_MS);
        let lease = self.store.create_lease(deadline);
        if self.duplicate_delay().is_some() {
            self.store.create_lease(deadline);
        }
        let mut record = MemberRecord::new(incarnation, lease);
        if self.nodes[node].earlier_version {
            record.version = ProgramVersion::default();
        }
        let member = MemberId::from(MEMBERS[node]);
        let mut txn = Txn::default();
        txn.put(keys::member(&member), &record, Some(lease));
        self.store.txn(&txn);
        self.nodes[node].lease = Some(lease);
        let now = self.now;
        self.with_controller(self.process(node), |c| {
            c.set_lease_deadline(deadline);
            c.set_lease(now, Some(lease))
        });
    }

    /// Renews a controller's lease, or acquires a new one if it has expired.
    pub(super) fn renew_lease(&mut self, node: usize) {
        if self.nodes[node].controller.is_none() {
            return;
        }
        if self.nodes[node].store_cut_until <= self.now
            && let Some(lease) = self.nodes[node].lease
        {
            let deadline = self.time_in(MEMBER_LEASE_MS);
            if let Some(until) = self.store.leases.get_mut(&lease) {
                *until = deadline;
                if let Some(controller) = self.nodes[node].controller.as_mut() {
                    controller.set_lease_deadline(deadline);
                }
            } else {
                self.replace_lease(node);
            }
        }
        self.schedule_in(LEASE_RENEWAL_MS, SimulationEvent::LeaseRenewal(node));
    }

    fn replace_lease(&mut self, node: usize) {
        if let Some(controller) = &self.nodes[node].controller {
            let incarnation = controller.leadership.incarnation();
            let now = self.now;
            self.with_controller(self.process(node), |c| c.set_lease(now, None));
            self.acquire_lease(node, incarnation);
        }
    }

    /// Reads a controller's watch cache from the key-value store again. While it is read, the watch
    /// delivers nothing.
    fn load_watch_cache(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        let cache = self.store.snapshot(&n.config, n.earlier_version);
        n.watched_revision = self.store.revision;
        n.is_loading_watch_cache = true;
        self.observed.fault_occurrences += 1;
        let process = self.process(node);
        let ms = self.pick(RELOAD_MS.0, RELOAD_MS.1);
        let loaded = SimulationEvent::WatchCacheLoaded(process, Box::new(cache));
        self.schedule_in(ms, loaded);
    }

    /// Replaces a controller's watch cache and goes on with the watch.
    pub(super) fn replace_watch_cache(&mut self, process: ControllerProcess, cache: WatchCache) {
        let now = self.now;
        if self.nodes[process.node].generation == process.generation {
            self.nodes[process.node].is_loading_watch_cache = false;
            self.with_controller(process, |c| c.on_snapshot(now, cache));
            self.schedule_in(1, SimulationEvent::WatchPoll(process.node));
        }
    }

    /// Delivers to a controller the changes since its last watched revision.
    pub(super) fn poll_watch(&mut self, node: usize) {
        let n = &self.nodes[node];
        if n.controller.is_none() || n.is_loading_watch_cache {
            return;
        }
        if self.nodes[node].store_cut_until <= self.now {
            if self.faults.watch_cache_reloads && self.pick(1, RELOAD_ONE_POLL_IN) == 1 {
                return self.load_watch_cache(node);
            }
            let n = &mut self.nodes[node];
            let events = self.store.events(n.watched_revision, n.earlier_version);
            let revision = self.store.revision;
            n.watched_revision = revision;
            if !events.is_empty() {
                let now = self.now;
                self.with_controller(self.process(node), |c| c.on_events(now, revision, events).0);
            }
        }
        let slow = self.active_faults.slow_store_until > self.now;
        let (from, to) = if slow {
            SLOW_WATCH_LAG_MS
        } else {
            WATCH_LAG_MS
        };
        let ms = self.pick(from, to);
        self.schedule_in(ms, SimulationEvent::WatchPoll(node));
    }
}
