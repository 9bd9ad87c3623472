//! Submissions with dependencies, and cancellations of jobs that have dependents.

mod cascade;
mod decision;

pub(crate) use cascade::{CancellationCascade, CascadeStep};
pub(crate) use decision::{
    CombinedDependencyState, DependencyState, InvalidDependency, cached_dependency_state, new_job,
};

use super::job_api::{Answer, JobApi};
use super::job_lookup::JobLookup;
use super::retry_reason::RetryReason;
use super::revision_check::StoredJob;
use super::submit::{SubmissionError, Submitted};
use crate::http::Response;
use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::{JobSpec, JobState};
use crate::read_leases::TransientState;
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of attempts to accept a submission whose dependencies change meanwhile.
const MAX_ATTEMPTS: usize = 4;
/// The timeout of one attempt to look up all dependencies of a submission. There is no further attempt
/// after a timeout, but the job itself may be looked up. Users wait five seconds for the answer to a
/// submission.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time for which a request about a cancelled job waits for its dependents to be cancelled. Polls
/// wait for this too, and users wait two seconds for the answer to a poll.
const CASCADE_TIMEOUT: Duration = Duration::from_millis(600);
/// The interval at which a cascade checks whether the watch cache has caught up.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

impl JobApi {
    /// Accepts or refuses a job with dependencies.
    pub(super) async fn submit_dependent(&self, spec: JobSpec) -> Submitted {
        let id = spec.id.clone();
        // A controller of an earlier version would start the job without waiting for its
        // dependencies.
        if !self
            .controller
            .borrow()
            .cache
            .all_members_support_dependencies()
        {
            return Err(SubmissionError::NotWritten(RetryReason::EarlierVersion));
        }
        let mut changed = BTreeSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let lookup = self.look_up(&spec, &changed);
            let Some(dependencies) = runtime::timeout(LOOKUP_TIMEOUT, lookup).await else {
                return Err(self.dependencies_unread());
            };
            if let CombinedDependencyState::Refused(reason) = &dependencies {
                return Ok(self.refuse_for_dependency(&id, reason).await?);
            }
            let ops = self.config.store_limits.txn_ops;
            let Some((txn, state)) = dependencies.acceptance_txn(&spec, UnixTime::now(), ops)
            else {
                return Err(self.dependencies_unread());
            };
            let sent_at = self.store.now();
            match self.store.txn(RequestClass::Accept, &txn).await {
                TxnOutcome::Committed(revision) => {
                    return Ok(self.accepted_answer(&id, state, revision, sent_at).await?);
                }
                TxnOutcome::Failed(failed, _) => {
                    let own_keys = [keys::job(&id), keys::final_state(&id)];
                    if failed.iter().any(|key| own_keys.contains(key)) {
                        return Ok(self.existing_status(&id, &failed, sent_at).await?);
                    }
                    let dependencies = spec.dependencies.iter();
                    let stale = dependencies.filter(|d| failed.contains(&keys::job(d)));
                    changed.extend(stale.cloned());
                }
                outcome => return Err(SubmissionError::not_written(&outcome)),
            }
        }
        Err(SubmissionError::NotWritten(
            RetryReason::DependenciesChanging,
        ))
    }

    /// Refuses a submission permanently because it can't have one of its dependencies, unless its job
    /// was accepted earlier.
    async fn refuse_for_dependency(&self, id: &JobId, reason: &InvalidDependency) -> Answer {
        let text = reason.to_string();
        match reason {
            InvalidDependency::NeverAccepted(dependency) => {
                self.refuse_without_dependency(id, dependency, &text).await
            }
            _ => self.refuse(id, &text).await,
        }
    }

    /// Refuses a submission permanently if neither its job nor this dependency was accepted. Both are
    /// compared at the same time, as another controller may accept either of them meanwhile.
    async fn refuse_without_dependency(
        &self,
        id: &JobId,
        dependency: &JobId,
        reason: &str,
    ) -> Answer {
        let own_check = self.revision_checker.start_check(id);
        let dependency_check = self.revision_checker.start_check(dependency);
        let own = own_check.result().await;
        let dependency_state = dependency_check.result().await;
        let is_leased = |job, at| self.holds_read_lease(job, TransientState::Absent, at);
        match (own, dependency_state) {
            (
                StoredJob::NeverAccepted { read_at },
                StoredJob::NeverAccepted {
                    read_at: dependency_read_at,
                },
            ) => match is_leased(id, read_at) && is_leased(dependency, dependency_read_at) {
                true => Ok(Response::error(422, reason)),
                false => Err(RetryReason::Outdated),
            },
            (StoredJob::Unknown(unknown), _) | (_, StoredJob::Unknown(unknown)) => Err(unknown),
            (StoredJob::NeverAccepted { .. }, _) => Err(RetryReason::DependenciesChanging),
            _ => {
                self.status_or_retry(id, RetryReason::DependenciesChanging)
                    .await
            }
        }
    }

    /// Returns the error of a submission whose dependencies could not be looked up. If the store
    /// did not respond, the job itself is not looked up either.
    fn dependencies_unread(&self) -> SubmissionError {
        let reason = RetryReason::DependenciesUnread;
        match self.store.last_call_answered() {
            true => SubmissionError::NotWritten(reason),
            false => SubmissionError::Unanswered(reason),
        }
    }

    /// Looks up all dependencies. The watch cache is known to be stale for those in `changed`,
    /// which are read from the store.
    async fn look_up(&self, spec: &JobSpec, changed: &BTreeSet<JobId>) -> CombinedDependencyState {
        let mut states = Vec::new();
        for id in &spec.dependencies {
            let state = self.dependency_state(id, changed.contains(id)).await;
            states.push((id.clone(), state));
        }
        CombinedDependencyState::of(&spec.id, states)
    }

    async fn dependency_state(&self, id: &JobId, changed: bool) -> DependencyState {
        let cached = cached_dependency_state(id, &self.controller.borrow().cache);
        if let Some(live) = cached.filter(|_| !changed) {
            return live;
        }
        match self.find(id).await {
            Ok(JobLookup::Live(item)) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => DependencyState::Live {
                    kind: record.spec.kind,
                    revision: item.revision,
                },
                Err(_) => DependencyState::Unknown,
            },
            Ok(JobLookup::Ended(final_state)) => match final_state.record.state {
                JobState::Cancelled => DependencyState::Cancelled,
                _ => DependencyState::Done,
            },
            Ok(JobLookup::NeverAccepted) => DependencyState::NeverAccepted,
            Err(_) => DependencyState::Unknown,
        }
    }

    /// Cancels all dependents of a cancelled job before its user is answered. `revision` is the
    /// store revision that cancelled the job. Returns `false` if it is not certain that all dependents
    /// are cancelled.
    pub(super) async fn cancel_dependents(&self, id: &JobId, revision: Revision) -> bool {
        let deadline = runtime::now() + CASCADE_TIMEOUT;
        let mut cascade = CancellationCascade::new(id, revision);
        let ops = self.config.store_limits.txn_ops;
        while runtime::now() < deadline {
            let step = cascade.next(&self.controller.borrow().cache, ops);
            let (txn, jobs) = match step {
                CascadeStep::Complete => return true,
                CascadeStep::Wait => {
                    runtime::sleep(POLL_INTERVAL).await;
                    continue;
                }
                CascadeStep::Write(txn, jobs) => (txn, jobs),
            };
            match self.store.txn(RequestClass::Accept, &txn).await {
                TxnOutcome::Committed(at) => {
                    cascade.committed(at);
                    let mut controller = self.controller.borrow_mut();
                    controller.on_dependents_cancelled(&jobs, at);
                }
                // A dependent was released or cancelled by another controller, or the watch cache
                // lags.
                TxnOutcome::Failed(..) => runtime::sleep(POLL_INTERVAL).await,
                TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Unknown => return false,
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
