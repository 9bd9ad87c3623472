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
struct Lowered {
    until: MonotonicTime,
    pause: Millis,
}

/// Chooses between the larger and the least of the rates that the service has announced.
#[derive(Debug)]
pub(super) struct RateSelector {
    larger: StoreRates,
    least: StoreRates,
    lowered: Option<Lowered>,
}

impl RateSelector {
    /// Starts with the larger rates; nothing is chosen where both are the same.
    pub(super) fn new(larger: StoreRates, least: StoreRates) -> Self {
        Self {
            larger,
            least,
            lowered: None,
        }
    }

    fn is_lowered(&self, now: MonotonicTime) -> bool {
        self.lowered.is_some_and(|l| now < l.until)
    }

    /// The rates that apply now.
    pub(super) fn current(&self, now: MonotonicTime) -> StoreRates {
        match self.is_lowered(now) {
            true => self.least,
            false => self.larger,
        }
    }

    /// The service has refused for the rate, or for a size that only the later limits refuse.
    pub(super) fn refused(&mut self, now: MonotonicTime) {
        if self.larger == self.least || self.is_lowered(now) {
            return;
        }
        let pause = match self.lowered {
            None => FIRST_RETRY_DELAY,
            Some(last) => Millis(2 * last.pause.0).min(MAX_RETRY_DELAY),
        };
        self.lowered = Some(Lowered {
            until: now + pause,
            pause,
        });
    }
}

#[cfg(test)]
mod tests;
