//! Whether a machine's heartbeats arrive here, and whether our commands arrive there.

use crate::ids::{Millis, MonotonicTime};

/// Failed calls in a row from which on a machine that still sends heartbeats counts as silent.
const UNREACHABLE_AFTER_FAILED_CALLS: u32 = 2;

/// Signs of life in both directions between this controller and one machine.
#[derive(Debug)]
pub(super) struct Reachability {
    /// When a heartbeat last came, directly or relayed.
    last_heartbeat: MonotonicTime,
    /// When a heartbeat last came directly from the machine.
    last_direct_heartbeat: MonotonicTime,
    /// Since when its heartbeats are relayed by other controllers.
    relayed_since: Option<MonotonicTime>,
    /// When it was last certain that something of ours arrives there.
    last_reached: MonotonicTime,
    /// Direct commands in a row that had no answer.
    failed_calls: u32,
}

impl Reachability {
    /// A machine of which nothing bad is known: all intervals start now.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            last_heartbeat: now,
            last_direct_heartbeat: now,
            relayed_since: None,
            last_reached: now,
            failed_calls: 0,
        }
    }

    /// A heartbeat came, on whatever path.
    pub(super) fn on_heartbeat(&mut self, now: MonotonicTime) {
        self.last_heartbeat = self.last_heartbeat.max(now);
    }

    /// A heartbeat came directly from the machine.
    pub(super) fn on_direct_heartbeat(&mut self, now: MonotonicTime) {
        self.last_direct_heartbeat = now;
        self.relayed_since = None;
    }

    /// Something of ours has arrived at the worker.
    pub(super) fn mark_reached(&mut self, now: MonotonicTime) {
        self.last_reached = now;
        self.failed_calls = 0;
    }

    /// A direct command had no answer.
    pub(super) fn on_failed_call(&mut self) {
        self.failed_calls += 1;
    }

    /// How long no heartbeat has come.
    pub(super) fn since_heartbeat(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// How long no heartbeat has come directly from the machine.
    pub(super) fn since_direct_heartbeat(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_direct_heartbeat)
    }

    /// How long nothing has shown that something of ours arrives there.
    pub(super) fn since_reached(&self, now: MonotonicTime) -> Millis {
        now.since(self.last_reached)
    }

    /// Whether its heartbeats are relayed by other controllers.
    pub(super) fn is_relayed(&self) -> bool {
        self.relayed_since.is_some()
    }

    /// Accepts a relayed heartbeat, until the machine has to try the direct path again:
    /// after half a lease, so that it is well within its lease then.
    pub(super) fn accept_relayed(&mut self, now: MonotonicTime, worker_lease: Millis) -> bool {
        if self.relayed_since.is_none() {
            // What failed before was tried on the direct path.
            self.mark_reached(now);
        }
        let since = *self.relayed_since.get_or_insert(now);
        let accepted = now.since(since) < Millis(worker_lease.0 / 2);
        if !accepted {
            self.relayed_since = None;
        }
        accepted
    }

    /// How long nothing shows that the machine can be used: nothing came from it, or nothing of
    /// ours gets there, though its heartbeats still come.
    pub(super) fn silent(&self, now: MonotonicTime) -> Millis {
        let unheard = self.since_heartbeat(now);
        if self.failed_calls >= UNREACHABLE_AFTER_FAILED_CALLS {
            unheard.max(self.since_reached(now))
        } else {
            unheard
        }
    }
}
