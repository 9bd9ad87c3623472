//! Health reports of machines from shard owners.

use crate::ids::MonotonicTime;
use crate::peers::MachineHealth;

/// The latest report on a machine from its shard owner.
#[derive(Clone, Debug)]
pub(crate) struct ReportedHealth {
    /// The time at which the report was received.
    pub received_at: MonotonicTime,
    /// The report.
    pub report: MachineHealth,
}
