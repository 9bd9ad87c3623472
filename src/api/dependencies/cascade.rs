//! Cascading cancellation of the dependents of a cancelled job, decided without I/O.

use crate::ids::{JobId, Revision};
use crate::planning::cancel_dependents;
use crate::protocol::store::Txn;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// A cascading cancellation of all direct and indirect dependents of a job, one transaction per
/// step.
#[derive(Debug)]
pub(crate) struct CancellationCascade {
    /// The cancelled job and all its descendants found so far.
    cancelled: Vec<JobId>,
    /// The latest store revision at which any of these jobs was cancelled.
    revision: Revision,
}

/// The next step of a cascade.
#[derive(Debug)]
pub(crate) enum CascadeStep {
    /// All descendants of the job are cancelled.
    Complete,
    /// Wait until the watch cache has caught up with the cascade's transactions.
    Wait,
    /// Commit this transaction, which cancels these jobs.
    Write(Txn, Vec<JobId>),
}

impl CancellationCascade {
    /// Creates a cascade for a job that was cancelled at `revision`.
    pub(crate) fn new(job: &JobId, revision: Revision) -> Self {
        Self {
            cancelled: vec![job.clone()],
            revision,
        }
    }

    /// Returns the next step according to the watch cache. The cascade is complete once the watch
    /// cache has caught up with the latest cancellation and shows no further dependents.
    ///
    /// A blocked job is accepted on the condition that its live dependencies have not changed (see
    /// [`CombinedDependencyState::acceptance_txn`]), so none is accepted after its dependency was
    /// cancelled, and the watch cache shows all that were accepted before. A dependent with more
    /// dependencies than a transaction can check may be accepted later; the leader cancels it.
    ///
    /// [`CombinedDependencyState::acceptance_txn`]: super::CombinedDependencyState::acceptance_txn
    pub(crate) fn next(&mut self, cache: &WatchCache, max_ops: usize) -> CascadeStep {
        let mut cancelled = self.cancelled.iter();
        let next = cancelled.find_map(|id| cancel_dependents(id, cache, max_ops));
        let descendants: BTreeSet<JobId> = self
            .cancelled
            .iter()
            .flat_map(|id| cache.dependency_graph.descendants(id))
            .filter(|id| !self.cancelled.contains(id))
            .collect();
        self.cancelled.extend(descendants);
        match next {
            Some((txn, jobs)) => CascadeStep::Write(txn, jobs),
            None if cache.revision >= self.revision => CascadeStep::Complete,
            None => CascadeStep::Wait,
        }
    }

    /// Records that a step's transaction was committed at `revision`.
    pub(crate) fn committed(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }
}
