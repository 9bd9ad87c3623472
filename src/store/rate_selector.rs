//! Selects the rates of the key-value store that the client follows when a change of the rates is
//! announced: the larger of the present and the announced rates until the service refuses a request,
//! then the smaller ones.
//!
//! A refusal can have other causes, because the controllers share the rates without coordination.
//! The larger rates are therefore retried after a delay that doubles with each refusal.

use crate::config::StoreRates;
use crate::ids::{Millis, MonotonicTime};

/// The delay before the larger rates are retried for the first time.
const FIRST_RETRY_DELAY: Millis = Millis(30_000);
/// The maximum delay before the larger rates are retried.
const MAX_RETRY_DELAY: Millis = Millis(600_000);

/// A period in which the smaller rates apply.
#[derive(Clone, Copy, Debug)]
struct LoweredPeriod {
    until: MonotonicTime,
    delay: Millis,
}

/// Selects between the larger and the smaller of the present and the announced rates.
#[derive(Debug)]
pub(super) struct RateSelector {
    max_rates: StoreRates,
    min_rates: StoreRates,
    lowered_period: Option<LoweredPeriod>,
}

impl RateSelector {
    /// Creates a selector that starts with the larger rates. If both are equal, refusals have no effect.
    pub(super) fn new(max_rates: StoreRates, min_rates: StoreRates) -> Self {
        Self {
            max_rates,
            min_rates,
            lowered_period: None,
        }
    }

    fn in_lowered_period(&self, now: MonotonicTime) -> bool {
        self.lowered_period.is_some_and(|l| now < l.until)
    }

    /// Returns the rates that apply now.
    pub(super) fn current(&self, now: MonotonicTime) -> StoreRates {
        match self.in_lowered_period(now) {
            true => self.min_rates,
            false => self.max_rates,
        }
    }

    /// Switches to the smaller rates after the service refused a request because its rates were exceeded.
    pub(super) fn on_refused(&mut self, now: MonotonicTime) {
        if self.max_rates == self.min_rates || self.in_lowered_period(now) {
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
