//! Which of the key-value store's rates is followed: the larger of the present and the later ones
//! until the service refuses, then the smaller.
//!
//! A refusal can have other causes, since controllers share the rates without asking one another.
//! So the larger rates are tried again after a while, and after a longer one each time.

use crate::config::StoreRates;
use crate::ids::{Millis, MonotonicTime};

/// The larger rates are tried again after this at first.
const FIRST_RETRY_DELAY: Millis = Millis(30_000);
/// Never later than this.
const MAX_RETRY_DELAY: Millis = Millis(600_000);

/// The time for which the smaller rates apply.
#[derive(Clone, Copy, Debug)]
struct LoweredPeriod {
    until: MonotonicTime,
    delay: Millis,
}

/// Chooses between the larger and the least of the rates that the service has announced.
#[derive(Debug)]
pub(super) struct RateSelector {
    max_rates: StoreRates,
    min_rates: StoreRates,
    lowered_period: Option<LoweredPeriod>,
}

impl RateSelector {
    /// Starts with the larger rates; nothing is chosen where both are the same.
    pub(super) fn new(larger: StoreRates, least: StoreRates) -> Self {
        Self {
            max_rates: larger,
            min_rates: least,
            lowered_period: None,
        }
    }

    fn is_lowered(&self, now: MonotonicTime) -> bool {
        self.lowered_period.is_some_and(|l| now < l.until)
    }

    /// The rates that apply now.
    pub(super) fn current(&self, now: MonotonicTime) -> StoreRates {
        match self.is_lowered(now) {
            true => self.min_rates,
            false => self.max_rates,
        }
    }

    /// The service has refused for the rate, or for a size that only the later limits refuse.
    pub(super) fn on_refused(&mut self, now: MonotonicTime) {
        if self.max_rates == self.min_rates || self.is_lowered(now) {
            return;
        }
        let delay = match self.lowered_period {
            None => FIRST_RETRY_DELAY,
            Some(last) => Millis(2 * last.delay.0).min(MAX_RETRY_DELAY),
        };
        self.lowered_period = Some(LoweredPeriod {
            until: now + delay,
            delay,
        });
    }
}

#[cfg(test)]
mod tests;
