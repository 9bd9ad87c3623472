//! What shard owners report about machines.

use crate::ids::MonotonicTime;
use crate::peers::MachineHealth;

/// The last report of a machine's shard owner about it.
#[derive(Clone, Debug)]
pub(crate) struct ReportedHealth {
    /// When the report was received.
    pub received_at: MonotonicTime,
    /// The report.
    pub report: MachineHealth,
}
