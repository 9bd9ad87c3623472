//! Logs the beginning and the end of each episode of refused requests.

use super::admission::TokenLevels;
use super::rate_limiter::RequestClass;
use crate::episodes::Episodes;
use crate::ids::{Millis, MonotonicTime};

/// The minimum duration of an episode that is logged.
const MIN_LOGGED_DURATION: Millis = Millis(1000);
/// The time without a refusal after which an episode has ended.
const EPISODE_GAP: Millis = Millis(30_000);
/// The maximum number of open episodes. It allows one for each request class and one for the store.
const MAX_EPISODES: usize = 8;

/// The component that refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusedBy {
    /// This controller's rate limiter, for a request of this class.
    RateLimiter(RequestClass),
    /// The key-value store, because its rates were exceeded.
    Store,
}

/// The episodes of refused requests, by the component that refused them.
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
    /// Counts a refused request, and logs the beginning of an episode. `levels` are the tokens left at
    /// this time.
    pub(super) fn record(&mut self, now: MonotonicTime, by: RefusedBy, levels: TokenLevels) {
        if let Some(episode) = self.0.record(now, &by) {
            tracing::info!(
                ?by,
                count = episode.count,
                requests_left = levels.requests,
                changes_left = levels.writes,
                "requests to the key-value store are being rate limited"
            );
        }
    }

    /// Logs the episodes that have ended.
    pub(super) fn log_ended(&mut self, now: MonotonicTime) {
        for (by, episode) in self.0.take_ended(now) {
            tracing::info!(
                ?by,
                count = episode.count,
                lasted_ms = episode.duration().0,
                "requests to the key-value store are no longer rate limited"
            );
        }
    }
}
