//! Read leases: for how long a controller may answer a user on the ground of what it has read.
//!
//! Once a user was told that a job is accepted, done or cancelled, no controller may answer with an
//! earlier state. But a controller that has read the earlier state may send its answer late, after
//! another controller has changed the job and answered. Neither learns of the other in time if they
//! can't reach each other, so what a controller knows when it answers is not enough.
//!
//! So a read of a state that another one can follow carries a lease. It begins when the request to
//! the key-value store is sent, and an answer that rests on the read is sent before it ends. A
//! controller tells its user of the next state only once no lease on the earlier one can be left in
//! any controller: either the lease time has passed since the next state was committed, or all other
//! controllers have revoked their leases, which they do when they are told of a cancellation.
//!
//! All of this rests on durations that each controller measures with its own monotonic clock. No two
//! clocks need to agree.

mod revision_times;
mod revocations;

pub(crate) use revision_times::RevisionTimes;
pub(crate) use revocations::RevokedLeases;

use crate::ids::{Millis, MonotonicTime};

/// The lease on a read that found a job live. Polls are answered within it also while the store is
/// slow. The confirmation of a cancellation waits for it while a controller can't be reached.
const LIVE_LEASE: Millis = Millis(700);
/// The lease on a read that found no record of a job. Every new submission waits for it.
const ABSENT_LEASE: Millis = Millis(40);
/// The time between the check of a lease and the arrival of the answer at the user, and the drift
/// between two clocks during a lease.
const LIVE_MARGIN: Millis = Millis(100);
/// The same for [`ABSENT_LEASE`].
const ABSENT_MARGIN: Millis = Millis(20);

/// A state of a job that another state can follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransientState {
    /// No record of the job exists. It may be accepted.
    Absent,
    /// The job was accepted and has not ended. It may be done or cancelled.
    Live,
}

impl TransientState {
    /// Returns for how long an answer may rest on a read of this state, counted from the time at
    /// which the request was sent.
    fn lease(self) -> Millis {
        match self {
            Self::Absent => ABSENT_LEASE,
            Self::Live => LIVE_LEASE,
        }
    }

    /// Returns whether the lease on a read whose request was sent at `read_at` has not expired.
    pub(crate) fn is_leased(self, now: MonotonicTime, read_at: MonotonicTime) -> bool {
        now.since(read_at) < self.lease()
    }

    /// Returns when the leases on this state have expired in all controllers. `ended_by` is a time at
    /// which the state that follows was certainly committed.
    pub(crate) fn expired_at(self, ended_by: MonotonicTime) -> MonotonicTime {
        let margin = match self {
            Self::Absent => ABSENT_MARGIN,
            Self::Live => LIVE_MARGIN,
        };
        ended_by + self.lease() + margin
    }
}

#[cfg(test)]
mod tests;
