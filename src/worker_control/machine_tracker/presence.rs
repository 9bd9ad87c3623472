//! The presence of an attempt on a machine, as proved by the worker's status.

use crate::protocol::{ExitReason, TaskState};

/// The presence of an attempt on a machine according to the latest status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum TaskPresence {
    /// The status proves nothing.
    Unknown,
    /// Not on the machine, and no command that was sent can still start it.
    Absent,
    /// Not on the machine, but a direct launch that is in flight or without an answer may still
    /// start it.
    MayStart,
    /// On the machine, in this state.
    Alive(TaskState),
    /// Exited on the machine, and not forgotten by the worker yet.
    Exited(ExitReason),
}
