//! The machines whose records are to be written, and the rate at which that may happen.

use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use std::collections::BTreeSet;

/// The part of the key-value store's changes that machines' records may use, over all owners: the
/// rest is for users' requests and for what the leader records.
const RECORD_WRITE_SHARE: f64 = 0.7;
/// While this part of the burst is unused, nothing waits for others to share its change.
const IDLE_BUDGET_FRACTION: f64 = 0.9;
/// Which records are worth writing is examined again after a millisecond for so many of them.
const UNWRITTEN_MACHINES_PER_MS: usize = 8;

/// Machines whose records lack something, and this controller's part of the changes for them.
pub(super) struct WriteQueue {
    machines: BTreeSet<MachineId>,
    /// Something is to be written that may not be held back.
    urgent: bool,
    next_flush: MonotonicTime,
    budget: TokenBucket,
    /// Changes in a second that the key-value store takes from all controllers.
    store_changes_per_s: f64,
}

impl WriteQueue {
    /// An empty queue under the given number of changes in a second for all controllers.
    pub(super) fn new(store_changes_per_s: f64) -> Self {
        Self {
            machines: BTreeSet::new(),
            urgent: false,
            next_flush: MonotonicTime::default(),
            budget: TokenBucket::new(store_changes_per_s * RECORD_WRITE_SHARE),
            store_changes_per_s,
        }
    }

    /// Sets how many changes in a second the key-value store takes from all controllers. It
    /// counts from the next [`Self::adjust_rate`] on.
    pub(super) fn set_store_rate(&mut self, changes_per_s: f64) {
        self.store_changes_per_s = changes_per_s;
    }

    /// Adapts the rate of writes to the number of controllers that share it.
    pub(super) fn adjust_rate(&mut self, now: MonotonicTime, owners: usize) {
        let owners = owners.max(1) as f64;
        let rate = self.store_changes_per_s * RECORD_WRITE_SHARE / owners;
        self.budget.set_rate(now, rate);
    }

    /// Adds a machine whose record lacks something.
    pub(super) fn insert(&mut self, id: MachineId) {
        self.machines.insert(id);
    }

    /// Lets the next flush take place at once if `urgent` is set.
    pub(super) fn add_urgency(&mut self, urgent: bool) {
        self.urgent |= urgent;
    }

    /// Drops a machine whose record lacks nothing that could be written now.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// The machines in the order of their ids.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// Whether the queue is to be examined now. If so the next time is set.
    pub(super) fn begin_flush(&mut self, now: MonotonicTime) -> bool {
        if self.machines.is_empty() || (now < self.next_flush && !self.urgent) {
            return false;
        }
        self.urgent = false;
        self.next_flush = now + Millis((self.machines.len() / UNWRITTEN_MACHINES_PER_MS) as u64);
        true
    }

    /// Whether the budget allows no further write now.
    pub(super) fn is_exhausted(&mut self, now: MonotonicTime) -> bool {
        !self.budget.allows(now, 1.0, RequestClass::Place)
    }

    /// Whether so much of the budget is unused that no write needs to be shared.
    pub(super) fn has_ample_budget(&mut self, now: MonotonicTime) -> bool {
        self.budget.available_fraction(now) >= IDLE_BUDGET_FRACTION
    }

    /// Takes a write off the budget.
    pub(super) fn spend(&mut self) {
        self.budget.spend(1.0);
    }
}
