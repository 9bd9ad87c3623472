//! Rent requests that the cloud has not answered for good, and what it has refused lately.

use super::machine_offer::MachineOffer;
use crate::ids::{MachineId, Millis, MonotonicTime, Revision};
use crate::protocol::RentRequest;
use std::collections::BTreeMap;

/// How long an offer is not asked for again after the cloud had no capacity for it.
const NO_CAPACITY_BACKOFF: Millis = Millis(15_000);
/// How long a request that was put off waits before it is repeated.
const RENTAL_RETRY_DELAY: Millis = Millis(1500);
/// A request without an answer is given up after this time: demand has changed since.
const RENTAL_EXPIRY: Millis = Millis(20_000);
/// No more is asked for in a step once more rentals than this wait for their answers.
const MAX_PENDING_RENTALS: usize = 16;

/// The cloud's answer to a rent request.
#[derive(Debug)]
pub(crate) enum RentOutcome {
    /// These machines now boot.
    Rented(Vec<MachineId>),
    /// The cloud has none of this type in this zone for now.
    NoCapacity,
    /// Refused for now, or no answer: the same request may be repeated.
    Again,
    /// The cloud does not accept such a request at all.
    Malformed,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingRental {
    /// Unique among all requests ever made, so that a repeated request rents only once.
    name: String,
    /// What is asked for.
    pub(super) offer: MachineOffer,
    /// How many machines are asked for.
    pub(super) count: u32,
    /// Whether the cloud's answer is outstanding.
    sent: bool,
    /// When it may be sent, if it is not.
    retry_at: MonotonicTime,
    /// When it was decided.
    decided_at: MonotonicTime,
}

/// Machines that a rental has brought.
#[derive(Debug)]
pub(super) struct RentedMachines {
    /// Their ids.
    pub(super) machines: Vec<MachineId>,
    /// What they are.
    pub(super) offer: MachineOffer,
    /// When the rental was decided.
    pub(super) decided_at: MonotonicTime,
}

/// The rentals of one term of leadership, in the order in which they were decided.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    term: Revision,
    /// Requests of this term so far; numbers their names.
    request_count: u64,
    pending: Vec<PendingRental>,
    /// Until when an offer is not asked for.
    no_capacity_until: BTreeMap<MachineOffer, MonotonicTime>,
}

impl Rentals {
    /// Drops the rentals of an earlier term. What they still rent is found in the cloud's list.
    pub(super) fn begin_term(&mut self, term: Revision) {
        self.term = term;
        self.request_count = 0;
        self.pending.clear();
    }

    /// Adds a request, to be sent at once.
    pub(super) fn add(&mut self, now: MonotonicTime, offer: MachineOffer, count: u32) {
        self.request_count += 1;
        self.pending.push(PendingRental {
            // The term makes the name unique among all that ever led.
            name: format!("r-{}-{}", self.term, self.request_count),
            offer,
            count,
            sent: false,
            retry_at: now,
            decided_at: now,
        });
    }

    /// Whether more requests are pending than may be added to.
    pub(super) fn is_full(&self) -> bool {
        self.pending.len() > MAX_PENDING_RENTALS
    }

    /// The requests without a final answer, oldest first.
    pub(super) fn pending(&self) -> impl Iterator<Item = &PendingRental> {
        self.pending.iter()
    }

    /// Whether an offer may be asked for: the cloud has not refused it lately, and no request for
    /// it is pending.
    pub(super) fn may_request(&self, offer: &MachineOffer) -> bool {
        !self.no_capacity_until.contains_key(offer)
            && !self.pending.iter().any(|rental| rental.offer == *offer)
    }

    /// Forgets refusals that are over.
    pub(super) fn expire_refusals(&mut self, now: MonotonicTime) {
        self.no_capacity_until.retain(|_, until| now < *until);
    }

    /// The requests that are due, which from now on wait for their answers.
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

    /// Takes the cloud's answer. Answers to requests that were dropped count for nothing.
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

    /// Repeats a request after a delay, or drops it when it is too old. Its name is never used
    /// again, and what it may still rent is found in the cloud's list.
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
