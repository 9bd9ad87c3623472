//! Admission of requests: keeps this controller within its share of the service's rates.

use super::rate_limiter::{RequestClass, TokenBucket};
use super::rate_selector::RateSelector;
use crate::config::{StoreLimits, StoreRates};
use crate::ids::MonotonicTime;

/// The tokens in the buckets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenLevels {
    /// For requests.
    pub requests: f64,
    /// For changes of keys.
    pub writes: f64,
}

/// One bucket of tokens for requests and one for changes of keys, at the rates that apply now.
pub(super) struct Admission {
    /// This controller's part of the rates.
    share: f64,
    requests: TokenBucket,
    writes: TokenBucket,
    rate_selector: RateSelector,
}

impl Admission {
    /// `share`: this controller's part of the rates, at most 1.
    pub(super) fn new(limits: &StoreLimits, share: f64) -> Self {
        Self {
            share,
            requests: TokenBucket::new(limits.rates.requests * share),
            writes: TokenBucket::new(limits.rates.writes * share),
            rate_selector: RateSelector::new(limits.rates, limits.min_rates),
        }
    }

    /// Takes the tokens for a request of so many changes, if its class may have them.
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

    /// The service has refused a request because of its rates.
    pub(super) fn on_refused(&mut self, now: MonotonicTime) {
        self.rate_selector.on_refused(now);
        self.requests.drain(now);
        self.writes.drain(now);
    }

    /// What the service takes in a second from all controllers, as far as it is known.
    pub(super) fn rates(&self, now: MonotonicTime) -> StoreRates {
        self.rate_selector.current(now)
    }

    /// This controller's share of the requests in a second.
    pub(super) fn own_request_rate(&self, now: MonotonicTime) -> f64 {
        self.rates(now).requests * self.share
    }

    /// The tokens that are left.
    pub(super) fn token_levels(&mut self, now: MonotonicTime) -> TokenLevels {
        TokenLevels {
            requests: self.requests.level(now),
            writes: self.writes.level(now),
        }
    }

    /// The part of a second's requests that is unused, from 0 to 1; negative when overdrawn.
    pub(super) fn available_fraction(&mut self, now: MonotonicTime) -> f64 {
        self.requests.available_fraction(now)
    }
}
