//! The client's request counters, shown by `/admin/status`.

use super::rate_limiter::RequestClass;
use std::collections::BTreeMap;

/// Request counters since the process started.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    /// Requests that were sent, including those that could not be delivered.
    pub calls: u64,
    /// Requests that the service refused because its rates were exceeded.
    pub refused: u64,
    /// Requests without a response, or with one that is too large to be read.
    pub unanswered: u64,
    /// Requests that the rate limiter did not admit.
    pub held_back: u64,
    /// The counters of each request class.
    pub classes: BTreeMap<RequestClass, ClassCounters>,
}

/// The request counters of one class, serialized as they appear in `/admin/status`.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct ClassCounters {
    /// Requests that the rate limiter admitted.
    pub requests: u64,
    /// Writes and deletions of keys in these requests.
    pub changes: u64,
    /// Requests that the rate limiter did not admit.
    pub held_back: u64,
}

impl Counters {
    /// Counts a request with this number of changes as admitted or held back.
    pub(super) fn count_request(&mut self, class: RequestClass, changes: usize, admitted: bool) {
        let counters = self.classes.entry(class).or_default();
        if admitted {
            counters.requests += 1;
            counters.changes += changes as u64;
        } else {
            counters.held_back += 1;
            self.held_back += 1;
        }
    }
}
