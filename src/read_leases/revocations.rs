//! The leases that this controller has revoked because another controller asked for it.

use super::TransientState;
use crate::ids::{JobId, MonotonicTime};
use std::collections::BTreeMap;

/// The jobs whose leases were revoked, with the time of the revocation. It ends all leases that
/// began before. Entries are removed once those leases would have expired anyway.
#[derive(Debug, Default)]
pub(crate) struct RevokedLeases {
    revoked_at: BTreeMap<JobId, MonotonicTime>,
}

impl RevokedLeases {
    /// Revokes all leases on the job. The job has ended, so a lease that begins after this is
    /// not on a state that another one can follow.
    pub(crate) fn revoke(&mut self, now: MonotonicTime, job: &JobId) {
        self.revoked_at
            .retain(|_, at| TransientState::Live.is_leased(now, *at));
        self.revoked_at.entry(job.clone()).or_insert(now);
    }

    /// Returns whether a lease that began at `read_at` was revoked.
    pub(crate) fn is_revoked(&self, job: &JobId, read_at: MonotonicTime) -> bool {
        let revoked_at = self.revoked_at.get(job);
        revoked_at.is_some_and(|at| read_at <= *at)
    }
}
