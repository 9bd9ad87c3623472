//! The holder's duty: one desk for each machine of its blocks. It answers reports, commits
//! placements under the block's fence before it starts them, and drops them only on proof.

mod machine_tracker;
mod shard_owner;

pub use shard_owner::{DirectCallOutcome, Effect, HeartbeatAnswer, ShardOwner};
