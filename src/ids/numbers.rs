//! Numbers that identify or order things, each kind with a type of its own.

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
    /// A revision of the key-value store, or of a key's last change there; 0: there is no such key.
    Revision,
    /// Proves who may command a machine: the revision of its shard's record, and how often the
    /// shard's owner has raised the token for this machine alone. Workers refuse a lower one.
    FencingToken,
    /// Distinguishes one start of a task from another. Never used twice.
    AttemptNumber,
    /// The time of a worker between two expiries of its lease.
    WorkerEpoch,
    /// Orders the heartbeats of one epoch.
    HeartbeatSequence,
    /// A lease of the key-value store.
    LeaseId,
    /// One process of a controller; a restarted controller has another.
    Incarnation,
    /// A round of asking the other controllers about a cancellation, among those of one process of a
    /// controller.
    CancellationRoundId,
}

/// Bits of an attempt's number that count the attempts of one leader's term.
const ATTEMPT_BITS: u32 = 20;

impl AttemptNumber {
    /// The number of an attempt that the leader of a term allots. The term leads it, so that no
    /// number is ever used twice.
    pub(crate) fn of(term: Revision, counter: u64) -> Self {
        Self((term.0 << ATTEMPT_BITS) + counter)
    }
}

/// Bits of a token that count the shard owner's raises; the shard's revision is in those above.
const RAISE_BITS: u32 = 20;

impl FencingToken {
    /// The token of a machine under a shard's record. Any later record of the shard outranks all
    /// raises under an earlier one, so raises need no record of their own.
    pub(crate) fn of(fence: Revision, raise: u32) -> Self {
        Self((fence.0 << RAISE_BITS) | u64::from(raise))
    }

    /// The revision of the shard's record.
    pub(crate) fn fence(self) -> Revision {
        Revision(self.0 >> RAISE_BITS)
    }

    /// The token after one more raise under the same record; none once all its bits are used.
    pub(crate) fn checked_increment(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.fence() == self.fence()).then_some(next)
    }
}

/// A shard of machines that have one owner. A machine's shard follows from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A shard under one record of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ShardFence {
    /// The shard.
    pub shard: ShardId,
    /// The revision of the shard's record.
    pub fence: Revision,
}
