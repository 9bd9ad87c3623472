//! An allotment that a scheduling pass has decided on.

use crate::ids::{MachineId, MemberId, Resources, TeamId};
use crate::peers::Allotment;

/// An allotment to send to a shard owner, and the machine, team and resources per task that the
/// allotment ledger records for it.
pub(super) struct PendingAllotment {
    /// The shard owner to which the allotment is sent.
    pub owner: MemberId,
    /// The machine on which the allotment's resources are counted.
    pub machine: MachineId,
    /// The team whose quota the allotment is charged to.
    pub team: TeamId,
    /// The resources of each task.
    pub need: Resources,
    /// The message to the shard owner.
    pub allotment: Allotment,
}

impl PendingAllotment {
    /// Returns the number of tasks that the allotment places.
    pub(super) fn task_count(&self) -> usize {
        self.allotment.attempts.len()
    }
}
