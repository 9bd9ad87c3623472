//! Cancellations of jobs.

mod confirmation;

pub(crate) use confirmation::{ControllerDriver, confirm_cancellations};

use super::final_state::FinalStateRead;
use super::job_api::{Answer, JobApi};
use super::query::KnownJob;
use super::responses::no_such_job;
use super::retry_reason::RetryReason;
use crate::http::Response;
use crate::ids::{JobId, MonotonicTime};
use crate::protocol::store::{KeyValue, Txn};
use crate::protocol::{JobState, is_valid_job_id};
use crate::read_leases::TransientState;
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::{StoreError, TxnOutcome, keys};

impl JobApi {
    /// Cancels a job, and answers once it is confirmed that no task of the job is running and all its
    /// dependents are cancelled. A job that has ended does not change.
    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !is_valid_job_id(id) {
            return no_such_job();
        }
        let id = JobId::from(id);
        let answer = self.cancel_valid_id(&id).await;
        self.respond(&id, answer)
    }

    async fn cancel_valid_id(&self, id: &JobId) -> Answer {
        if let Some(final_state) = self.cached_final_state(id) {
            return self.settled_status(id, final_state, None).await;
        }
        if !self.store.is_up() {
            return Err(RetryReason::StoreDown);
        }
        let read_at = self.store.now();
        match self.store.get(RequestClass::Accept, &keys::job(id)).await {
            Ok(Some(item)) => self.cancel_live(id, item).await,
            Ok(None) => self.respond_without_record(id, read_at).await,
            Err(error @ (StoreError::HeldBack | StoreError::Refused)) => {
                self.respond_unread_cancellation(id, error.into()).await
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Answers the cancellation of a job without a live record, according to a read that was sent at
    /// `read_at`. If the job has no final record either, it was not accepted by that time.
    async fn respond_without_record(&self, id: &JobId, read_at: MonotonicTime) -> Answer {
        match self.final_states.read(id).await? {
            FinalStateRead::Ended(final_state) => self.settled_status(id, final_state, None).await,
            FinalStateRead::NotEnded { .. } => self.respond_never_accepted(id, read_at),
        }
    }

    fn respond_never_accepted(&self, id: &JobId, read_at: MonotonicTime) -> Answer {
        match self.holds_read_lease(id, TransientState::Absent, read_at) {
            true => Ok(no_such_job()),
            false => Err(RetryReason::Outdated),
        }
    }

    /// Answers the cancellation of a job whose record could not be read, so that the job can't be
    /// cancelled now. If the job has ended, no write is needed, and the user is answered as for a
    /// poll.
    async fn respond_unread_cancellation(&self, id: &JobId, reason: RetryReason) -> Answer {
        match self.known_job(id).await? {
            KnownJob::Ended(final_state) => self.settled_status(id, final_state, None).await,
            KnownJob::NeverAccepted { read_at } => self.respond_never_accepted(id, read_at),
            KnownJob::Live { .. } => Err(reason),
        }
    }

    async fn cancel_live(&self, id: &JobId, item: KeyValue) -> Answer {
        let revision = item.revision;
        let tasks = serde_json::from_value::<JobRecord>(item.value).map_or(0, |r| r.spec.tasks);
        let record = FinalRecord {
            state: JobState::Cancelled,
            tasks,
        };
        let mut txn = Txn::default();
        txn.require(keys::job(id), revision);
        txn.put(keys::final_state(id), &record, None);
        txn.delete(keys::job(id));
        let sent_at = runtime::now();
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(revision) => {
                let final_state = self.cache_final_state(id, record, revision);
                self.settled_status(id, final_state, Some(sent_at)).await
            }
            // The job has changed since it was read, or the store refused the transaction or did not
            // answer, so that its outcome may be unknown. A retry finds the current state.
            _ => Err(RetryReason::NotTaken),
        }
    }
}

#[cfg(test)]
mod tests;
