//! The troubles of a simulated day.

use super::cluster::{
    ISOLATED_ZONE_CONTROLLER, SHARD_LEASE_MS, SimulatedCluster, SimulationEvent,
    UNREACHABLE_LIMIT_MS,
};
use crate::ids::MonotonicTime;

impl SimulatedCluster {
    /// One controller or all end, and are back at once.
    pub(super) fn restart_controllers(&mut self) {
        let all = self.chance(40);
        let victim = self.pick_node();
        for node in 0..self.nodes.len() {
            if (all || node == victim) && self.nodes[node].controller.take().is_some() {
                self.nodes[node].generation += 1;
                let ms = self.pick(20, 400);
                self.schedule_in(ms, SimulationEvent::Start(node));
            }
        }
        // And once more, in the middle of the election.
        if self.faults.restarts_in_election && self.chance(40) {
            let ms = self.pick(30, 900);
            self.schedule_in(ms, SimulationEvent::Flap);
        }
    }

    pub(super) fn inject_faults(&mut self) {
        if self.faults.controller_crashes && self.chance(50) {
            let all = self.chance(25);
            let victim = self.pick_node();
            for node in 0..self.nodes.len() {
                if (all || node == victim) && self.nodes[node].controller.take().is_some() {
                    self.nodes[node].generation += 1;
                    // Now and then within a fraction of a second.
                    let ms = if self.chance(40) {
                        self.pick(50, 400)
                    } else {
                        self.pick(2000, 6000)
                    };
                    self.schedule_in(ms, SimulationEvent::Start(node));
                }
            }
        }
        if self.faults.restarts_in_election && self.chance(30) {
            self.restart_controllers();
        }
        if self.faults.isolated_controllers && self.chance(25) {
            let ms = match self.chance(50) {
                true => self.pick(500, 4000),
                false => self.pick(SHARD_LEASE_MS, 3 * SHARD_LEASE_MS),
            };
            let victim = self.pick_node();
            let until = MonotonicTime(self.now.0 + ms);
            self.nodes[victim].store_cut_until = until;
            self.nodes[victim].peers_cut_until = until;
        }
        if self.faults.zone_isolation && self.zone_cut_until <= self.now && self.chance(20) {
            let until = MonotonicTime(self.now.0 + self.pick(SHARD_LEASE_MS, 4 * SHARD_LEASE_MS));
            self.zone_cut_until = until;
            self.nodes[ISOLATED_ZONE_CONTROLLER].store_cut_until = until;
            self.nodes[ISOLATED_ZONE_CONTROLLER].peers_cut_until = until;
        }
        if self.faults.zone_partition && self.partition_until <= self.now && self.chance(40) {
            self.partition_zones();
        }
        if self.faults.inbound_only_machines && self.chance(35) {
            let until = MonotonicTime(self.now.0 + self.pick(3000, 3 * SHARD_LEASE_MS));
            let first = self.pick(0, 2) as usize;
            for worker in self.workers.values_mut().skip(first).step_by(3) {
                worker.outbound_cut_until = until;
                self.faults_met += u64::from(!worker.tasks.is_empty());
            }
        }
        if self.faults.slow_store && self.chance(35) {
            self.faults_met += 1;
            self.slow_until = MonotonicTime(self.now.0 + self.pick(3000, 15_000));
        }
        if self.faults.control_plane_outage && self.chance(15) {
            self.faults_met += 1;
            let ms = self.pick(SHARD_LEASE_MS, 2 * SHARD_LEASE_MS);
            for node in 0..self.nodes.len() {
                self.stop_controller(node, ms);
            }
        }
        if self.faults.refusal_then_outage && self.outage_until <= self.now && self.chance(40) {
            self.begin_refusal_then_outage();
        }
        if self.faults.controller_pauses && self.chance(30) {
            let victim = self.pick_node();
            let ms = self.pick(4000, 2 * SHARD_LEASE_MS);
            let until = MonotonicTime(self.now.0 + ms);
            self.nodes[victim].frozen_until = until;
            self.last_pause_until = self.last_pause_until.max(until);
        }
        if self.faults.outbound_only_machines && self.chance(35) && !self.workers.is_empty() {
            let at = self.pick(0, self.workers.len() as u64 - 1) as usize;
            let until = MonotonicTime(self.now.0 + self.pick(3000, 45_000));
            if let Some((id, w)) = self.workers.iter_mut().nth(at) {
                w.inbound_cut_until = until;
                let id = id.clone();
                if until.since(self.now).0 >= UNREACHABLE_LIMIT_MS {
                    self.schedule_in(UNREACHABLE_LIMIT_MS, SimulationEvent::Deaf(id));
                }
            }
        }
        if self.faults.store_disconnects && self.chance(30) {
            let until = MonotonicTime(self.now.0 + self.pick(2000, 12_000));
            let all = self.chance(30);
            let victim = self.pick_node();
            for node in 0..self.nodes.len() {
                if all || node == victim {
                    self.nodes[node].store_cut_until = until;
                }
            }
        }
        if self.faults.machine_failures && self.chance(60) && !self.workers.is_empty() {
            let at = self.pick(0, self.workers.len() as u64 - 1) as usize;
            let ms = self.pick(3000, 25_000);
            let kind = self.pick(0, 2);
            let now = self.now;
            if let Some(w) = self.workers.values_mut().nth(at) {
                match kind {
                    0 => w.cut_until = MonotonicTime(now.0 + ms),
                    1 => w.hang_until = MonotonicTime(now.0 + ms),
                    _ => {
                        w.dead = true;
                        w.tasks.clear();
                    }
                }
            }
        }
        if !self.healed {
            let ms = self.pick(1500, 6000);
            self.schedule_in(ms, SimulationEvent::Faults);
        }
    }

    /// A controller ends, and is back after so long.
    fn stop_controller(&mut self, node: usize, ms: u64) {
        if self.nodes[node].controller.take().is_some() {
            self.nodes[node].generation += 1;
            self.schedule_in(ms, SimulationEvent::Start(node));
        }
    }

    pub(super) fn stop_leader(&mut self) {
        if self.healed {
            return;
        }
        if let Some(leader) = self.leader() {
            self.faults_met += 1;
            let ms = if self.chance(40) {
                self.pick(50, 400)
            } else {
                self.pick(2000, 6000)
            };
            self.stop_controller(leader, ms);
        }
        if self.outage_until <= self.now && self.chance(20) {
            let ms = self.pick(3000, 20_000);
            self.begin_outage(ms);
        }
        let ms = self.pick(9000, 13_000);
        self.schedule_in(ms, SimulationEvent::EndLeader);
    }
}
