//! Stop requests for the tasks of a machine.

use crate::ids::{Millis, MonotonicTime, TaskAttempt};
use std::collections::BTreeMap;

/// Minimum time between two stop commands for the same stop request.
const STOP_RETRY_INTERVAL: Millis = Millis(2000);

/// The request to stop one task.
#[derive(Clone, Copy, Debug)]
struct StopRequest {
    /// Time that the task has to save its progress.
    grace: Millis,
    /// When the stop command was last sent. `None` if it has not been sent yet.
    sent_at: Option<MonotonicTime>,
}

/// The stop requests of one machine.
#[derive(Debug, Default)]
pub(super) struct StopRequests {
    requests: BTreeMap<TaskAttempt, StopRequest>,
}

impl StopRequests {
    /// Adds a request. An earlier request for the same attempt is kept.
    pub(super) fn add(&mut self, attempt: TaskAttempt, grace: Millis) {
        self.requests.entry(attempt).or_insert(StopRequest {
            grace,
            sent_at: None,
        });
    }

    /// Returns the grace period of a requested stop.
    pub(super) fn grace(&self, attempt: &TaskAttempt) -> Option<Millis> {
        self.requests.get(attempt).map(|request| request.grace)
    }

    /// Returns whether a stop of the attempt is requested.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.requests.contains_key(attempt)
    }

    /// Returns whether the command for a requested stop is due. If so, records it as sent.
    pub(super) fn send_if_due(&mut self, attempt: &TaskAttempt, now: MonotonicTime) -> bool {
        let Some(request) = self.requests.get_mut(attempt) else {
            return false;
        };
        let due = request
            .sent_at
            .is_none_or(|at| now.since(at) >= STOP_RETRY_INTERVAL);
        if due {
            request.sent_at = Some(now);
        }
        due
    }

    /// Removes the request for an attempt that has ended.
    pub(super) fn remove(&mut self, attempt: &TaskAttempt) {
        self.requests.remove(attempt);
    }

    /// Keeps only the requests for attempts for which `keep` returns true.
    pub(super) fn retain(&mut self, keep: impl Fn(&TaskAttempt) -> bool) {
        self.requests.retain(|attempt, _| keep(attempt));
    }
}
