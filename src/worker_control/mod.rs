//! The shard owner's duty: one tracker for each machine of its shards. It answers heartbeats,
//! commits placements under the shard's fence before it starts them, and drops them only on proof.

mod machine_tracker;
mod shard_owner;

pub(crate) use shard_owner::{
    DirectCall, DirectCallOutcome, Effect, HeartbeatAnswer, HeartbeatPath, ShardOwner,
};
