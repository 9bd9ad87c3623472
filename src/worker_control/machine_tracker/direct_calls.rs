//! The direct call that is in flight to a machine, and the time of the next one.

use crate::ids::{MonotonicTime, RequestId};
use crate::protocol::Command;

/// A call that has no outcome yet.
#[derive(Debug)]
struct CallInFlight {
    id: RequestId,
    commands: Vec<Command>,
}

/// The state of the direct calls to one machine. Only one call is in flight at a time.
#[derive(Debug)]
pub(in crate::worker_control) struct DirectCalls {
    in_flight: Option<CallInFlight>,
    next_at: MonotonicTime,
}

impl DirectCalls {
    /// Creates a state without a call in flight. A call may be sent immediately.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            in_flight: None,
            next_at: now,
        }
    }

    /// Returns whether a call may be sent now.
    pub(in crate::worker_control) fn may_send(&self, now: MonotonicTime) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// Records that a call with these commands is sent. The next call is not sent before `next_at`.
    pub(in crate::worker_control) fn begin(
        &mut self,
        id: RequestId,
        commands: Vec<Command>,
        next_at: MonotonicTime,
    ) {
        self.in_flight = Some(CallInFlight { id, commands });
        self.next_at = next_at;
    }

    /// Records that a call has an outcome and returns its commands. Returns `None` if the call in
    /// flight is another one: the outcome is that of a call which an earlier tracker of the machine
    /// has sent.
    pub(in crate::worker_control) fn finish(&mut self, id: RequestId) -> Option<Vec<Command>> {
        let call = self.in_flight.take_if(|call| call.id == id)?;
        Some(call.commands)
    }

    /// Sets the earliest time of the next call.
    pub(in crate::worker_control) fn set_next(&mut self, at: MonotonicTime) {
        self.next_at = at;
    }
}
