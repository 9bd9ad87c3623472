//! Polls of jobs.

use super::final_state::FinalState;
use super::job_api::{Answer, Cancellation, JobApi};
use super::responses::{TaskCounts, final_status, job_status, no_such_job};
use super::retry_reason::RetryReason;
use super::revision_check::StoredJob;
use crate::http::Response;
use crate::ids::JobId;
use crate::protocol::{JobState, valid_job_id};
use crate::runtime::oneshot;
use crate::store::keys;
use std::time::Instant;

impl JobApi {
    /// Answers a user's poll.
    pub(crate) async fn poll(&self, id: &str) -> Response {
        if !valid_job_id(id) {
            return no_such_job();
        }
        let id = JobId::from(id);
        let answer = self.poll_known(&id).await;
        self.respond(&id, answer)
    }

    /// Answers a job's state, as validated against the key-value store.
    pub(super) async fn poll_known(&self, id: &JobId) -> Answer {
        if let Some(final_state) = self.cached_final_state(id) {
            return self.settled_status(id, final_state, None).await;
        }
        if !self.store.is_up() {
            return Err(RetryReason::StoreDown);
        }
        let cached = {
            let controller = self.controller.borrow();
            controller.cache.job_revision(id)
        };
        match self.revision_checker.check(id, cached).await {
            StoredJob::Live => Ok(self.live_status(id)),
            StoredJob::Ended => self.ended_status(id).await,
            // It has ended, or it was released: its record is only ever deleted with the final
            // record's write, so a job without that one is live.
            StoredJob::Changed => match self.final_states.read(id).await? {
                Some(final_state) => self.settled_status(id, final_state, None).await,
                None => Ok(self.live_status(id)),
            },
            StoredJob::NeverAccepted => Ok(no_such_job()),
            StoredJob::Unknown(reason) => Err(reason),
        }
    }

    /// The answer for a job whose final record exists.
    async fn ended_status(&self, id: &JobId) -> Answer {
        match self.final_states.read(id).await? {
            Some(final_state) => self.settled_status(id, final_state, None).await,
            None => Err(RetryReason::Unreadable),
        }
    }

    /// The answer for a job that was not accepted since records of it exist: those under `found`.
    pub(super) async fn found_status(&self, id: &JobId, found: &[String]) -> Answer {
        if found.contains(&keys::final_state(id)) {
            return self.ended_status(id).await;
        }
        Ok(self.live_status(id))
    }

    /// Counts are for display: they are the watch cache's.
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

    /// The final answer: for a cancelled job not before its tasks are proved gone, whoever asks
    /// and however often. That mostly takes some tens of milliseconds; otherwise the answer is to
    /// come back.
    ///
    /// `since`: when this request sent the cancellation, if it did.
    pub(super) async fn settled_status(
        &self,
        id: &JobId,
        final_state: FinalState,
        since: Option<Instant>,
    ) -> Answer {
        if !final_state.settled {
            let (settled, result) = oneshot();
            self.cancellations.send(Cancellation {
                job: id.clone(),
                revision: final_state.revision,
                since,
                settled,
            });
            if result.get().await != Some(true) {
                return Err(RetryReason::TasksStopping);
            }
            if !self.cancel_dependents(id, final_state.revision).await {
                return Err(RetryReason::DependentsStopping);
            }
            self.final_states.settle(id, final_state);
        }
        Ok(final_status(id, final_state.record))
    }
}

#[cfg(test)]
mod tests;
