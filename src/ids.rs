//! Ids, revisions, resource amounts and times. Each has its own type, so that the compiler catches
//! mix-ups.

mod names;
mod numbers;
mod resources;
mod tasks;
mod time;

pub(crate) use names::{
    Image, JobId, MachineId, MachineTypeName, MemberId, Pipeline, TeamId, Zone,
};
pub(crate) use numbers::{
    AttemptNumber, CancellationRoundId, FencingToken, ForwardedRequestId, HeartbeatSequence,
    Incarnation, LeaseId, RequestId, Revision, ShardFence, ShardId, WorkerEpoch,
};
pub(crate) use resources::Resources;
pub(crate) use tasks::{TaskAttempt, TaskId};
pub(crate) use time::{Millis, MonotonicTime, UnixTime};

#[cfg(test)]
mod tests;
