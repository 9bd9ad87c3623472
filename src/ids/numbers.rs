//! Numeric ids, revisions and sequence numbers, with a separate type for each kind.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub(crate) struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number_type! {
    /// A revision of the key-value store, or of a key's last change; 0 if the key does not exist.
    Revision,
    /// The fencing token that authorizes commands to a machine. Its high bits are the revision of
    /// the ownership record of the machine's shard. Its low bits count how often the shard's owner
    /// has raised the token of this one machine. Workers refuse commands with a lower token than the
    /// highest that they have seen.
    FencingToken,
    /// The number of an attempt, which distinguishes the starts of a task. It is never reused.
    AttemptNumber,
    /// The epoch of a worker. It increases by one each time that the worker's lease expires, because
    /// no heartbeat was answered for `params.workers.lease_s`; the worker then forgets its tasks. This
    /// lease is not one of the key-value store, which has a [`LeaseId`].
    WorkerEpoch,
    /// The sequence number of a heartbeat within a worker epoch.
    HeartbeatSequence,
    /// The id of a lease of the key-value store.
    LeaseId,
    /// The id of a controller process. A restarted controller has a new one.
    Incarnation,
    /// The id of a cancellation round, in which a controller informs the others of a cancellation
    /// and collects their acknowledgements. It is unique within one process of the controller.
    CancellationRoundId,
    /// The id of a direct call to a worker or of a write of a machine's record. It is unique within one
    /// process of the controller, which matches the outcome to the request by it.
    RequestId,
    /// The id of a request that a controller has forwarded to a peer. It is unique among all processes
    /// of the controller.
    ForwardedRequestId,
}

/// Number of the low bits of an attempt number that count the attempts of one leader's term. The
/// bits above hold the term.
const ATTEMPT_COUNTER_BITS: u32 = 20;

impl AttemptNumber {
    /// Returns the number for an attempt that the leader of a term assigns. The term, the revision of
    /// the leader's record, is in the high bits, so that numbers are never reused across terms.
    /// `counter` must fit into [`ATTEMPT_COUNTER_BITS`], which is not checked.
    pub(crate) fn of(term: Revision, counter: u64) -> Self {
        Self((term.0 << ATTEMPT_COUNTER_BITS) + counter)
    }
}

/// Number of the low bits of a fencing token that count its raises by the shard's owner. The bits
/// above hold the revision of the shard's ownership record.
const RAISE_COUNTER_BITS: u32 = 20;

impl FencingToken {
    /// Returns the token of a machine after `raise_count` raises under the shard record of revision
    /// `fence`. A later record of the shard gives a higher token than any raise under an earlier
    /// one, so raises need not be recorded.
    pub(crate) fn of(fence: Revision, raise_count: u32) -> Self {
        Self((fence.0 << RAISE_COUNTER_BITS) | u64::from(raise_count))
    }

    /// Returns the revision of the shard record.
    pub(crate) fn fence(self) -> Revision {
        Revision(self.0 >> RAISE_COUNTER_BITS)
    }

    /// Returns the token after one more raise under the same shard record, or `None` if all raise
    /// bits are used up.
    pub(crate) fn checked_increment(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.fence() == self.fence()).then_some(next)
    }
}

/// The id of a shard, a group of machines with one owner. A machine's shard follows from its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A shard together with the revision of its ownership record, which serves as a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ShardFence {
    /// The shard's id.
    pub shard: ShardId,
    /// The revision of the shard's record.
    pub fence: Revision,
}
