//! What a submission that names other jobs amounts to, and the transactions that follow: decided
//! without I/O.

use crate::ids::{JobId, Revision, UnixTime};
use crate::planning::cancel_dependents;
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec, JobState};
use crate::store::keys;
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// Conditions that a submission needs beside those on the jobs that it names.
const OWN_CONDITIONS: usize = 2;
/// Conditions that a transaction may have for each of its changes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// How one of the named jobs stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// Accepted and not over.
    Live {
        kind: JobKind,
        revision: Revision,
    },
    Done,
    Cancelled,
    Never,
    Unknown,
}

/// What a submission amounts to, by the jobs that it names.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Dependencies {
    /// These are not over, at these revisions.
    Open(Vec<(JobId, Revision)>),
    Done,
    Cancelled,
    /// They can't be named, for good.
    Refused(String),
    Unknown,
}

impl Dependencies {
    /// Sums up how the jobs stand that `job` names. What is refused for good comes first, then
    /// what is not known.
    pub(crate) fn of(job: &JobId, named: Vec<(JobId, DependencyState)>) -> Self {
        let (mut open, mut unknown, mut cancelled) = (Vec::new(), false, false);
        for (id, state) in named {
            if id == *job {
                return Self::Refused(format!("{id} can't need itself"));
            }
            match state {
                DependencyState::Live {
                    kind: JobKind::Service,
                    ..
                } => return Self::Refused(format!("{id} is a service: it is never done")),
                DependencyState::Never => return Self::Refused(format!("{id} was never accepted")),
                DependencyState::Live { revision, .. } => open.push((id, revision)),
                DependencyState::Done => {}
                DependencyState::Cancelled => cancelled = true,
                DependencyState::Unknown => unknown = true,
            }
        }
        match (unknown, cancelled, open.is_empty()) {
            (true, ..) => Self::Unknown,
            (_, true, _) => Self::Cancelled,
            (.., false) => Self::Open(open),
            (.., true) => Self::Done,
        }
    }

    /// The transaction that accepts the job, and how the job then stands. `None`: it is not
    /// accepted.
    ///
    /// A job that needs a cancelled one is accepted as cancelled. One that waits is accepted on the
    /// condition that the jobs it waits for stand as they were found, so whoever cancels one of
    /// these finds, once the watch cache has come up to that change, every job that needs it. Of a very
    /// long list only the first are checked there; the leader finds out about the others.
    pub(crate) fn accept(
        &self,
        spec: &JobSpec,
        now: UnixTime,
        max_ops: usize,
    ) -> Option<(Txn, JobState)> {
        let mut txn = new_job(&spec.id);
        let open = match self {
            Self::Refused(_) | Self::Unknown => return None,
            Self::Cancelled => {
                let record = FinalRecord {
                    state: JobState::Cancelled,
                    tasks: spec.tasks,
                };
                txn.put(keys::final_state(&spec.id), &record, None);
                return Some((txn, JobState::Cancelled));
            }
            Self::Done => &[][..],
            Self::Open(open) => open.as_slice(),
        };
        let room = CONDITIONS_PER_CHANGE * max_ops - OWN_CONDITIONS;
        for (job, revision) in open.iter().take(room) {
            txn.require(keys::job(job), *revision);
        }
        let mut record = JobRecord::new(spec.clone(), now);
        record.released = open.is_empty().then_some(now);
        txn.put(keys::job(&spec.id), &record, None);
        Some((txn, JobState::Queued))
    }
}

/// The conditions under which a job is accepted: it is not known yet.
pub(crate) fn new_job(id: &JobId) -> Txn {
    let mut txn = Txn::default();
    txn.require(keys::job(id), Revision(0));
    txn.require(keys::final_state(id), Revision(0));
    txn
}

/// How a job stands that the watch cache shows. That one is missing there proves nothing.
pub(crate) fn named_in_cache(id: &JobId, cache: &WatchCache) -> Option<DependencyState> {
    Some(DependencyState::Live {
        kind: cache.job_spec(id)?.kind,
        revision: cache.job_revision(id)?,
    })
}

/// The cancellation of everything that needs a job, step by step.
#[derive(Debug)]
pub(crate) struct CancellationCascade {
    cancelled: Vec<JobId>,
    /// The last change that cancelled any of them.
    revision: Revision,
}

/// What the cascade needs next.
#[derive(Debug)]
pub(crate) enum CascadeStep {
    /// All that need the job are cancelled.
    Complete,
    /// The watch cache has to come up to what was written.
    Wait,
    Write(Txn, Vec<JobId>),
}

impl CancellationCascade {
    /// `revision`: the change that cancelled the job.
    pub(crate) fn new(job: &JobId, revision: Revision) -> Self {
        Self {
            cancelled: vec![job.clone()],
            revision,
        }
    }

    /// No job that needs a cancelled one is accepted as waiting after the change that cancelled it,
    /// and the watch cache shows all that were before, once it has come up to that change.
    pub(crate) fn next(&mut self, cache: &WatchCache, max_ops: usize) -> CascadeStep {
        let mut cancelled = self.cancelled.iter();
        let next = cancelled.find_map(|id| cancel_dependents(id, cache, max_ops));
        let found = self.cancelled.iter();
        let found = found.flat_map(|id| cache.dependency_graph.descendants(id));
        let new: BTreeSet<JobId> = found.filter(|id| !self.cancelled.contains(id)).collect();
        self.cancelled.extend(new);
        match next {
            Some((txn, jobs)) => CascadeStep::Write(txn, jobs),
            None if cache.revision >= self.revision => CascadeStep::Complete,
            None => CascadeStep::Wait,
        }
    }

    pub(crate) fn committed(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }
}

#[cfg(test)]
mod tests;
