//! Changes of machines' usage that the watch cache does not show yet.

use crate::ids::{MachineId, Resources};
use std::collections::BTreeMap;

/// Usage that is not on machines' records, and usage that is still on them, by machine.
#[derive(Default)]
pub(super) struct PendingUsage<'a> {
    machines: BTreeMap<&'a MachineId, MachinePending>,
}

/// What is pending for one machine.
#[derive(Clone, Copy, Default)]
pub(super) struct MachinePending {
    /// Resources of tasks that are allotted and not on record; `None` if no task is.
    pub allotted: Option<Resources>,
    /// Resources of tasks that are known to be gone and still on record.
    pub freed: Resources,
    /// Bytes that the allotted tasks will add to the machine's record.
    pub allotted_bytes: usize,
    /// Bytes that go from the machine's record together with the freed tasks.
    pub freed_bytes: usize,
}

impl<'a> PendingUsage<'a> {
    /// Counts a task that is allotted to a machine and not on its record.
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

    /// Counts a task that is gone from a machine and still on its record.
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

    /// What is pending for one machine.
    pub(super) fn of_machine(&self, machine: &MachineId) -> MachinePending {
        self.machines.get(machine).copied().unwrap_or_default()
    }

    /// Whether tasks are allotted to a machine that are not on its record: the record is to be
    /// written for them anyway.
    pub(super) fn has_allotted(&self, machine: &MachineId) -> bool {
        self.of_machine(machine).allotted.is_some()
    }
}
