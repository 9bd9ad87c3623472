//! Ids, versions, amounts and times: small types of their own, so that none is taken for another.

mod names;
mod numbers;
mod resources;
mod tasks;
mod time;

pub(crate) use names::{
    Image, JobId, MachineId, MachineTypeName, MemberId, Pipeline, TeamId, Zone,
};
pub(crate) use numbers::{
    AttemptNumber, CancellationRoundId, FencingToken, HeartbeatSequence, Incarnation, LeaseId,
    Revision, ShardFence, ShardId, WorkerEpoch,
};
pub(crate) use resources::Resources;
pub(crate) use tasks::{TaskAttempt, TaskId};
pub(crate) use time::{Millis, MonotonicTime, UnixTime};

#[cfg(test)]
mod tests;
