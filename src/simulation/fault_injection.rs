//! Injection of crashes, pauses, outages and network cuts, with one function for each kind. Lost and
//! duplicated messages are simulated where messages are sent.

use super::cluster::SimulatedCluster;
use super::events::SimulationEvent;
use super::timing::{CANCELLATION_LIMIT_MS, SHARD_LEASE_MS, UNREACHABLE_LIMIT_MS};
use super::topology::{ISOLATED_ZONE_CONTROLLER, ZONES};

/// The interval between fault injections, in ms.
const INJECTION_INTERVAL_MS: (u64, u64) = (1500, 6000);
/// How long a stopped process is down, in ms, for a normal and a fast restart, and the percentage of
/// fast restarts.
const RESTART_MS: (u64, u64) = (2000, 6000);
const FAST_RESTART_MS: (u64, u64) = (50, 400);
const FAST_RESTART_PERCENT: u64 = 40;

impl SimulatedCluster {
    /// Injects each kind of fault of the run with its own probability.
    pub(super) fn inject_faults(&mut self) {
        self.crash_controllers();
        if self.faults.restarts_in_election && self.chance(30) {
            self.restart_controllers();
        }
        self.isolate_controller();
        self.isolate_zone();
        self.partition_zones();
        self.cut_outbound_of_machines();
        self.slow_store();
        self.stop_all_controllers();
        self.begin_refusal_then_outage();
        self.pause_controller();
        self.cut_inbound_of_machine();
        self.disconnect_store();
        self.fail_machine();
        if !self.active_faults.healed {
            let ms = self.pick(INJECTION_INTERVAL_MS.0, INJECTION_INTERVAL_MS.1);
            self.schedule_in(ms, SimulationEvent::InjectFaults);
        }
    }

    fn crash_controllers(&mut self) {
        if !(self.faults.controller_crashes && self.chance(50)) {
            return;
        }
        let all = self.chance(25);
        let victim = self.pick_node();
        for node in 0..self.nodes.len() {
            if (all || node == victim) && self.stop_process(node) {
                let ms = self.restart_delay();
                self.schedule_in(ms, SimulationEvent::ControllerStart(node));
            }
        }
    }

    fn restart_delay(&mut self) -> u64 {
        let fast = self.chance(FAST_RESTART_PERCENT);
        let (from, to) = if fast { FAST_RESTART_MS } else { RESTART_MS };
        self.pick(from, to)
    }

    /// Stops one controller or all of them and restarts them within a fraction of a second.
    /// Sometimes they stop again during the election.
    pub(super) fn restart_controllers(&mut self) {
        let all = self.chance(40);
        let victim = self.pick_node();
        for node in 0..self.nodes.len() {
            if (all || node == victim) && self.stop_process(node) {
                let ms = self.pick(20, 400);
                self.schedule_in(ms, SimulationEvent::ControllerStart(node));
            }
        }
        if self.faults.restarts_in_election && self.chance(40) {
            let ms = self.pick(30, 900);
            self.schedule_in(ms, SimulationEvent::RestartControllers);
        }
    }

    /// Stops a controller and restarts it within a fraction of a second.
    pub(super) fn restart_controller(&mut self, node: usize) {
        let ms = self.pick(FAST_RESTART_MS.0, FAST_RESTART_MS.1);
        self.stop_controller(node, ms);
    }

    fn isolate_controller(&mut self) {
        if !(self.faults.isolated_controllers && self.chance(25)) {
            return;
        }
        let ms = match self.chance(50) {
            true => self.pick(500, 4000),
            false => self.pick(SHARD_LEASE_MS, 3 * SHARD_LEASE_MS),
        };
        let victim = self.pick_node();
        let until = self.time_in(ms);
        self.nodes[victim].store_cut_until = until;
        self.nodes[victim].peers_cut_until = until;
    }

    fn isolate_zone(&mut self) {
        let possible =
            self.faults.zone_isolation && self.active_faults.zone_isolated_until <= self.now;
        if !(possible && self.chance(20)) {
            return;
        }
        let ms = self.pick(SHARD_LEASE_MS, 4 * SHARD_LEASE_MS);
        let until = self.time_in(ms);
        self.active_faults.zone_isolated_until = until;
        self.nodes[ISOLATED_ZONE_CONTROLLER].store_cut_until = until;
        self.nodes[ISOLATED_ZONE_CONTROLLER].peers_cut_until = until;
    }

    fn partition_zones(&mut self) {
        let possible = self.faults.zone_partition && self.active_faults.partition.until <= self.now;
        if !(possible && self.chance(40)) {
            return;
        }
        let unaffected = self.pick(0, self.zone_count as u64 - 1) as usize;
        let zones = ZONES[..self.zone_count].iter().enumerate();
        let mut partitioned = zones.filter(|(n, _)| *n != unaffected);
        if let (Some((_, one)), Some((_, other))) = (partitioned.next(), partitioned.next()) {
            let ms = self.pick(SHARD_LEASE_MS, 4 * SHARD_LEASE_MS);
            self.active_faults.partition.zones = [one, other];
            self.active_faults.partition.until = self.time_in(ms);
            self.active_faults.partition.delays_messages = self.chance(50);
            self.observed.fault_occurrences += 1;
        }
    }

    /// Cuts the outbound connections of a third of the machines, so that they can't reach any
    /// controller.
    fn cut_outbound_of_machines(&mut self) {
        if !(self.faults.inbound_only_machines && self.chance(35)) {
            return;
        }
        let ms = self.pick(3000, 3 * SHARD_LEASE_MS);
        let until = self.time_in(ms);
        let first = self.pick(0, 2) as usize;
        for worker in self.workers.values_mut().skip(first).step_by(3) {
            worker.outbound_cut_until = until;
            self.observed.fault_occurrences += u64::from(!worker.tasks.is_empty());
        }
    }

    fn slow_store(&mut self) {
        if self.faults.slow_store && self.chance(35) {
            self.observed.fault_occurrences += 1;
            let ms = self.pick(3000, 15_000);
            self.active_faults.slow_store_until = self.time_in(ms);
        }
    }

    fn stop_all_controllers(&mut self) {
        if self.faults.control_plane_outage && self.chance(15) {
            self.observed.fault_occurrences += 1;
            let ms = self.pick(SHARD_LEASE_MS, 2 * SHARD_LEASE_MS);
            for node in 0..self.nodes.len() {
                self.stop_controller(node, ms);
            }
        }
    }

    /// Lets the key-value store refuse the leader while users cancel running jobs, and begins an
    /// outage of the store before the leader's lease has expired. In some cases controllers also
    /// restart, the leader's connections to its peers are cut, or machines hang.
    fn begin_refusal_then_outage(&mut self) {
        let possible = self.faults.store_refusal_then_outage
            && self.active_faults.store_outage_until <= self.now;
        if !(possible && self.chance(40)) {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let refusal_ms = self.pick(300, 4000);
        let outage_ms = self.pick(CANCELLATION_LIMIT_MS, 2 * CANCELLATION_LIMIT_MS);
        self.nodes[leader].store_cut_until = self.time_in(refusal_ms);
        let cancel_delay_ms = self.pick(50, refusal_ms);
        self.schedule_in(cancel_delay_ms, SimulationEvent::CancelRunning);
        self.schedule_in(refusal_ms, SimulationEvent::StoreOutage(outage_ms));
        match self.pick(0, 5) {
            0 => {
                let ms = self.pick(500, refusal_ms + outage_ms);
                self.nodes[leader].peers_cut_until = self.time_in(ms);
            }
            1 => self.schedule_in(cancel_delay_ms + 100, SimulationEvent::RestartControllers),
            2 => {
                let ms = self.pick(CANCELLATION_LIMIT_MS, 2 * CANCELLATION_LIMIT_MS);
                let until = self.time_in(cancel_delay_ms + ms);
                for worker in self.workers.values_mut().step_by(3) {
                    worker.hang_until = until;
                }
            }
            _ => {}
        }
    }

    fn pause_controller(&mut self) {
        if self.faults.controller_pauses && self.chance(30) {
            let victim = self.pick_node();
            let ms = self.pick(4000, 2 * SHARD_LEASE_MS);
            let until = self.time_in(ms);
            self.nodes[victim].paused_at = self.now;
            self.nodes[victim].paused_until = until;
            self.active_faults.last_pause_until = self.active_faults.last_pause_until.max(until);
        }
    }

    /// Cuts the inbound connections of a machine, while its heartbeats still get out.
    fn cut_inbound_of_machine(&mut self) {
        let chosen = self.faults.outbound_only_machines && self.chance(35);
        if !chosen || self.workers.is_empty() {
            return;
        }
        let at = self.pick(0, self.workers.len() as u64 - 1) as usize;
        let ms = self.pick(3000, 45_000);
        let until = self.time_in(ms);
        if let Some((id, worker)) = self.workers.iter_mut().nth(at) {
            worker.inbound_cut_until = until;
            let id = id.clone();
            if ms >= UNREACHABLE_LIMIT_MS {
                self.schedule_in(UNREACHABLE_LIMIT_MS, SimulationEvent::CheckUnreachable(id));
            }
        }
    }

    fn disconnect_store(&mut self) {
        if !(self.faults.store_disconnects && self.chance(30)) {
            return;
        }
        let ms = self.pick(2000, 12_000);
        let until = self.time_in(ms);
        let all = self.chance(30);
        let victim = self.pick_node();
        for node in 0..self.nodes.len() {
            if all || node == victim {
                self.nodes[node].store_cut_until = until;
            }
        }
    }

    /// Makes a random machine unreachable, hang or die.
    fn fail_machine(&mut self) {
        let chosen = self.faults.machine_failures && self.chance(60);
        if !chosen || self.workers.is_empty() {
            return;
        }
        let at = self.pick(0, self.workers.len() as u64 - 1) as usize;
        let ms = self.pick(3000, 25_000);
        let kind = self.pick(0, 2);
        let until = self.time_in(ms);
        if let Some(worker) = self.workers.values_mut().nth(at) {
            match kind {
                0 => worker.cut_until = until,
                1 => worker.hang_until = until,
                _ => {
                    worker.dead = true;
                    worker.tasks.clear();
                }
            }
        }
    }

    /// Stops a controller and restarts it after `ms` milliseconds.
    fn stop_controller(&mut self, node: usize, ms: u64) {
        if self.stop_process(node) {
            self.schedule_in(ms, SimulationEvent::ControllerStart(node));
        }
    }

    /// Stops the leader, and sometimes begins an outage of the key-value store.
    pub(super) fn stop_leader(&mut self) {
        if self.active_faults.healed {
            return;
        }
        if let Some(leader) = self.leader() {
            self.observed.fault_occurrences += 1;
            let ms = self.restart_delay();
            self.stop_controller(leader, ms);
        }
        if self.active_faults.store_outage_until <= self.now && self.chance(20) {
            let ms = self.pick(3000, 20_000);
            self.begin_store_outage(ms);
        }
        let ms = self.pick(9000, 13_000);
        self.schedule_in(ms, SimulationEvent::StopLeader);
    }

    /// Begins an outage of the key-value store for all controllers, which lasts `ms` milliseconds.
    pub(super) fn begin_store_outage(&mut self, ms: u64) {
        let until = self.time_in(ms);
        self.active_faults.store_outage_until = until;
        for node in &mut self.nodes {
            node.store_cut_until = until;
        }
        self.schedule_in(ms, SimulationEvent::StoreOutageEnd);
    }
}
