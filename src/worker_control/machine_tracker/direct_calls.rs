//! The direct command that is in flight to a machine, and when the next may be sent.

use crate::ids::MonotonicTime;
use crate::protocol::Command;

/// Direct commands to one machine: one call at a time.
#[derive(Debug)]
pub(in crate::worker_control) struct DirectCalls {
    /// The commands of the call whose outcome is awaited.
    in_flight: Option<Vec<Command>>,
    next_at: MonotonicTime,
}

impl DirectCalls {
    /// Nothing is in flight, and a call may be sent at once.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            in_flight: None,
            next_at: now,
        }
    }

    /// Whether a call may be sent now.
    pub(in crate::worker_control) fn may_send(&self, now: MonotonicTime) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// A call with these commands is sent; the next one is not sent before `next_at`.
    pub(in crate::worker_control) fn begin(
        &mut self,
        commands: Vec<Command>,
        next_at: MonotonicTime,
    ) {
        self.in_flight = Some(commands);
        self.next_at = next_at;
    }

    /// The call has an outcome. Returns its commands.
    pub(in crate::worker_control) fn finish(&mut self) -> Vec<Command> {
        self.in_flight.take().unwrap_or_default()
    }

    /// The next call is not sent before this time.
    pub(in crate::worker_control) fn set_next(&mut self, at: MonotonicTime) {
        self.next_at = at;
    }
}
