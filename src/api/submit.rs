//! Submissions of jobs.

use super::dependencies::new_job;
use super::feasibility;
use super::job_api::{Answer, JobApi};
use super::responses::job_status;
use super::retry_reason::RetryReason;
use crate::http::Response;
use crate::ids::{JobId, UnixTime};
use crate::protocol::{JobSpec, JobState, submitted_id};
use crate::store::rate_limiter::RequestClass;
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};

impl JobApi {
    /// Accepts or refuses a job. A retry of one that was accepted is answered like a poll.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        match JobSpec::parse(body) {
            Ok(spec) => {
                let id = spec.id.clone();
                let answer = self.submit_valid(spec).await;
                self.respond(&id, answer)
            }
            Err(error) => self.malformed(body, &error.to_string()).await,
        }
    }

    async fn submit_valid(&self, spec: JobSpec) -> Answer {
        let id = spec.id.clone();
        if self.is_cached(&id) {
            return self.status_or_retry(&id, RetryReason::NotTaken).await;
        }
        if !self.store.is_up() {
            return Err(RetryReason::StoreDown);
        }
        let catalog = {
            let controller = self.controller.borrow();
            controller.cache.catalog.as_ref().map(|c| c.value.clone())
        };
        let Some(catalog) = catalog else {
            return Err(RetryReason::CatalogUnknown);
        };
        if let Err(infeasible) = feasibility::check(&spec, &self.config, &catalog) {
            return self.refuse(&id, &infeasible.to_string()).await;
        }
        if spec.dependencies.is_empty() {
            self.submit_independent(spec).await
        } else {
            self.submit_dependent(spec).await
        }
    }

    /// Whether the watch cache shows the job, or its final state was read before.
    fn is_cached(&self, id: &JobId) -> bool {
        let is_live = self.controller.borrow().cache.job_revision(id).is_some();
        is_live || self.cached_final_state(id).is_some()
    }

    /// Accepts a job that depends on no other.
    async fn submit_independent(&self, spec: JobSpec) -> Answer {
        let id = spec.id.clone();
        let record = JobRecord::new(spec, UnixTime::now());
        let mut txn = new_job(&id);
        txn.put(keys::job(&id), &record, None);
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(_) => Ok(job_status(201, &id, JobState::Queued, None)),
            TxnOutcome::Failed(failed, _) => self.found_status(&id, &failed).await,
            // The job may be known all the same: its retry has the right to an answer that its poll
            // has.
            outcome => self.status_or_retry(&id, not_written(&id, &outcome)).await,
        }
    }

    /// Refuses a submission for good. What was accepted once is never refused later, whatever has
    /// changed since.
    pub(super) async fn refuse(&self, id: &JobId, reason: &str) -> Answer {
        self.status_or(id, Response::error(422, reason)).await
    }

    /// What was accepted once is known, whatever its retry lacks.
    async fn malformed(&self, body: &[u8], message: &str) -> Response {
        let Some(id) = submitted_id(body) else {
            return Response::error(400, message);
        };
        let answer = self.status_or(&id, Response::error(400, message)).await;
        self.respond(&id, answer)
    }
}

/// Why a submission could not be written. The job may be known all the same.
pub(super) fn not_written(id: &JobId, outcome: &TxnOutcome) -> RetryReason {
    let reason = RetryReason::of_txn(outcome);
    tracing::debug!(job = %id, ?reason, "submission not written");
    reason
}

#[cfg(test)]
mod tests;
