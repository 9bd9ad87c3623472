//! Records of deleted or unreachable machines must be removed.

use crate::ids::{MachineId, MonotonicTime, Revision};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::SimulationEvent;
use crate::simulation::timing::UNREACHABLE_LIMIT_MS;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use std::collections::BTreeSet;

/// The time after the heal within which the record of a deleted machine must be removed, in ms. The
/// limit covers a machine that sends no heartbeats to a suspected shard owner: it is
/// decommissioned only after four times the usual timeout.
const DELETED_RECORD_LIMIT_MS: u64 = 45_000;

impl SimulatedCluster {
    /// Records `DeletedRecordRecreated` if a change recreated the record of a deleted machine.
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

    /// Records `DeletedRecordKept` if the record of a deleted machine, recreated or never removed,
    /// still exists after the limit. The check begins once all faults are healed.
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

    /// Records `UnreachableMachineKept` if a machine that was unreachable for long still has a
    /// record. The check is skipped under faults that can leave the cluster without a leader or a
    /// key-value store, since no records of machines are removed then.
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
            // Paused controllers can't detect the unreachable machine, so the check is postponed.
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
