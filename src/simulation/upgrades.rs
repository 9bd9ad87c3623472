//! Rolling upgrades with controllers of two versions, and a key-value store that lowers its limits.
//!
//! A controller of the earlier version is simulated by the current version with a watch cache that
//! lacks the fields unknown to the earlier version, with the former limits, and with a member record
//! that lacks the version by which a controller declares that it supports dependencies.

use super::cluster::SimulatedCluster;
use super::events::SimulationEvent;
use super::fakes::FakeStoreLimits;

/// When the first controller is upgraded, and the time between two upgrades, in ms.
const FIRST_UPGRADE_MS: u64 = 15_000;
const UPGRADE_INTERVAL_MS: (u64, u64) = (3000, 12_000);
/// How long an upgraded process is down, in ms.
const RESTART_MS: (u64, u64) = (60, 5000);
/// The earliest and the latest time at which the key-value store lowers its limits, in ms since the
/// start.
const LIMIT_REDUCTION_AT_MS: (u64, u64) = (50_000, 70_000);
/// The lowered limits, in bytes per value and changes per transaction.
const LOWERED_VALUE_BYTES: usize = 1024;
const LOWERED_TXN_OPS: usize = 4;

impl SimulatedCluster {
    /// Schedules the upgrade of each controller and the lowering of the store's limits.
    pub(super) fn schedule_upgrades(&mut self) {
        let (is_rolling_upgrade, lowers_limits) = (
            self.faults.rolling_upgrade,
            self.faults.lowered_store_limits,
        );
        let mut at = FIRST_UPGRADE_MS;
        for node in 0..self.nodes.len() {
            if is_rolling_upgrade {
                self.schedule_in(at, SimulationEvent::Upgrade(node));
                at += self.pick(UPGRADE_INTERVAL_MS.0, UPGRADE_INTERVAL_MS.1);
            } else {
                self.configure_limits(node);
            }
        }
        if lowers_limits {
            let at = self.pick(LIMIT_REDUCTION_AT_MS.0, LIMIT_REDUCTION_AT_MS.1);
            self.schedule_in(at, SimulationEvent::LowerStoreLimits);
        }
    }

    /// Configures a controller of the current version for the lowered limits, if the store lowers its
    /// limits in this run.
    fn configure_limits(&mut self, node: usize) {
        if self.faults.lowered_store_limits {
            let limits = &mut self.nodes[node].config.store_limits;
            limits.value_bytes = LOWERED_VALUE_BYTES;
            limits.txn_ops = LOWERED_TXN_OPS;
        }
    }

    /// Stops a controller and restarts it as the current version.
    pub(super) fn upgrade(&mut self, node: usize) {
        self.nodes[node].earlier_version = false;
        self.configure_limits(node);
        self.observed.fault_occurrences += 1;
        if self.stop_process(node) {
            let ms = self.pick(RESTART_MS.0, RESTART_MS.1);
            self.schedule_in(ms, SimulationEvent::ControllerStart(node));
        }
    }

    /// Applies the lowered limits to the key-value store.
    pub(super) fn lower_store_limits(&mut self) {
        self.store.limits = Some(FakeStoreLimits {
            value_bytes: LOWERED_VALUE_BYTES,
            changes: LOWERED_TXN_OPS,
        });
    }
}
