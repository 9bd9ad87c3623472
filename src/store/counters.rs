//! What the client counts of its calls, for `/admin/status`.

use super::rate_limiter::RequestClass;
use std::collections::BTreeMap;

/// Counts since the process began.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    /// Requests that were sent, or tried.
    pub calls: u64,
    /// Requests that the service refused because of its rates.
    pub refused: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// Requests that were not sent, to keep to the rates.
    pub held_back: u64,
    /// What each class has asked for and been given.
    pub classes: BTreeMap<RequestClass, ClassCounters>,
}

/// The requests of one class. Serialized as `/admin/status` shows it.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct ClassCounters {
    /// Requests that were sent, or tried.
    pub requests: u64,
    /// Changes of keys within these.
    pub changes: u64,
    /// Requests that were not sent, to keep to the rates.
    pub held_back: u64,
}

impl Counters {
    /// Counts a request of so many changes, by whether it was admitted.
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
