//! Questions that were not answered: counts by reason for the status, and a line in the log for a job
//! whose users stay without an answer.

use super::retry_reason::RetryReason;
use crate::episodes::Episodes;
use crate::ids::{JobId, Millis, MonotonicTime};
use std::collections::BTreeMap;

/// A job without an answer for so long is worth a line.
const ANNOUNCE_AFTER: Millis = Millis(20_000);
/// A job that nobody has asked about for so long is no longer followed: its users may have been
/// answered by other controllers.
const QUIET_AFTER: Millis = Millis(60_000);
/// Bounds the jobs that are followed to about 200 kB.
const MAX_FOLLOWED_JOBS: usize = 2000;

/// What is counted of questions without an answer. Serialized as `/admin/status` shows it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub(crate) struct UnansweredReport {
    /// By reason, since the start.
    by_reason: BTreeMap<RetryReason, u64>,
    /// How long the question that waits longest has been without an answer from this controller.
    oldest_s: f64,
}

/// The questions that this controller has not answered.
#[derive(Debug)]
pub(super) struct UnansweredQuestions {
    counts: BTreeMap<RetryReason, u64>,
    jobs: Episodes<JobId>,
}

impl Default for UnansweredQuestions {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            jobs: Episodes::new(ANNOUNCE_AFTER, QUIET_AFTER, MAX_FOLLOWED_JOBS),
        }
    }
}

impl UnansweredQuestions {
    /// A question about a job was not answered.
    pub(super) fn record(&mut self, now: MonotonicTime, job: &JobId, reason: RetryReason) {
        *self.counts.entry(reason).or_default() += 1;
        if let Some(episode) = self.jobs.record(now, job) {
            tracing::info!(%job, ?reason, count = episode.count, since_ms = episode.duration().0, "questions about a job are not answered");
        }
    }

    /// A question about a job was answered.
    pub(super) fn end(&mut self, job: &JobId) {
        if let Some(episode) = self.jobs.end(job) {
            tracing::info!(%job, count = episode.count, lasted_ms = episode.duration().0, "questions about a job are answered again");
        }
    }

    /// Stops following the jobs that nobody has asked about for long.
    pub(super) fn log_ended(&mut self, now: MonotonicTime) {
        for (job, episode) in self.jobs.take_ended(now) {
            tracing::info!(%job, count = episode.count, lasted_ms = episode.duration().0, "nobody asks about a job any more that was not answered");
        }
    }

    /// What the status shows.
    pub(super) fn report(&self, now: MonotonicTime) -> UnansweredReport {
        let oldest = self.jobs.oldest_start();
        UnansweredReport {
            by_reason: self.counts.clone(),
            oldest_s: oldest.map_or(0.0, |since| now.since(since).as_secs_f64()),
        }
    }
}
