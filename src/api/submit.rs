//! Submissions of jobs.

use super::dependencies::new_job;
use super::feasibility;
use super::job_api::{Answer, JobApi};
use super::retry_reason::RetryReason;
use crate::http::Response;
use crate::ids::{JobId, UnixTime};
use crate::protocol::{JobSpec, JobState, submitted_id};
use crate::store::rate_limiter::RequestClass;
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};

/// A submission that was not written, or whose write has an unknown outcome.
#[derive(Debug)]
pub(crate) struct UnwrittenSubmission {
    id: JobId,
    reason: RetryReason,
}

/// The reason why a submission has no answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum SubmissionError {
    /// It was not written, or the outcome of its write is unknown. Its job may have been accepted, by
    /// this or an earlier request, so the job is looked up.
    NotWritten(RetryReason),
    /// Its user has to retry, and its job is not looked up (again): a lookup gave no result, the
    /// store can't be reached or did not respond, or the machine types are unknown.
    Unanswered(RetryReason),
}

/// The response to a submission, or the reason why there is none.
pub(super) type Submitted = Result<Response, SubmissionError>;

impl SubmissionError {
    /// Returns the error for the outcome of a write that is not known to be committed.
    pub(super) fn not_written(outcome: &TxnOutcome) -> Self {
        Self::NotWritten(RetryReason::of_txn(outcome))
    }
}

impl From<RetryReason> for SubmissionError {
    fn from(reason: RetryReason) -> Self {
        Self::Unanswered(reason)
    }
}

impl JobApi {
    /// Accepts or refuses a job. A retry of an accepted submission is answered like a poll.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        match self.try_submit(body).await {
            Ok(response) => response,
            Err(unwritten) => self.respond_from_lookup(unwritten).await,
        }
    }

    /// Accepts or refuses a job like `submit`, but returns a submission that is not known to be
    /// written without looking up its job, since a peer may be able to write it at once.
    pub(crate) async fn try_submit(&self, body: &[u8]) -> Result<Response, UnwrittenSubmission> {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return Ok(self.respond_malformed(body, &error.to_string()).await),
        };
        let id = spec.id.clone();
        match self.submit_valid(spec).await {
            Ok(response) => Ok(self.respond(&id, Ok(response))),
            Err(SubmissionError::Unanswered(reason)) => Ok(self.respond(&id, Err(reason))),
            Err(SubmissionError::NotWritten(reason)) => {
                tracing::debug!(job = %id, ?reason, "submission is not known to be written to the key-value store");
                Err(UnwrittenSubmission { id, reason })
            }
        }
    }

    /// Answers a submission that is not known to be written. Its job may have been accepted, by this
    /// or an earlier request: then the submission is answered like a poll.
    pub(crate) async fn respond_from_lookup(&self, unwritten: UnwrittenSubmission) -> Response {
        let UnwrittenSubmission { id, reason } = unwritten;
        let answer = self.status_or_retry(&id, reason).await;
        self.respond(&id, answer)
    }

    /// Asks the user of a submission that is not known to be written to retry. Used when a peer has
    /// responded, and thus has looked the job up already, but its response is not conclusive.
    pub(crate) fn respond_retry_later(&self, unwritten: UnwrittenSubmission) -> Response {
        self.respond(&unwritten.id, Err(unwritten.reason))
    }

    async fn submit_valid(&self, spec: JobSpec) -> Submitted {
        let id = spec.id.clone();
        if self.is_cached(&id) {
            return Ok(self.status_or_retry(&id, RetryReason::NotTaken).await?);
        }
        if !self.store.is_up() {
            return Err(RetryReason::StoreDown.into());
        }
        let catalog = {
            let controller = self.controller.borrow();
            controller.cache.catalog.as_ref().map(|c| c.value.clone())
        };
        let Some(catalog) = catalog else {
            return Err(RetryReason::CatalogUnknown.into());
        };
        if let Err(infeasible) = feasibility::check(&spec, &self.config, &catalog) {
            return Ok(self.refuse(&id, &infeasible.to_string()).await?);
        }
        if spec.dependencies.is_empty() {
            self.submit_independent(spec).await
        } else {
            self.submit_dependent(spec).await
        }
    }

    /// Returns whether the watch cache shows the job or its final state is cached.
    fn is_cached(&self, id: &JobId) -> bool {
        let is_live = self.controller.borrow().cache.job_revision(id).is_some();
        is_live || self.cached_final_state(id).is_some()
    }

    /// Accepts a job without dependencies.
    async fn submit_independent(&self, spec: JobSpec) -> Submitted {
        let id = spec.id.clone();
        let record = JobRecord::new(spec, UnixTime::now());
        let mut txn = new_job(&id);
        txn.put(keys::job(&id), &record, None);
        let sent_at = self.store.now();
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(revision) => {
                let state = JobState::Queued;
                Ok(self.accepted_answer(&id, state, revision, sent_at).await?)
            }
            TxnOutcome::Failed(failed, _) => {
                Ok(self.existing_status(&id, &failed, sent_at).await?)
            }
            outcome => Err(SubmissionError::not_written(&outcome)),
        }
    }

    /// Refuses a submission permanently, unless its job was accepted earlier: an accepted job is
    /// never refused later, whatever has changed since.
    pub(super) async fn refuse(&self, id: &JobId, reason: &str) -> Answer {
        self.status_or(id, Response::error(422, reason)).await
    }

    /// Refuses a malformed submission, unless it has the id of an accepted job.
    async fn respond_malformed(&self, body: &[u8], message: &str) -> Response {
        let Some(id) = submitted_id(body) else {
            return Response::error(400, message);
        };
        let answer = self.status_or(&id, Response::error(400, message)).await;
        self.respond(&id, answer)
    }
}

#[cfg(test)]
mod tests;
