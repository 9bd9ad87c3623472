//! The log of refused requests: when an episode of refusals began, and when it was over.

use super::admission::TokenLevels;
use super::rate_limiter::RequestClass;
use crate::episodes::Episodes;
use crate::ids::{Millis, MonotonicTime};

/// Shorter episodes are not logged.
const MIN_LOGGED_DURATION: Millis = Millis(1000);
/// Refusals further apart than this are different episodes.
const EPISODE_GAP: Millis = Millis(30_000);
/// All classes and the store itself.
const MAX_EPISODES: usize = 8;

/// Who has refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusedBy {
    /// This controller's rate limiter, to a request of this class.
    RateLimiter(RequestClass),
    /// The key-value store, since its rates were used up.
    Store,
}

/// The episodes of refused requests.
#[derive(Debug)]
pub(super) struct Refusals(Episodes<RefusedBy>);

impl Default for Refusals {
    fn default() -> Self {
        Self(Episodes::new(
            MIN_LOGGED_DURATION,
            EPISODE_GAP,
            MAX_EPISODES,
        ))
    }
}

impl Refusals {
    /// Counts a refused request; `levels`: what was left in the buckets.
    pub(super) fn record(&mut self, now: MonotonicTime, by: RefusedBy, levels: TokenLevels) {
        if let Some(episode) = self.0.record(now, &by) {
            tracing::info!(
                ?by,
                count = episode.count,
                requests_left = levels.requests,
                changes_left = levels.writes,
                "requests to the key-value store are refused"
            );
        }
    }

    /// Logs the episodes that are over.
    pub(super) fn log_ended(&mut self, now: MonotonicTime) {
        for (by, episode) in self.0.take_ended(now) {
            tracing::info!(
                ?by,
                count = episode.count,
                lasted_ms = episode.duration().0,
                "requests to the key-value store are no longer refused"
            );
        }
    }
}
