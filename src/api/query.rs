//! Polls of jobs.

use super::final_state::FinalState;
use super::job_api::{Answer, Cancellation, JobApi};
use super::responses::{TaskCounts, final_status, job_status, no_such_job};
use super::retry_reason::RetryReason;
use super::revision_check::StoredJob;
use crate::http::Response;
use crate::ids::JobId;
use crate::protocol::{JobState, is_valid_job_id};
use crate::runtime::oneshot;
use crate::store::keys;
use std::time::Instant;

/// The state of a job id, as checked against the key-value store.
#[derive(Clone, Copy, Debug)]
pub(super) enum KnownJob {
    /// The job was accepted and has not ended.
    Live,
    /// The job has ended.
    Ended(FinalState),
    /// No job was accepted under this id.
    NeverAccepted,
}

impl JobApi {
    /// Answers a poll of a job's state.
    pub(crate) async fn poll(&self, id: &str) -> Response {
        if !is_valid_job_id(id) {
            return no_such_job();
        }
        let id = JobId::from(id);
        let answer = self.status_or(&id, no_such_job()).await;
        self.respond(&id, answer)
    }

    /// Returns a job's state if it was accepted, and `otherwise` if not.
    pub(super) async fn status_or(&self, id: &JobId, otherwise: Response) -> Answer {
        let status = self.known_status(id).await?;
        Ok(status.unwrap_or(otherwise))
    }

    /// Returns a job's state, or `reason` if no record of it exists. Then the user has to retry: the
    /// job is not refused, since a write whose outcome is unknown may still be carried out. If the
    /// reason is `StoreDown`, nothing is looked up.
    pub(super) async fn status_or_retry(&self, id: &JobId, reason: RetryReason) -> Answer {
        if reason == RetryReason::StoreDown {
            return Err(reason);
        }
        self.known_status(id).await?.ok_or(reason)
    }

    /// Returns a job's state, or `None` if no job was accepted under this id.
    async fn known_status(&self, id: &JobId) -> Result<Option<Response>, RetryReason> {
        match self.known_job(id).await? {
            KnownJob::Live => Ok(Some(self.live_status(id))),
            KnownJob::Ended(final_state) => {
                let status = self.settled_status(id, final_state, None).await?;
                Ok(Some(status))
            }
            KnownJob::NeverAccepted => Ok(None),
        }
    }

    /// Returns the state of a job id without a write. While the comparison is refused, it is retried
    /// with increasing priority (see `retries`). Final states are read by the `FinalStateReader`.
    pub(super) async fn known_job(&self, id: &JobId) -> Result<KnownJob, RetryReason> {
        if let Some(final_state) = self.cached_final_state(id) {
            return Ok(KnownJob::Ended(final_state));
        }
        if !self.store.is_up() {
            return Err(RetryReason::StoreDown);
        }
        match self.revision_checker.check(id).await {
            StoredJob::Live => Ok(KnownJob::Live),
            StoredJob::Ended => Ok(KnownJob::Ended(self.read_final_state(id).await?)),
            // Either the job has ended, or its record has changed because its dependencies are done
            // and it was released. A record is deleted only by the transaction that writes the final
            // state, so a job without a final state is live.
            StoredJob::Changed => Ok(match self.final_states.read(id).await? {
                Some(final_state) => KnownJob::Ended(final_state),
                None => KnownJob::Live,
            }),
            StoredJob::NeverAccepted => Ok(KnownJob::NeverAccepted),
            StoredJob::Unknown(reason) => Err(reason),
        }
    }

    /// Reads the final state of a job that is known to have one.
    async fn read_final_state(&self, id: &JobId) -> Result<FinalState, RetryReason> {
        let final_state = self.final_states.read(id).await?;
        final_state.ok_or(RetryReason::Unreadable)
    }

    /// Answers a submission whose transaction failed because records of its job exist.
    /// `existing_keys` are the keys of those records.
    pub(super) async fn existing_status(&self, id: &JobId, existing_keys: &[String]) -> Answer {
        if !existing_keys.contains(&keys::final_state(id)) {
            return Ok(self.live_status(id));
        }
        let final_state = self.read_final_state(id).await?;
        self.settled_status(id, final_state, None).await
    }

    /// Returns the status of a live job. The task counts, and with them whether the job is running or
    /// queued, come from the watch cache. It may lag, so they are for display only.
    fn live_status(&self, id: &JobId) -> Response {
        let controller = self.controller.borrow();
        let job = controller.cache.jobs.get(id);
        let counts = TaskCounts {
            done: job.map_or(0, |j| u64::from(j.done_count())),
            running: job.map_or(0, |j| j.placed.len() as u64),
        };
        let state = if counts.running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        job_status(200, id, state, Some(counts))
    }

    /// Returns the status of a job that has ended. For a cancelled job, it first waits until it is
    /// confirmed that no task of the job is running, and until all its dependents are cancelled. That
    /// usually takes some tens of milliseconds; if it takes too long, the user has to retry.
    ///
    /// `sent_at` is the time at which this request sent the cancellation; `None` if it did not.
    pub(super) async fn settled_status(
        &self,
        id: &JobId,
        final_state: FinalState,
        sent_at: Option<Instant>,
    ) -> Answer {
        if !final_state.settled {
            let (settled, result) = oneshot();
            self.cancellations.send(Cancellation {
                job: id.clone(),
                revision: final_state.revision,
                sent_at,
                settled,
            });
            if result.get().await != Some(true) {
                return Err(RetryReason::TasksStopping);
            }
            if !self.cancel_dependents(id, final_state.revision).await {
                return Err(RetryReason::DependentsStopping);
            }
            self.final_states.mark_settled(id, final_state);
        }
        Ok(final_status(id, final_state.record))
    }
}

#[cfg(test)]
mod tests;
