//! Changes in machine usage that the watch cache does not show yet.

use crate::ids::{MachineId, Resources};
use std::collections::BTreeMap;

/// For each machine, usage that is not on its record yet and freed usage that is still on it.
#[derive(Default)]
pub(super) struct PendingUsage<'a> {
    machines: BTreeMap<&'a MachineId, MachinePending>,
}

/// The pending changes of one machine's usage.
#[derive(Clone, Copy, Default)]
pub(super) struct MachinePending {
    /// The resources of tasks that are allotted and not on record yet; `None` if there are no such
    /// tasks.
    pub allotted: Option<Resources>,
    /// The resources of tasks that have been freed and are still on record.
    pub freed: Resources,
    /// The bytes that the allotted tasks will add to the machine's record.
    pub allotted_bytes: usize,
    /// The bytes that will be removed from the machine's record together with the freed tasks.
    pub freed_bytes: usize,
}

impl<'a> PendingUsage<'a> {
    /// Counts a task that is allotted to a machine and not on its record yet.
    pub(super) fn add_allotted(
        &mut self,
        machine: &'a MachineId,
        need: Resources,
        record_bytes: usize,
    ) {
        let pending = self.machines.entry(machine).or_default();
        pending.allotted = Some(pending.allotted.unwrap_or_default() + need);
        pending.allotted_bytes += record_bytes;
    }

    /// Counts a task that has been freed on a machine and is still on its record.
    pub(super) fn add_freed(
        &mut self,
        machine: &'a MachineId,
        need: Resources,
        record_bytes: usize,
    ) {
        let pending = self.machines.entry(machine).or_default();
        pending.freed = pending.freed + need;
        pending.freed_bytes += record_bytes;
    }

    /// Returns the pending changes of one machine's usage.
    pub(super) fn of_machine(&self, machine: &MachineId) -> MachinePending {
        self.machines.get(machine).copied().unwrap_or_default()
    }

    /// Returns whether any task that is allotted to a machine is not on its record yet. The record
    /// is then to be written anyway.
    pub(super) fn has_allotted(&self, machine: &MachineId) -> bool {
        self.of_machine(machine).allotted.is_some()
    }
}
