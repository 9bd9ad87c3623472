//! Decides, without I/O, whether a submission with dependencies is accepted, and builds the
//! transaction that accepts it.

use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec, JobState};
use crate::store::keys;
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::watch_cache::WatchCache;
use thiserror::Error;

/// The number of conditions of a submission that do not concern its dependencies; see [`new_job`].
const NEW_JOB_CONDITIONS: usize = 2;

/// The state of one dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// It was accepted and has not ended.
    Live {
        /// The kind of the job. A service is never done, so no job can depend on it.
        kind: JobKind,
        /// The revision of the job's record.
        revision: Revision,
    },
    /// It is done.
    Done,
    /// It was cancelled.
    Cancelled,
    /// It was never accepted.
    NeverAccepted,
    /// It could not be read.
    Unknown,
}

/// The reason why a job can't have a dependency. Users see the texts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum InvalidDependency {
    /// The job depends on itself.
    #[error("{0} can't need itself")]
    OnItself(JobId),
    /// The dependency is a service, which is never done.
    #[error("{0} is a service: it is never done")]
    OnService(JobId),
    /// The dependency was never accepted.
    #[error("{0} was never accepted")]
    NeverAccepted(JobId),
}

/// The combined state of all dependencies of a submission.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CombinedDependencyState {
    /// These dependencies have not ended; they were read at these revisions.
    Live(Vec<(JobId, Revision)>),
    /// All dependencies are done.
    Done,
    /// At least one dependency is cancelled.
    Cancelled,
    /// A dependency is invalid, so the submission is refused permanently.
    Refused(InvalidDependency),
    /// The state of at least one dependency could not be read.
    Unknown,
}

impl CombinedDependencyState {
    /// Combines the states of a job's dependencies. An invalid dependency takes priority over one
    /// that could not be read, which takes priority over a cancelled one.
    pub(crate) fn of(job: &JobId, dependencies: Vec<(JobId, DependencyState)>) -> Self {
        let mut live = Vec::new();
        let (mut unknown, mut cancelled) = (false, false);
        for (id, state) in dependencies {
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
                DependencyState::Live { revision, .. } => live.push((id, revision)),
                DependencyState::Done => {}
                DependencyState::Cancelled => cancelled = true,
                DependencyState::Unknown => unknown = true,
            }
        }
        if unknown {
            Self::Unknown
        } else if cancelled {
            Self::Cancelled
        } else if live.is_empty() {
            Self::Done
        } else {
            Self::Live(live)
        }
    }

    /// Returns the transaction that accepts the job, and the state that the job has then; `None` if
    /// the job is not accepted.
    ///
    /// If a dependency is cancelled, the job is accepted as cancelled. A job that has to wait for
    /// dependencies (a blocked job) is accepted on the condition that the records of its live
    /// dependencies have not changed since they were read, so a controller that cancels one of them
    /// finds every dependent once its watch cache has caught up with that cancellation. A transaction
    /// has room for only a limited number of conditions: in a very long list only the first
    /// dependencies are checked this way, and the leader detects the end of the others.
    pub(crate) fn acceptance_txn(
        &self,
        spec: &JobSpec,
        now: UnixTime,
        max_ops: usize,
    ) -> Option<(Txn, JobState)> {
        let mut txn = new_job(&spec.id);
        let live = match self {
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
            Self::Live(dependencies) => dependencies.as_slice(),
        };
        let max_checked = Txn::CONDITIONS_PER_CHANGE * max_ops - NEW_JOB_CONDITIONS;
        for (job, revision) in live.iter().take(max_checked) {
            txn.require(keys::job(job), *revision);
        }
        let mut record = JobRecord::new(spec.clone(), now);
        record.released_at = live.is_empty().then_some(now);
        txn.put(keys::job(&spec.id), &record, None);
        Some((txn, JobState::Queued))
    }
}

/// Returns a transaction with the conditions for accepting a job: neither a record nor a final
/// state of it exists.
pub(crate) fn new_job(id: &JobId) -> Txn {
    let mut txn = Txn::default();
    txn.require(keys::job(id), Revision(0));
    txn.require(keys::final_state(id), Revision(0));
    txn
}

/// Returns the state of a job that the watch cache shows. `None` does not mean that the job does
/// not exist, as the watch cache may lag.
pub(crate) fn cached_dependency_state(id: &JobId, cache: &WatchCache) -> Option<DependencyState> {
    Some(DependencyState::Live {
        kind: cache.job_spec(id)?.kind,
        revision: cache.job_revision(id)?,
    })
}

#[cfg(test)]
mod tests;
