//! Unanswered requests about jobs, which got only a response that asks the user to retry: counters by
//! reason for the status, and a log line for each job whose users stay without an answer.

use super::retry_reason::RetryReason;
use crate::episodes::Episodes;
use crate::ids::{JobId, Millis, MonotonicTime};
use std::collections::BTreeMap;

/// The time without an answer after which a job is logged.
const LOG_AFTER: Millis = Millis(20_000);
/// The time without requests after which a job is no longer tracked, as other controllers may have
/// answered its users.
const IDLE_TIMEOUT: Millis = Millis(60_000);
/// The maximum number of tracked jobs, which take about 200 kB.
const MAX_TRACKED_JOBS: usize = 2000;

/// Statistics of unanswered requests, serialized as `/admin/status` shows them.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub(crate) struct UnansweredReport {
    /// The number of unanswered requests since the start, by reason.
    by_reason: BTreeMap<RetryReason, u64>,
    /// The longest time, in seconds, that a tracked job has been without an answer from this
    /// controller.
    oldest_s: f64,
}

/// The requests to which this controller could respond only by asking the user to retry, counted by
/// reason and tracked by job.
#[derive(Debug)]
pub(super) struct UnansweredRequests {
    counts: BTreeMap<RetryReason, u64>,
    jobs: Episodes<JobId>,
}

impl Default for UnansweredRequests {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            jobs: Episodes::new(LOG_AFTER, IDLE_TIMEOUT, MAX_TRACKED_JOBS),
        }
    }
}

impl UnansweredRequests {
    /// Records that a request about a job was not answered.
    pub(super) fn record(&mut self, now: MonotonicTime, job: &JobId, reason: RetryReason) {
        *self.counts.entry(reason).or_default() += 1;
        if let Some(episode) = self.jobs.record(now, job) {
            tracing::info!(
                %job,
                ?reason,
                count = episode.count,
                since_ms = episode.duration().0,
                "requests about a job remain unanswered; its users are told to retry"
            );
        }
    }

    /// Records that a request about a job was answered.
    pub(super) fn end(&mut self, job: &JobId) {
        if let Some(episode) = self.jobs.end(job) {
            tracing::info!(
                %job,
                count = episode.count,
                lasted_ms = episode.duration().0,
                "requests about a job are answered again"
            );
        }
    }

    /// Stops tracking the jobs about which there was no request within the idle timeout, and logs
    /// those of them that were logged as unanswered.
    pub(super) fn log_ended(&mut self, now: MonotonicTime) {
        for (job, episode) in self.jobs.take_ended(now) {
            tracing::info!(
                %job,
                count = episode.count,
                lasted_ms = episode.duration().0,
                "requests about an unanswered job have stopped"
            );
        }
    }

    /// Returns the statistics for the status.
    pub(super) fn report(&self, now: MonotonicTime) -> UnansweredReport {
        let oldest = self.jobs.oldest_start();
        UnansweredReport {
            by_reason: self.counts.clone(),
            oldest_s: oldest.map_or(0.0, |since| now.since(since).as_secs_f64()),
        }
    }
}
