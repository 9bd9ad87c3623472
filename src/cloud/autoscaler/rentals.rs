//! Rent requests without a final answer from the cloud, and offers for which it recently had no capacity.

use super::machine_offer::MachineOffer;
use crate::ids::{MachineId, Millis, MonotonicTime, Revision};
use crate::protocol::RentRequest;
use std::collections::BTreeMap;

/// The time for which an offer is not requested again after the cloud had no capacity for it.
const NO_CAPACITY_BACKOFF: Millis = Millis(15_000);
/// The delay before a request that was refused or not answered is retried.
const RENTAL_RETRY_DELAY: Millis = Millis(1500);
/// A request is dropped instead of retried once it is older than this, because demand has changed since.
const RENTAL_EXPIRY: Millis = Millis(20_000);
/// Once more requests than this are pending, no further requests are added in the same step. Each later step
/// may still add one.
const MAX_PENDING_RENTALS: usize = 16;

/// The cloud's response to a rent request.
#[derive(Debug)]
pub(crate) enum RentOutcome {
    /// The cloud has rented these machines, which are now booting.
    Rented(Vec<MachineId>),
    /// The cloud currently has no capacity for this offer.
    NoCapacity,
    /// The cloud refused the request temporarily or did not answer. The same request may be retried.
    Again,
    /// The cloud rejected the request as malformed. It must not be retried.
    Malformed,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingRental {
    /// The name of the request. It is unique among all requests ever made, so that a retried request rents
    /// machines only once.
    name: String,
    /// The requested offer.
    pub(super) offer: MachineOffer,
    /// The number of requested machines.
    pub(super) count: u32,
    /// Whether the request has been sent and its response is outstanding.
    sent: bool,
    /// The earliest time at which the request may be sent, unless it is in flight.
    retry_at: MonotonicTime,
    /// When the rental was decided.
    decided_at: MonotonicTime,
}

/// The machines of a successful rental.
#[derive(Debug)]
pub(super) struct RentedMachines {
    /// The ids of the machines.
    pub(super) machines: Vec<MachineId>,
    /// The offer that the machines belong to.
    pub(super) offer: MachineOffer,
    /// When the rental was decided.
    pub(super) decided_at: MonotonicTime,
}

/// The rentals of one leader term, in the order in which they were decided.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    term: Revision,
    /// The number of requests made in this term. It is part of their names.
    request_count: u64,
    pending: Vec<PendingRental>,
    /// The time until which each offer without capacity is not requested again.
    no_capacity_until: BTreeMap<MachineOffer, MonotonicTime>,
}

impl Rentals {
    /// Drops the rentals of an earlier term. Machines that these requests still rent appear in the cloud's
    /// list.
    pub(super) fn begin_term(&mut self, term: Revision) {
        self.term = term;
        self.request_count = 0;
        self.pending.clear();
    }

    /// Adds a request that is due immediately.
    pub(super) fn add(&mut self, now: MonotonicTime, offer: MachineOffer, count: u32) {
        self.request_count += 1;
        self.pending.push(PendingRental {
            // The term distinguishes the names from those of all other leaders.
            name: format!("r-{}-{}", self.term, self.request_count),
            offer,
            count,
            sent: false,
            retry_at: now,
            decided_at: now,
        });
    }

    /// Returns whether more than [`MAX_PENDING_RENTALS`] requests are pending. The current step then adds no
    /// more.
    pub(super) fn is_full(&self) -> bool {
        self.pending.len() > MAX_PENDING_RENTALS
    }

    /// Returns the requests without a final answer, oldest first.
    pub(super) fn pending(&self) -> impl Iterator<Item = &PendingRental> {
        self.pending.iter()
    }

    /// Returns whether an offer may be requested: the cloud has not recently reported that it has no capacity
    /// for it, and no request for it is pending.
    pub(super) fn may_request(&self, offer: &MachineOffer) -> bool {
        !self.no_capacity_until.contains_key(offer)
            && !self.pending.iter().any(|rental| rental.offer == *offer)
    }

    /// Removes offers whose backoff after missing capacity is over.
    pub(super) fn expire_refusals(&mut self, now: MonotonicTime) {
        self.no_capacity_until.retain(|_, until| now < *until);
    }

    /// Returns the requests that are due, and marks them as sent.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<RentRequest> {
        let mut due = Vec::new();
        for rental in &mut self.pending {
            if !rental.sent && now >= rental.retry_at {
                rental.sent = true;
                due.push(rental.offer.rent_request(&rental.name, rental.count));
            }
        }
        due
    }

    /// Handles the response to a request. Returns the rented machines if the request succeeded. Responses to
    /// dropped requests are ignored.
    pub(super) fn on_outcome(
        &mut self,
        now: MonotonicTime,
        name: &str,
        outcome: RentOutcome,
    ) -> Option<RentedMachines> {
        let index = self.pending.iter().position(|r| r.name == name)?;
        match outcome {
            RentOutcome::Rented(machines) => {
                let rental = self.pending.remove(index);
                return Some(RentedMachines {
                    machines,
                    offer: rental.offer,
                    decided_at: rental.decided_at,
                });
            }
            RentOutcome::NoCapacity => {
                let rental = self.pending.remove(index);
                self.no_capacity_until
                    .insert(rental.offer, now + NO_CAPACITY_BACKOFF);
            }
            RentOutcome::Malformed => {
                self.pending.remove(index);
            }
            RentOutcome::Again => self.retry_or_expire(now, index),
        }
        None
    }

    /// Schedules a retry after a delay, or drops the request if it is older than [`RENTAL_EXPIRY`]. The name
    /// of a dropped request is never reused, and machines that it still rents appear in the cloud's list.
    fn retry_or_expire(&mut self, now: MonotonicTime, index: usize) {
        let rental = &mut self.pending[index];
        rental.sent = false;
        rental.retry_at = now + RENTAL_RETRY_DELAY;
        if now.since(rental.decided_at) > RENTAL_EXPIRY {
            self.pending.remove(index);
        }
    }
}

#[cfg(test)]
mod tests;
