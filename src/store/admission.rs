//! Admission control, which keeps this controller's requests within its share of the service's rates.

use super::rate_limiter::{RequestClass, TokenBucket};
use super::rate_selector::RateSelector;
use crate::config::{StoreLimits, StoreRates};
use crate::ids::MonotonicTime;

/// The number of tokens in each bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenLevels {
    /// Tokens for requests.
    pub requests: f64,
    /// Tokens for writes and deletions of keys.
    pub writes: f64,
}

/// The rate limiter of the store client: one token bucket for requests and one for changes of keys.
pub(super) struct Admission {
    /// This controller's fraction of the service's rates, at most 1.
    share: f64,
    requests: TokenBucket,
    writes: TokenBucket,
    rate_selector: RateSelector,
}

impl Admission {
    /// Creates full buckets. `share` is this controller's fraction of the rates, at most 1.
    pub(super) fn new(limits: &StoreLimits, share: f64) -> Self {
        Self {
            share,
            requests: TokenBucket::new(limits.rates.requests * share),
            writes: TokenBucket::new(limits.rates.writes * share),
            rate_selector: RateSelector::new(limits.rates, limits.min_rates),
        }
    }

    /// Takes the tokens for a request with this number of changes. Returns whether it is admitted.
    pub(super) fn try_admit(
        &mut self,
        now: MonotonicTime,
        class: RequestClass,
        changes: usize,
    ) -> bool {
        self.apply_current_rates(now);
        let changes = changes as f64;
        let admitted =
            self.requests.allows(now, 1.0, class) && self.writes.allows(now, changes, class);
        if admitted {
            self.requests.spend(1.0);
            self.writes.spend(changes);
        }
        admitted
    }

    fn apply_current_rates(&mut self, now: MonotonicTime) {
        let rates = self.rates(now);
        self.requests.set_rate(now, rates.requests * self.share);
        self.writes.set_rate(now, rates.writes * self.share);
    }

    /// Empties both buckets after the service refused a request because its rates were exceeded, and
    /// selects the rates that apply from then on.
    pub(super) fn on_refused(&mut self, now: MonotonicTime) {
        self.rate_selector.on_refused(now);
        self.requests.drain(now);
        self.writes.drain(now);
    }

    /// Returns the rates that are assumed to apply to all controllers together, per second.
    pub(super) fn rates(&self, now: MonotonicTime) -> StoreRates {
        self.rate_selector.current(now)
    }

    /// Returns the number of requests that this controller may send per second.
    pub(super) fn own_request_rate(&self, now: MonotonicTime) -> f64 {
        self.rates(now).requests * self.share
    }

    /// Returns the number of tokens in each bucket.
    pub(super) fn token_levels(&mut self, now: MonotonicTime) -> TokenLevels {
        TokenLevels {
            requests: self.requests.level(now),
            writes: self.writes.level(now),
        }
    }

    /// Returns the tokens for requests as a fraction of the bucket's capacity, from 0 to 1. It is
    /// negative while the bucket is overdrawn.
    pub(super) fn available_fraction(&mut self, now: MonotonicTime) -> f64 {
        self.requests.available_fraction(now)
    }
}
