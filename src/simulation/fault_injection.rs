//! The troubles of a simulated day.

use super::cluster::{DEAF, INSIDE, LEASE, SimulatedCluster, SimulationEvent};
use crate::ids::MonotonicTime;

impl SimulatedCluster {
    /// One controller or all end, and are back at once.
    pub(super) fn flap(&mut self) {
        let all = self.chance(40);
        let victim = self.pick_node();
        for node in 0..self.nodes.len() {
            if (all || node == victim) && self.nodes[node].controller.take().is_some() {
                self.nodes[node].life += 1;
                let ms = self.pick(20, 400);
                self.after(ms, SimulationEvent::Start(node));
            }
        }
        // And once more, in the middle of the election.
        if self.faults.flaps && self.chance(40) {
            let ms = self.pick(30, 900);
            self.after(ms, SimulationEvent::Flap);
        }
    }

    pub(super) fn inject_faults(&mut self) {
        if self.faults.crashes && self.chance(50) {
            let all = self.chance(25);
            let victim = self.pick_node();
            for node in 0..self.nodes.len() {
                if (all || node == victim) && self.nodes[node].controller.take().is_some() {
                    self.nodes[node].life += 1;
                    // Now and then within a fraction of a second.
                    let ms = if self.chance(40) {
                        self.pick(50, 400)
                    } else {
                        self.pick(2000, 6000)
                    };
                    self.after(ms, SimulationEvent::Start(node));
                }
            }
        }
        if self.faults.flaps && self.chance(30) {
            self.flap();
        }
        if self.faults.apart && self.chance(25) {
            let ms = match self.chance(50) {
                true => self.pick(500, 4000),
                false => self.pick(LEASE, 3 * LEASE),
            };
            let victim = self.pick_node();
            let until = MonotonicTime(self.now.0 + ms);
            self.nodes[victim].store_cut_until = until;
            self.nodes[victim].peers_cut_until = until;
        }
        if self.faults.zone && self.zone_cut_until <= self.now && self.chance(20) {
            let until = MonotonicTime(self.now.0 + self.pick(LEASE, 4 * LEASE));
            self.zone_cut_until = until;
            self.nodes[INSIDE].store_cut_until = until;
            self.nodes[INSIDE].peers_cut_until = until;
        }
        if self.faults.partition && self.partition_until <= self.now && self.chance(40) {
            self.part_zones();
        }
        if self.faults.mute && self.chance(35) {
            let until = MonotonicTime(self.now.0 + self.pick(3000, 3 * LEASE));
            let first = self.pick(0, 2) as usize;
            for worker in self.workers.values_mut().skip(first).step_by(3) {
                worker.mute_until = until;
                self.fault_encounters += u64::from(!worker.tasks.is_empty());
            }
        }
        if self.faults.slow && self.chance(35) {
            self.fault_encounters += 1;
            self.slow_until = MonotonicTime(self.now.0 + self.pick(3000, 15_000));
        }
        if self.faults.away && self.chance(15) {
            self.fault_encounters += 1;
            let ms = self.pick(LEASE, 2 * LEASE);
            for node in 0..self.nodes.len() {
                self.end(node, ms);
            }
        }
        if self.faults.gap && self.outage_until <= self.now && self.chance(40) {
            self.begin_gap();
        }
        if self.faults.freezes && self.chance(30) {
            let victim = self.pick_node();
            let ms = self.pick(4000, 2 * LEASE);
            let until = MonotonicTime(self.now.0 + ms);
            self.nodes[victim].frozen_until = until;
            self.stood_still_until = self.stood_still_until.max(until);
        }
        if self.faults.deaf && self.chance(35) && !self.workers.is_empty() {
            let at = self.pick(0, self.workers.len() as u64 - 1) as usize;
            let until = MonotonicTime(self.now.0 + self.pick(3000, 45_000));
            if let Some((id, w)) = self.workers.iter_mut().nth(at) {
                w.deaf_until = until;
                let id = id.clone();
                if until.since(self.now).0 >= DEAF {
                    self.after(DEAF, SimulationEvent::Deaf(id));
                }
            }
        }
        if self.faults.store_cuts && self.chance(30) {
            let until = MonotonicTime(self.now.0 + self.pick(2000, 12_000));
            let all = self.chance(30);
            let victim = self.pick_node();
            for node in 0..self.nodes.len() {
                if all || node == victim {
                    self.nodes[node].store_cut_until = until;
                }
            }
        }
        if self.faults.machines && self.chance(60) && !self.workers.is_empty() {
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
            self.after(ms, SimulationEvent::Faults);
        }
    }

    /// A controller ends, and is back after so long.
    fn end(&mut self, node: usize, ms: u64) {
        if self.nodes[node].controller.take().is_some() {
            self.nodes[node].life += 1;
            self.after(ms, SimulationEvent::Start(node));
        }
    }

    pub(super) fn end_leader(&mut self) {
        if self.healed {
            return;
        }
        if let Some(leader) = self.leader() {
            self.fault_encounters += 1;
            let ms = if self.chance(40) {
                self.pick(50, 400)
            } else {
                self.pick(2000, 6000)
            };
            self.end(leader, ms);
        }
        if self.outage_until <= self.now && self.chance(20) {
            let ms = self.pick(3000, 20_000);
            self.begin_outage(ms);
        }
        let ms = self.pick(9000, 13_000);
        self.after(ms, SimulationEvent::EndLeader);
    }
}
