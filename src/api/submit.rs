//! Submissions of jobs.

use super::dependencies::new_job;
use super::feasibility;
use super::job_api::JobApi;
use super::job_lookup::JobLookup;
use super::responses::{
    STORE_OVERLOADED, STORE_SILENT, STORE_UNREACHABLE, job_status, retry_later,
};
use crate::http::Response;
use crate::ids::{JobId, UnixTime};
use crate::protocol::{JobSpec, JobState, submitted_id};
use crate::store::rate_limiter::RequestClass;
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};

impl JobApi {
    /// Accepts or refuses a job. A retry of one that was accepted is answered like a poll.
    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return self.malformed(body, &error.to_string()).await,
        };
        let id = spec.id.clone();
        if self.is_known(&id) {
            return self.poll_known(&id).await;
        }
        if !self.store.is_up() {
            return retry_later(STORE_UNREACHABLE);
        }
        let catalog = {
            let controller = self.controller.borrow();
            controller.cache.catalog.as_ref().map(|c| c.value.clone())
        };
        let Some(catalog) = catalog else {
            return retry_later("machine types are not known yet");
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
    fn is_known(&self, id: &JobId) -> bool {
        let is_live = self.controller.borrow().cache.job_revision(id).is_some();
        is_live || self.cached_final_state(id).is_some()
    }

    /// Accepts a job that depends on no other.
    async fn submit_independent(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        let record = JobRecord::new(spec, UnixTime::now());
        let mut txn = new_job(&id);
        txn.put(keys::job(&id), &record, None);
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(_) => job_status(201, &id, JobState::Queued, None),
            TxnOutcome::Failed(..) => self.poll_known(&id).await,
            TxnOutcome::Refused | TxnOutcome::Invalid => retry_later(STORE_OVERLOADED),
            // It may be accepted already; a retry shows it.
            TxnOutcome::Unknown => retry_later(STORE_SILENT),
        }
    }

    /// Refuses a submission for good. What was accepted once is never refused later, whatever has
    /// changed since.
    pub(super) async fn refuse(&self, id: &JobId, reason: &str) -> Response {
        match self.find(id).await {
            JobLookup::NeverAccepted => Response::error(422, reason),
            JobLookup::Unavailable => retry_later(STORE_UNREACHABLE),
            JobLookup::Live(_) | JobLookup::Ended(_) => self.poll_known(id).await,
        }
    }

    /// What was accepted once is known, whatever its retry lacks.
    async fn malformed(&self, body: &[u8], message: &str) -> Response {
        let Some(id) = submitted_id(body) else {
            return Response::error(400, message);
        };
        match self.poll_known(&id).await {
            known if known.status == 404 => Response::error(400, message),
            known => known,
        }
    }
}

#[cfg(test)]
mod tests;
