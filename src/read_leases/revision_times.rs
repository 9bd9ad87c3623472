//! When this controller first knew that the key-value store had reached a revision.

use super::TransientState;
use crate::ids::{MonotonicTime, Revision};
use std::collections::VecDeque;

/// A revision, and the time at which it was first known to be reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachedRevision {
    revision: Revision,
    at: MonotonicTime,
}

/// The revisions that the watch cache has reached. A change at a revision was committed before the
/// cache reached it. Times that are too long ago to matter for a lease are forgotten.
#[derive(Debug, Default)]
pub(crate) struct RevisionTimes {
    /// In ascending order.
    pub(super) reached: VecDeque<ReachedRevision>,
}

impl RevisionTimes {
    /// Records that the watch cache has reached a revision.
    pub(crate) fn record(&mut self, now: MonotonicTime, revision: Revision) {
        let latest = self.reached.back();
        if latest.is_none_or(|latest| latest.revision < revision) {
            self.reached
                .push_back(ReachedRevision { revision, at: now });
        }
        while let Some(second) = self.reached.get(1)
            && now > TransientState::Live.expired_at(second.at)
        {
            self.reached.pop_front();
        }
    }

    /// Returns a time at which a change at this revision was certainly committed; `None` if the
    /// watch cache has not reached the revision. It is the earliest such time that is known, unless
    /// all leases from before the change have expired.
    pub(crate) fn reached_at(&self, revision: Revision) -> Option<MonotonicTime> {
        let first = self
            .reached
            .partition_point(|reached| reached.revision < revision);
        self.reached.get(first).map(|reached| reached.at)
    }
}
