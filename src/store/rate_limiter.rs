//! A token bucket with request classes. When the demand exceeds the rate, requests of later classes
//! are refused at once, so that leases, users' requests and placements continue.

use crate::ids::{Millis, MonotonicTime};

/// The time for which tokens are reserved for a refused request of the class `Accept`. The request is
/// retried within this time: by the leader at once, by users after one second.
const RETRY_WINDOW: Millis = Millis(1500);

/// The purpose of a request. Classes are ordered by priority, the highest first. A later class has to
/// leave a larger reserve in the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RequestClass {
    /// Leases, the shards' fencing tokens and the watch cache. These are always admitted.
    #[serde(rename = "grant")]
    Lease,
    /// Acceptance, cancellation, completion and release of jobs: few requests, but users wait for them.
    Accept,
    /// Placements.
    Place,
    /// Reads of single records.
    Poll,
    /// Plans, history and cleanup: writes that nobody waits for.
    Record,
}

impl RequestClass {
    /// The fraction of a full bucket that this class leaves to the classes before it.
    fn reserved_fraction(self) -> f64 {
        match self {
            Self::Lease => f64::NEG_INFINITY,
            // Shard owners and the leader limit their own writes to a fraction of the rate, so
            // requests that users wait for may use all tokens.
            Self::Accept => 0.0,
            Self::Place => 0.05,
            Self::Poll => 0.3,
            Self::Record => 0.45,
        }
    }
}

/// A token bucket that refills at a constant rate.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// The refill rate, in tokens per second.
    rate: f64,
    /// The capacity, in tokens.
    burst: f64,
    /// The current number of tokens. It is negative while the bucket is overdrawn.
    level: f64,
    updated_at: MonotonicTime,
    /// The tokens reserved for a refused request of the class `Accept`.
    reservation: Option<TokenReservation>,
}

/// Tokens that a refused request needs for its retry.
#[derive(Clone, Copy, Debug)]
struct TokenReservation {
    amount: f64,
    until: MonotonicTime,
}

impl TokenBucket {
    /// Creates a full bucket. Its capacity is one second's worth of tokens, as in the services' own
    /// rate limiters, but at least one token.
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

    /// Changes the refill rate. Tokens above the new capacity are discarded.
    pub(crate) fn set_rate(&mut self, now: MonotonicTime, rate: f64) {
        self.level(now);
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// Returns the tokens in the bucket as a fraction of its capacity.
    pub(crate) fn available_fraction(&mut self, now: MonotonicTime) -> f64 {
        self.level(now) / self.burst
    }

    /// Refills the bucket and returns the number of tokens in it.
    pub(crate) fn level(&mut self, now: MonotonicTime) -> f64 {
        self.level =
            (self.level + now.since(self.updated_at).as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = now.max(self.updated_at);
        self.level
    }

    /// Returns whether a request of this class may take `amount` tokens. A full bucket allows every
    /// request, whatever its class and amount.
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

    /// Returns the number of tokens that a class leaves to the classes before it. In a small bucket the
    /// reserved fraction may be less than one refused `Accept` request needs. The reservation then
    /// prevents smaller requests of later classes from taking each token before there are enough.
    fn reserved_tokens(&self, now: MonotonicTime, class: RequestClass) -> f64 {
        let reserve = class.reserved_fraction() * self.burst;
        match self.reservation {
            Some(reservation) if class > RequestClass::Accept && now < reservation.until => {
                reserve.max(reservation.amount)
            }
            _ => reserve,
        }
    }

    /// Reserves tokens for a refused request. An allowed request ends the reservation, unless the
    /// reservation is for a larger request.
    fn update_reservation(&mut self, now: MonotonicTime, amount: f64, allowed: bool) {
        let reservation = self.reservation.filter(|r| now < r.until);
        let reserved_amount = reservation.map_or(0.0, |r| r.amount);
        self.reservation = match allowed {
            true => reservation.filter(|r| r.amount > amount),
            false => Some(TokenReservation {
                amount: amount.max(reserved_amount),
                until: now + RETRY_WINDOW,
            }),
        };
    }

    /// Takes tokens out. The bucket can be overdrawn by at most its capacity.
    pub(crate) fn spend(&mut self, amount: f64) {
        self.level = (self.level - amount).max(-self.burst);
    }

    /// Takes tokens out if the class is allowed to take them. Returns whether they were taken.
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

    /// Empties the bucket after the service refused a request, which shows that other clients have used
    /// up the rate.
    pub(crate) fn drain(&mut self, now: MonotonicTime) {
        self.level = self.level(now).min(0.0);
    }
}

#[cfg(test)]
mod tests;
