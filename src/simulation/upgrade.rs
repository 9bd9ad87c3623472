//! Controllers of two versions side by side, and the key-value store that lowers its limits.
//!
//! An earlier version is this one with a watch cache that lacks the fields it does not know, with the
//! limits of before, and without the word in its record that it understands dependent jobs.

use super::cluster::{SimulatedCluster, SimulationEvent};

/// When the first controller comes back as this version, and how far the others lie apart.
const FIRST: u64 = 15_000;
const APART: (u64, u64) = (3000, 12_000);
/// Processes are back after this.
const AWAY: (u64, u64) = (60, 5000);
/// When the key-value store lowers its limits.
const LIMITS: (u64, u64) = (50_000, 70_000);
/// The later limits, in bytes and changes.
const VALUE_BYTES: usize = 1024;
const TXN_OPS: usize = 4;

impl SimulatedCluster {
    pub(super) fn begin_upgrade(&mut self) {
        let (upgrade, limits) = (
            self.faults.rolling_upgrade,
            self.faults.lowered_store_limits,
        );
        let mut at = FIRST;
        for node in 0..self.nodes.len() {
            if upgrade {
                self.schedule_in(at, SimulationEvent::Upgrade(node));
                at += self.pick(APART.0, APART.1);
            } else {
                self.know_limits(node);
            }
        }
        if limits {
            let at = self.pick(LIMITS.0, LIMITS.1);
            self.schedule_in(at, SimulationEvent::LowerLimits);
        }
    }

    /// This version keeps to the later limits from its start.
    fn know_limits(&mut self, node: usize) {
        if self.faults.lowered_store_limits {
            let state = &mut self.nodes[node].config.state;
            state.value_bytes = VALUE_BYTES;
            state.txn_ops = TXN_OPS;
        }
    }

    pub(super) fn upgrade(&mut self, node: usize) {
        self.nodes[node].earlier_version = false;
        self.know_limits(node);
        self.faults_met += 1;
        if self.nodes[node].controller.take().is_some() {
            self.nodes[node].generation += 1;
            let ms = self.pick(AWAY.0, AWAY.1);
            self.schedule_in(ms, SimulationEvent::Start(node));
        }
    }

    pub(super) fn lower_limits(&mut self) {
        self.store.limits = Some((VALUE_BYTES, TXN_OPS));
    }
}
