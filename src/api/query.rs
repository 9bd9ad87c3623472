//! Polls of jobs.

use super::final_state::{FinalState, FinalStateRead};
use super::job_api::{Answer, Cancellation, JobApi};
use super::responses::{final_status, no_such_job};
use super::retry_reason::RetryReason;
use super::revision_check::StoredJob;
use crate::http::Response;
use crate::ids::{JobId, Millis, MonotonicTime};
use crate::protocol::{JobState, is_valid_job_id};
use crate::read_leases::TransientState;
use crate::runtime::oneshot;
use crate::store::keys;
use std::time::Instant;

/// The time after which a job is not looked up again because the earlier read was too old. Users wait
/// two seconds for the answer to a poll.
const MAX_LOOKUP_TIME: Millis = Millis(1000);

/// The state of a job id, as checked against the key-value store.
#[derive(Clone, Copy, Debug)]
pub(super) enum KnownJob {
    /// The job was accepted and had not ended.
    Live {
        /// When the request that found this was sent.
        read_at: MonotonicTime,
    },
    /// The job has ended.
    Ended(FinalState),
    /// No job was accepted under this id.
    NeverAccepted {
        /// When the request that found this was sent.
        read_at: MonotonicTime,
    },
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

    /// Returns a job's state, or `None` if no job was accepted under this id. Looks the job up again
    /// if the answer of the store was too late.
    async fn known_status(&self, id: &JobId) -> Result<Option<Response>, RetryReason> {
        let started_at = self.store.now();
        loop {
            match self.known_job(id).await? {
                KnownJob::Live { read_at } => {
                    if let Some(answer) = self.live_answer(id, read_at).await {
                        return Ok(Some(answer));
                    }
                }
                KnownJob::Ended(final_state) => {
                    let status = self.settled_status(id, final_state, None).await?;
                    return Ok(Some(status));
                }
                KnownJob::NeverAccepted { read_at } => {
                    if self.holds_read_lease(id, TransientState::Absent, read_at) {
                        return Ok(None);
                    }
                }
            }
            if self.store.now().since(started_at) >= MAX_LOOKUP_TIME {
                return Err(RetryReason::Outdated);
            }
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
            StoredJob::Live { read_at } => Ok(KnownJob::Live { read_at }),
            StoredJob::Ended => Ok(KnownJob::Ended(self.read_final_state(id).await?)),
            // Either the job has ended, or its record has changed because its dependencies are done
            // and it was released. A record is deleted only by the transaction that writes the final
            // state, so a job without a final state is live.
            StoredJob::Changed => Ok(match self.final_states.read(id).await? {
                FinalStateRead::Ended(final_state) => KnownJob::Ended(final_state),
                FinalStateRead::NotEnded { read_at } => KnownJob::Live { read_at },
            }),
            StoredJob::NeverAccepted { read_at } => Ok(KnownJob::NeverAccepted { read_at }),
            StoredJob::Unknown(reason) => Err(reason),
        }
    }

    /// Reads the final state of a job that is known to have one.
    async fn read_final_state(&self, id: &JobId) -> Result<FinalState, RetryReason> {
        match self.final_states.read(id).await? {
            FinalStateRead::Ended(final_state) => Ok(final_state),
            FinalStateRead::NotEnded { .. } => Err(RetryReason::Unreadable),
        }
    }

    /// Answers a submission whose transaction, which was sent at `sent_at`, failed because records of
    /// its job exist. `existing_keys` are the keys of those records.
    pub(super) async fn existing_status(
        &self,
        id: &JobId,
        existing_keys: &[String],
        sent_at: MonotonicTime,
    ) -> Answer {
        if !existing_keys.contains(&keys::final_state(id)) {
            return match self.live_answer(id, sent_at).await {
                Some(answer) => Ok(answer),
                None => self.status_or_retry(id, RetryReason::NotTaken).await,
            };
        }
        let final_state = self.read_final_state(id).await?;
        self.settled_status(id, final_state, None).await
    }

    /// Returns the status of a job that has ended, once no controller can still answer that it is live.
    /// For a cancelled job, it first waits until that is confirmed, until it is confirmed that no task
    /// of the job is running, and until all its dependents are cancelled. That usually takes some tens
    /// of milliseconds; if it takes too long, the user has to retry.
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
        } else if final_state.record.state == JobState::Done {
            let committed_by = self.committed_by(final_state.revision);
            let known_at = committed_by.min(final_state.known_at);
            self.wait_for_expiry(TransientState::Live, known_at).await;
        }
        Ok(final_status(id, final_state.record))
    }
}

#[cfg(test)]
mod tests;
