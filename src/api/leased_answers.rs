//! Answers that rest on a read of a state that another one can follow. They are given only while the
//! read is leased (see `read_leases`), and only once the leases on the earlier state have expired in
//! all controllers.

use super::job_api::{Answer, JobApi};
use super::responses::{TaskCounts, job_status};
use super::retry_reason::RetryReason;
use crate::http::Response;
use crate::ids::{JobId, MonotonicTime, Revision};
use crate::protocol::{JobState, JobStatus};
use crate::read_leases::TransientState;
use crate::runtime;

impl JobApi {
    /// Returns whether a user may be answered now on the ground of a read of the job that was sent at
    /// `read_at` and found this state. The answer has to be sent without waiting for anything else.
    pub(super) fn holds_read_lease(
        &self,
        id: &JobId,
        state: TransientState,
        read_at: MonotonicTime,
    ) -> bool {
        let now = self.store.now();
        let controller = self.controller.borrow();
        let is_held = controller.holds_read_lease(now, id, state, read_at);
        if !is_held {
            let age_ms = now.since(read_at).0;
            tracing::debug!(job = %id, ?state, age_ms, "the read of a job is too old for an answer");
        }
        is_held
    }

    /// Waits until no controller can still answer that a job is in this state. `committed_by` is a
    /// time at which the state that follows was certainly committed.
    pub(super) async fn wait_for_expiry(&self, state: TransientState, committed_by: MonotonicTime) {
        let left = state.expired_at(committed_by).since(self.store.now());
        runtime::sleep(left.to_duration()).await;
    }

    /// Returns a time at which a change at this revision, which is known to be committed, was certainly
    /// committed.
    pub(super) fn committed_by(&self, revision: Revision) -> MonotonicTime {
        let known = self.controller.borrow().committed_by(revision);
        known.unwrap_or_else(|| self.store.now())
    }

    /// Returns the answer that a job is live, according to a read that was sent at `read_at`; `None` if
    /// the read is too old.
    pub(super) async fn live_answer(&self, id: &JobId, read_at: MonotonicTime) -> Option<Response> {
        if !self.holds_read_lease(id, TransientState::Live, read_at) {
            return None;
        }
        let revision = self.controller.borrow().cache.job_revision(id);
        let accepted_by = match revision {
            Some(revision) => self.committed_by(revision),
            None => self.store.now(),
        };
        self.wait_for_expiry(TransientState::Absent, accepted_by)
            .await;
        let is_leased = self.holds_read_lease(id, TransientState::Live, read_at);
        is_leased.then(|| self.live_status(id))
    }

    /// Answers a submission whose job was accepted at `revision` by a transaction that was sent at
    /// `sent_at`. If that is too long ago, the job is looked up, as its user may have cancelled it since.
    pub(super) async fn accepted_answer(
        &self,
        id: &JobId,
        state: JobState,
        revision: Revision,
        sent_at: MonotonicTime,
    ) -> Answer {
        self.wait_for_expiry(TransientState::Absent, self.committed_by(revision))
            .await;
        let is_final = state == JobState::Cancelled;
        if is_final || self.holds_read_lease(id, TransientState::Live, sent_at) {
            return Ok(job_status(201, id, state, None));
        }
        self.status_or_retry(id, RetryReason::NotTaken).await
    }

    /// Returns a peer's response to a request that was forwarded to it at `forwarded_at`, or a
    /// response that asks to retry if the peer's may be outdated. The peer has sent its read after
    /// that time.
    pub(crate) fn check_forwarded(
        &self,
        response: Response,
        forwarded_at: MonotonicTime,
    ) -> Response {
        let may_pass_on = match response.status {
            200 | 201 => self.is_status_current(&response, forwarded_at),
            status => status >= 500,
        };
        match may_pass_on {
            true => response,
            false => RetryReason::Outdated.response(),
        }
    }

    /// Returns whether the job's state in a peer's response may be told to a user. A final state always
    /// may.
    fn is_status_current(&self, response: &Response, forwarded_at: MonotonicTime) -> bool {
        let status: JobStatus<'_> = match serde_json::from_slice(&response.body) {
            Ok(status) => status,
            Err(_) => return false,
        };
        match status.state {
            JobState::Done | JobState::Cancelled => true,
            JobState::Queued | JobState::Running => {
                let id = JobId::from(status.id);
                self.holds_read_lease(&id, TransientState::Live, forwarded_at)
            }
        }
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
}

#[cfg(test)]
mod tests;
