//! The queue of machines with unwritten record changes, and the write budget.

use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use std::collections::BTreeSet;

/// The fraction of the key-value store's write rate that all shard owners together may use for
/// machine records. The rest is for user requests and the leader's records.
const RECORD_WRITE_SHARE: f64 = 0.7;
/// While at least this fraction of the burst is unused, writes are not delayed for batching.
const AMPLE_BUDGET_FRACTION: f64 = 0.9;
/// Number of queued machines that add one millisecond to the time until the next flush, which
/// limits the processing time of a long queue. Urgent changes don't wait for it.
const UNWRITTEN_MACHINES_PER_MS: usize = 8;

/// Machines with unwritten record changes, and this controller's share of the write rate.
pub(super) struct WriteQueue {
    machines: BTreeSet<MachineId>,
    /// Whether the queue holds an urgent change, which is not delayed until `next_flush`.
    urgent: bool,
    next_flush: MonotonicTime,
    budget: TokenBucket,
    /// Writes per second that the key-value store accepts from all controllers together.
    store_writes_per_s: f64,
}

impl WriteQueue {
    /// Creates an empty queue. `store_writes_per_s` is the write rate for all controllers together.
    pub(super) fn new(store_writes_per_s: f64) -> Self {
        Self {
            machines: BTreeSet::new(),
            urgent: false,
            next_flush: MonotonicTime::default(),
            budget: TokenBucket::new(store_writes_per_s * RECORD_WRITE_SHARE),
            store_writes_per_s,
        }
    }

    /// Sets the write rate that the key-value store accepts from all controllers together. It takes
    /// effect at the next [`Self::adjust_rate`].
    pub(super) fn set_store_rate(&mut self, writes_per_s: f64) {
        self.store_writes_per_s = writes_per_s;
    }

    /// Sets the write budget to an equal share for each of the controllers.
    pub(super) fn adjust_rate(&mut self, now: MonotonicTime, owners: usize) {
        let owners = owners.max(1) as f64;
        let rate = self.store_writes_per_s * RECORD_WRITE_SHARE / owners;
        self.budget.set_rate(now, rate);
    }

    /// Adds a machine with unwritten changes.
    pub(super) fn insert(&mut self, id: MachineId) {
        self.machines.insert(id);
    }

    /// Allows the next flush to run immediately if `urgent` is set.
    pub(super) fn add_urgency(&mut self, urgent: bool) {
        self.urgent |= urgent;
    }

    /// Removes a machine that has no changes to be written now.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Returns the machines in the order of their ids.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// Returns whether a flush is due. If so, schedules the next one.
    pub(super) fn begin_flush(&mut self, now: MonotonicTime) -> bool {
        if self.machines.is_empty() || (now < self.next_flush && !self.urgent) {
            return false;
        }
        self.urgent = false;
        self.next_flush = now + Millis((self.machines.len() / UNWRITTEN_MACHINES_PER_MS) as u64);
        true
    }

    /// Returns whether the budget allows no further write now.
    pub(super) fn is_exhausted(&mut self, now: MonotonicTime) -> bool {
        !self.budget.allows(now, 1.0, RequestClass::Place)
    }

    /// Returns whether enough of the budget is unused that writes need not wait for batching.
    pub(super) fn has_ample_budget(&mut self, now: MonotonicTime) -> bool {
        self.budget.available_fraction(now) >= AMPLE_BUDGET_FRACTION
    }

    /// Deducts one write from the budget.
    pub(super) fn spend(&mut self) {
        self.budget.spend(1.0);
    }
}
