//! An allotment that a pass has decided on.

use crate::ids::{MachineId, MemberId, Resources, TeamId};
use crate::peers::Allotment;

/// An allotment that is to be sent to a shard owner, with what the ledger counts it under.
pub(super) struct PendingAllotment {
    /// The owner of the shard: who it is sent to.
    pub owner: MemberId,
    /// The machine that its resources are counted on.
    pub machine: MachineId,
    /// The team whose quota it is charged to.
    pub team: TeamId,
    /// The resources of each of its tasks.
    pub need: Resources,
    /// The message to the shard owner.
    pub allotment: Allotment,
}

impl PendingAllotment {
    /// How many tasks it places.
    pub(super) fn task_count(&self) -> usize {
        self.allotment.attempts.len()
    }
}
