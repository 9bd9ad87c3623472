//! What a worker's status proves about a placement.

use crate::protocol::{ExitReason, TaskState};

/// What the latest heartbeat says of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum TaskPresence {
    /// Nothing certain.
    Unclear,
    /// Not there, and nothing that was sent can still start it.
    Absent,
    /// Not there, but a launch without an answer may still be on its way.
    MayAppear,
    /// There, in this state.
    Alive(TaskState),
    /// Exited there, and not forgotten yet.
    Exited(ExitReason),
}
