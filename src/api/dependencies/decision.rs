//! Whether a submission with dependencies is accepted, and by which transaction: decided without
//! I/O.

use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec, JobState};
use crate::store::keys;
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::watch_cache::WatchCache;
use thiserror::Error;

/// Conditions that a submission needs beside those on its dependencies.
const OWN_CONDITIONS: usize = 2;

/// The state of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// Accepted and not ended.
    Live {
        /// Its kind: a service is never done.
        kind: JobKind,
        /// The revision of its record.
        revision: Revision,
    },
    /// Ended as done.
    Done,
    /// Ended as cancelled.
    Cancelled,
    /// It was never accepted.
    NeverAccepted,
    /// It could not be read.
    Unknown,
}

/// Why a job can't depend on another. The texts are shown to users.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum InvalidDependency {
    /// The job names itself.
    #[error("{0} can't need itself")]
    OnItself(JobId),
    /// The named job never ends as done.
    #[error("{0} is a service: it is never done")]
    OnService(JobId),
    /// The named job does not exist.
    #[error("{0} was never accepted")]
    NeverAccepted(JobId),
}

/// The dependencies of a submission, taken together.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CombinedDependencyState {
    /// These have not ended, at these revisions.
    Live(Vec<(JobId, Revision)>),
    /// All are done.
    Done,
    /// At least one is cancelled.
    Cancelled,
    /// One of them is refused for good.
    Refused(InvalidDependency),
    /// At least one could not be read.
    Unknown,
}

impl CombinedDependencyState {
    /// Sums up the states of a job's dependencies. What is refused for good comes first, then what
    /// is not known.
    pub(crate) fn of(job: &JobId, named: Vec<(JobId, DependencyState)>) -> Self {
        let mut open = Vec::new();
        let (mut unknown, mut cancelled) = (false, false);
        for (id, state) in named {
            if id == *job {
                return Self::Refused(InvalidDependency::OnItself(id));
            }
            match state {
                DependencyState::Live {
                    kind: JobKind::Service,
                    ..
                } => return Self::Refused(InvalidDependency::OnService(id)),
                DependencyState::NeverAccepted => {
                    return Self::Refused(InvalidDependency::NeverAccepted(id));
                }
                DependencyState::Live { revision, .. } => open.push((id, revision)),
                DependencyState::Done => {}
                DependencyState::Cancelled => cancelled = true,
                DependencyState::Unknown => unknown = true,
            }
        }
        if unknown {
            Self::Unknown
        } else if cancelled {
            Self::Cancelled
        } else if open.is_empty() {
            Self::Done
        } else {
            Self::Live(open)
        }
    }

    /// The transaction that accepts the job, and the job's state then. `None`: it is not accepted.
    ///
    /// A dependent of a cancelled job is accepted as cancelled. One that is blocked is accepted on
    /// the condition that its open dependencies are still as they were read, so whoever cancels one
    /// of these finds every dependent once the watch cache has caught up with that change. Of a
    /// very long list only the first are checked there; the leader finds out about the others.
    pub(crate) fn acceptance_txn(
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
            Self::Live(open) => open.as_slice(),
        };
        let max_checked = Txn::CONDITIONS_PER_CHANGE * max_ops - OWN_CONDITIONS;
        for (job, revision) in open.iter().take(max_checked) {
            txn.require(keys::job(job), *revision);
        }
        let mut record = JobRecord::new(spec.clone(), now);
        record.released_at = open.is_empty().then_some(now);
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

/// The state of a job that the watch cache shows. That one is missing there proves nothing.
pub(crate) fn cached_dependency_state(id: &JobId, cache: &WatchCache) -> Option<DependencyState> {
    Some(DependencyState::Live {
        kind: cache.job_spec(id)?.kind,
        revision: cache.job_revision(id)?,
    })
}

#[cfg(test)]
mod tests;
