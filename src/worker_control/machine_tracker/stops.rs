//! Tasks that are to be stopped on a machine.

use crate::ids::{Millis, MonotonicTime, TaskAttempt};
use std::collections::BTreeMap;

/// A stop command is repeated after this time while its task is still alive.
const STOP_RETRY_INTERVAL: Millis = Millis(2000);

/// One task that is to be stopped.
#[derive(Clone, Copy, Debug)]
struct StopRequest {
    /// The time that the task has to save its progress.
    grace: Millis,
    /// When the command was sent last.
    sent_at: Option<MonotonicTime>,
}

/// The stop requests of one machine.
#[derive(Debug, Default)]
pub(super) struct StopRequests {
    requests: BTreeMap<TaskAttempt, StopRequest>,
}

impl StopRequests {
    /// Adds a request; an earlier one for the same attempt stays as it is.
    pub(super) fn add(&mut self, attempt: TaskAttempt, grace: Millis) {
        self.requests.entry(attempt).or_insert(StopRequest {
            grace,
            sent_at: None,
        });
    }

    /// The grace time of a requested stop.
    pub(super) fn grace(&self, attempt: &TaskAttempt) -> Option<Millis> {
        self.requests.get(attempt).map(|request| request.grace)
    }

    /// Whether a stop of the attempt is requested.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.requests.contains_key(attempt)
    }

    /// Whether the command for a requested stop is due. If so it counts as sent now.
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

    /// Drops the request of an attempt that has ended.
    pub(super) fn remove(&mut self, attempt: &TaskAttempt) {
        self.requests.remove(attempt);
    }

    /// Keeps the requests of attempts that may still be on the machine.
    pub(super) fn retain(&mut self, keep: impl Fn(&TaskAttempt) -> bool) {
        self.requests.retain(|attempt, _| keep(attempt));
    }
}
