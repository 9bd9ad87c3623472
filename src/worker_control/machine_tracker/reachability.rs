//! Reachability of a machine in both directions: heartbeats that arrive here, and messages that
//! arrive there.

use crate::ids::{Millis, MonotonicTime};

/// Number of consecutive failed calls after which the time that a machine has been unresponsive
/// counts from the last message that reached it, even if its heartbeats still arrive.
const UNREACHABLE_AFTER_FAILED_CALLS: u32 = 2;

/// The times of the last communication between this controller and one machine, in both directions.
#[derive(Debug)]
pub(super) struct Reachability {
    /// When the last heartbeat came, direct or relayed.
    last_heartbeat: MonotonicTime,
    /// When the last heartbeat came directly from the machine.
    last_direct_heartbeat: MonotonicTime,
    /// When other controllers began to relay its heartbeats. `None` if they are not relayed.
    relayed_since: Option<MonotonicTime>,
    /// When the machine last proved that a message from this controller reached it.
    last_reached: MonotonicTime,
    /// Number of consecutive direct calls that were not sent or not answered. While heartbeats are
    /// relayed, a raised token that does not come back counts as one.
    failed_calls: u32,
}

impl Reachability {
    /// Creates the state of a machine that counts as reachable. All intervals start at `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            last_heartbeat: now,
            last_direct_heartbeat: now,
            relayed_since: None,
            last_reached: now,
            failed_calls: 0,
        }
    }

    /// Records that a heartbeat came, direct or relayed.
    pub(super) fn on_heartbeat(&mut self, now: MonotonicTime) {
        self.last_heartbeat = self.last_heartbeat.max(now);
    }

    /// Records that a heartbeat came directly from the machine.
    pub(super) fn on_direct_heartbeat(&mut self, now: MonotonicTime) {
        self.last_direct_heartbeat = now;
        self.relayed_since = None;
    }

    /// Records that a message from this controller has reached the worker.
    pub(super) fn mark_reached(&mut self, now: MonotonicTime) {
        self.last_reached = now;
        self.failed_calls = 0;
    }

    /// Records that a direct call was not sent or not answered.
    pub(super) fn on_failed_call(&mut self) {
        self.failed_calls += 1;
    }

    /// Returns the time since the last heartbeat, direct or relayed.
    pub(super) fn since_heartbeat(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// Returns the time since the last heartbeat that came directly from the machine.
    pub(super) fn since_direct_heartbeat(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_direct_heartbeat)
    }

    /// Returns the time since the machine last proved that a message from this controller reached
    /// it.
    pub(super) fn since_reached(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_reached)
    }

    /// Returns whether the machine's heartbeats are relayed by other controllers.
    pub(super) fn is_relayed(&self) -> bool {
        self.relayed_since.is_some()
    }

    /// Returns whether to accept a relayed heartbeat. After half a lease of relaying, one is
    /// rejected so that the machine tries the direct path again while enough of its lease remains
    /// for that.
    pub(super) fn accept_relayed(&mut self, now: MonotonicTime, worker_lease: Millis) -> bool {
        if self.relayed_since.is_none() {
            // Earlier failures were on the direct path, so they don't count any more.
            self.mark_reached(now);
        }
        let since = *self.relayed_since.get_or_insert(now);
        let accepted = now.since(since) < Millis(worker_lease.0 / 2);
        if !accepted {
            self.relayed_since = None;
        }
        accepted
    }

    /// Returns how long the machine has been unresponsive. This is the time since its last
    /// heartbeat. After [`UNREACHABLE_AFTER_FAILED_CALLS`] failed calls it is the time since the
    /// machine last proved that a message reached it, if that is longer.
    pub(super) fn unresponsive_for(&self, now: MonotonicTime) -> Millis {
        let since_heartbeat = self.since_heartbeat(now);
        if self.failed_calls >= UNREACHABLE_AFTER_FAILED_CALLS {
            since_heartbeat.max(self.since_reached(now))
        } else {
            since_heartbeat
        }
    }
}
