//! The read leases of this controller, and what it knows of those of the others.

use super::Controller;
use crate::ids::{CancellationRoundId, JobId, MonotonicTime, Revision};
use crate::read_leases::{RevisionTimes, RevokedLeases, TransientState};

/// One controller's state about read leases.
#[derive(Debug, Default)]
pub(super) struct ReadLeaseState {
    /// The leases that this controller has revoked.
    pub(super) revoked: RevokedLeases,
    /// When the watch cache has reached which revision.
    pub(super) revision_times: RevisionTimes,
}

impl Controller {
    /// Records which revision the watch cache has reached.
    pub(super) fn record_revision(&mut self, now: MonotonicTime) {
        let revision = self.cache.revision;
        self.read_leases.revision_times.record(now, revision);
    }

    /// Returns whether a user may be answered that a job is in this state, on the ground of a read
    /// whose request was sent at `read_at`.
    pub(crate) fn holds_read_lease(
        &self,
        now: MonotonicTime,
        job: &JobId,
        state: TransientState,
        read_at: MonotonicTime,
    ) -> bool {
        state.is_leased(now, read_at) && !self.read_leases.revoked.is_revoked(job, read_at)
    }

    /// Returns a time at which a change at this revision was certainly committed; `None` if the
    /// watch cache has not reached the revision.
    pub(crate) fn committed_by(&self, revision: Revision) -> Option<MonotonicTime> {
        self.read_leases.revision_times.reached_at(revision)
    }

    /// Returns whether no controller can still answer that a cancelled job is live: all others have
    /// revoked their leases in this round, or the leases have expired.
    pub(super) fn have_live_leases_ended(
        &self,
        now: MonotonicTime,
        round: CancellationRoundId,
        cancelled_revision: Revision,
    ) -> bool {
        let peers = self.config.peers.keys();
        let rounds = &self.cancellation.rounds;
        let committed_by = self.committed_by(cancelled_revision);
        rounds.is_acknowledged_by_all(round, peers)
            || committed_by.is_some_and(|at| now >= TransientState::Live.expired_at(at))
    }
}
