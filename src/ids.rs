//! Ids, versions, amounts and times: small types of their own, so that none is taken for another.

mod names;
mod numbers;
mod resources;
mod tasks;
mod time;

pub(crate) use names::{Image, JobId, MachineId, Member, Pipeline, TeamId, TypeName, Zone};
pub(crate) use numbers::{
    AttemptNumber, FencingToken, HeartbeatSequence, Incarnation, LeaseId, Revision, RoundId,
    ShardFence, ShardId, WorkerEpoch,
};
pub(crate) use resources::Resources;
pub(crate) use tasks::{TaskAttempt, TaskId};
pub(crate) use time::{Millis, MonotonicTime, UnixTime};

#[cfg(test)]
mod tests;
