//! Records of machines that are deleted, or given up, have to go.

use crate::ids::{MachineId, MonotonicTime, Revision};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::SimulationEvent;
use crate::simulation::timing::UNREACHABLE_LIMIT_MS;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use std::collections::BTreeSet;

/// Once all faults are healed a deleted machine's record goes within this time, in ms: a machine
/// that is silent to a doubted shard owner is given up only after four times the usual patience.
const DELETED_RECORD_LIMIT_MS: u64 = 45_000;

impl SimulatedCluster {
    /// `DeletedRecordRecreated`: no record may come back for a machine that was deleted.
    pub(in crate::simulation) fn check_no_record_recreated(&mut self, at: Revision) {
        let recreated = |id: &&MachineId| self.store.was_recreated_at(&keys::machine(id), at);
        if let Some(machine) = self
            .observed
            .deleted_machines
            .iter()
            .find(recreated)
            .cloned()
        {
            self.record_violation(ViolationKind::DeletedRecordRecreated, machine);
        }
    }

    /// `DeletedRecordKept`: a record that a late request brought back for a deleted machine has to go
    /// again.
    pub(in crate::simulation) fn check_deleted_records_removed(&mut self) {
        if !self.active_faults.healed || self.fleet.is_some() {
            return;
        }
        let recorded = |id: &&MachineId| self.store.contains(&keys::machine(id));
        let remaining: BTreeSet<MachineId> = self
            .observed
            .deleted_machines
            .iter()
            .filter(recorded)
            .cloned()
            .collect();
        self.observed
            .deleted_records_since
            .retain(|id, _| remaining.contains(id));
        for id in remaining {
            let since = *self
                .observed
                .deleted_records_since
                .entry(id.clone())
                .or_insert(self.now);
            if self.now.since(since).0 > DELETED_RECORD_LIMIT_MS {
                self.record_violation(ViolationKind::DeletedRecordKept, id);
            }
        }
    }

    /// `UnreachableMachineKept`: a machine that nothing has reached for long must have lost its record. Without
    /// a leader, or a key-value store, no record of a machine goes.
    pub(in crate::simulation) fn check_unreachable_machine_removed(&mut self, id: &MachineId) {
        let is_running = self.workers.get(id).is_some_and(|w| !w.dead);
        let faults = &self.faults;
        let removals_may_stall = faults.controller_crashes
            || faults.store_refusal_then_outage
            || faults.leader_crashes
            || faults.control_plane_outage
            || faults.slow_store;
        if !is_running || removals_may_stall || self.active_faults.healed {
            return;
        }
        let due = MonotonicTime(self.active_faults.last_pause_until.0 + UNREACHABLE_LIMIT_MS);
        if self.now < due {
            // Nobody could notice while controllers were paused.
            let worker = self.workers.get(id);
            if worker.is_some_and(|w| w.inbound_cut_until >= due) {
                let ms = due.since(self.now).0;
                self.schedule_in(ms, SimulationEvent::CheckUnreachable(id.clone()));
            }
        } else if self.store.contains(&keys::machine(id)) {
            self.record_violation(ViolationKind::UnreachableMachineKept, id);
        }
    }
}
