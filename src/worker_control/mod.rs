//! Control of the workers in the shards that this controller owns. Each machine has a tracker. The
//! shard owner answers heartbeats, commits a placement under the shard's fence before it launches
//! the task, and removes a placement only once the task is proved to be gone.

mod machine_tracker;
mod shard_owner;

pub(crate) use shard_owner::{
    DirectCall, DirectCallOutcome, Effect, HeartbeatAnswer, HeartbeatPath, RecordWrite, SentCall,
    ShardOwner,
};
