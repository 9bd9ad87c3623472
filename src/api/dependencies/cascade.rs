//! The cancellation of all jobs that depend on a cancelled one: decided without I/O.

use crate::ids::{JobId, Revision};
use crate::planning::cancel_dependents;
use crate::protocol::store::Txn;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// The cancellation of all jobs that depend on a job, step by step.
#[derive(Debug)]
pub(crate) struct CancellationCascade {
    /// The job, and all its descendants that were seen so far.
    cancelled: Vec<JobId>,
    /// The last change that cancelled any of them.
    revision: Revision,
}

/// What a cascade needs next.
#[derive(Debug)]
pub(crate) enum CascadeStep {
    /// All descendants of the job are cancelled.
    Complete,
    /// The watch cache has to catch up with what was written.
    Wait,
    /// A transaction that cancels these jobs.
    Write(Txn, Vec<JobId>),
}

impl CancellationCascade {
    /// Begins a cascade. `revision`: the change that cancelled the job.
    pub(crate) fn new(job: &JobId, revision: Revision) -> Self {
        Self {
            cancelled: vec![job.clone()],
            revision,
        }
    }

    /// What to do next, by what the watch cache shows. No dependent of a cancelled job is accepted
    /// as blocked after the change that cancelled it, and the watch cache shows all that were
    /// accepted before, once it has caught up with that change.
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

    /// Records that a step's transaction was committed at a revision.
    pub(crate) fn committed(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }
}
