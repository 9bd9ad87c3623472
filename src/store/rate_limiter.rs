//! Token buckets with classes of use: when more is asked for than the rates allow, leases and
//! placements go on and the rest is refused at once.

use crate::ids::{Millis, MonotonicTime};

/// A refused request that users wait for is made again within this: by the leader at once, by users
/// after a second.
const RETRY_WINDOW: Millis = Millis(1500);

/// What a call is for; earlier classes may use what later ones must leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RequestClass {
    /// Leases, the shards' fences and the watch cache: never held back.
    #[serde(rename = "grant")]
    Lease,
    /// Acceptance, cancellation, and the ends and releases of jobs: few, and waited for.
    Accept,
    /// Placements.
    Place,
    /// Reads of single records.
    Poll,
    /// Plans, history and cleaning up.
    Record,
}

impl RequestClass {
    /// The part of a full bucket that this class leaves to those before it.
    fn reserved_fraction(self) -> f64 {
        match self {
            Self::Lease => f64::NEG_INFINITY,
            // Owners and leader keep to a part of the changes by themselves, so users come first.
            Self::Accept => 0.0,
            Self::Place => 0.05,
            Self::Poll => 0.3,
            Self::Record => 0.45,
        }
    }
}

/// A bucket of tokens that fills at a steady rate.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Tokens that come in a second.
    rate: f64,
    /// The most that it holds.
    burst: f64,
    /// Tokens in it; negative after more was spent than there were.
    level: f64,
    updated_at: MonotonicTime,
    /// What was refused to the class that users wait for.
    reservation: Option<TokenReservation>,
}

/// Tokens that a refused request needs when it is made again.
#[derive(Clone, Copy, Debug)]
struct TokenReservation {
    amount: f64,
    until: MonotonicTime,
}

impl TokenBucket {
    /// Holds one second's worth, as the services themselves allow.
    pub(crate) fn new(rate: f64) -> Self {
        let burst = rate.max(1.0);
        Self {
            rate,
            burst,
            level: burst,
            updated_at: MonotonicTime::default(),
            reservation: None,
        }
    }

    /// Another share of a rate; what was saved up stays within the new bound.
    pub(crate) fn set_rate(&mut self, now: MonotonicTime, rate: f64) {
        self.level(now);
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// The part of a second's worth that is unused.
    pub(crate) fn available_fraction(&mut self, now: MonotonicTime) -> f64 {
        self.level(now) / self.burst
    }

    /// The tokens in it now.
    pub(crate) fn level(&mut self, now: MonotonicTime) -> f64 {
        self.level =
            (self.level + now.since(self.updated_at).as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = now.max(self.updated_at);
        self.level
    }

    /// Whether a class may take so many tokens. A full bucket allows any class any amount.
    pub(crate) fn allows(&mut self, now: MonotonicTime, amount: f64, class: RequestClass) -> bool {
        if amount == 0.0 {
            return true;
        }
        let needed = (amount + self.reserved_tokens(now, class)).min(self.burst);
        let allowed = self.level(now) >= needed;
        if class == RequestClass::Accept {
            self.update_reservation(now, amount, allowed);
        }
        allowed
    }

    /// The tokens that a class leaves to those before it. A part of a small bucket may be less than
    /// one of their requests needs: without what they wait for, smaller requests of this class would
    /// take each token before there are enough.
    fn reserved_tokens(&self, now: MonotonicTime, class: RequestClass) -> f64 {
        let reserve = class.reserved_fraction() * self.burst;
        match self.reservation {
            Some(awaited) if class > RequestClass::Accept && now < awaited.until => {
                reserve.max(awaited.amount)
            }
            _ => reserve,
        }
    }

    /// Notes what a request needs that was refused, until it is allowed.
    fn update_reservation(&mut self, now: MonotonicTime, amount: f64, allowed: bool) {
        let reservation = self.reservation.filter(|awaited| now < awaited.until);
        let reserved_amount = reservation.map_or(0.0, |awaited| awaited.amount);
        self.reservation = match allowed {
            true => reservation.filter(|awaited| awaited.amount > amount),
            false => Some(TokenReservation {
                amount: amount.max(reserved_amount),
                until: now + RETRY_WINDOW,
            }),
        };
    }

    /// Takes tokens out. The debt is bounded by one second's worth.
    pub(crate) fn spend(&mut self, amount: f64) {
        self.level = (self.level - amount).max(-self.burst);
    }

    /// Takes tokens out if the class may have them; returns whether it did.
    pub(crate) fn try_acquire(
        &mut self,
        now: MonotonicTime,
        amount: f64,
        class: RequestClass,
    ) -> bool {
        let allowed = self.allows(now, amount, class);
        if allowed {
            self.spend(amount);
        }
        allowed
    }

    /// Takes all tokens out after the service has refused: others use the rate as well.
    pub(crate) fn drain(&mut self, now: MonotonicTime) {
        self.level = self.level(now).min(0.0);
    }
}

#[cfg(test)]
mod tests;
