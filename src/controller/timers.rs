//! Timers of periodic work.

use crate::ids::{Millis, MonotonicTime};

/// A timer for work that is done once per interval.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    interval: Millis,
    next: MonotonicTime,
}

impl PeriodicTimer {
    /// Creates a timer that is due at once, and then once per `interval`.
    pub(super) fn new(interval: Millis) -> Self {
        Self {
            interval,
            next: MonotonicTime::default(),
        }
    }

    /// Returns whether the work is due now. If so, it is due again one interval later.
    #[must_use]
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + self.interval;
        }
        due
    }

    /// Makes the work due at once.
    pub(super) fn expedite(&mut self, now: MonotonicTime) {
        self.next = now;
    }

    /// Returns when the work is due next.
    pub(super) fn next(&self) -> MonotonicTime {
        self.next
    }
}

/// The shortest time between two scheduling passes.
const MIN_SCHEDULE_INTERVAL: Millis = Millis(15);
/// The longest time between two scheduling passes.
const MAX_SCHEDULE_INTERVAL: Millis = Millis(500);
/// The next pass is delayed by one more millisecond per this number of machines, since a pass over a
/// large fleet takes longer.
const MACHINES_PER_EXTRA_DELAY_MS: usize = 4;

/// The timer of scheduling passes. A pass is due soon after a change that may affect its result, and at
/// least every [`MAX_SCHEDULE_INTERVAL`].
#[derive(Debug, Default)]
pub(super) struct ScheduleTimer {
    is_requested: bool,
    next: MonotonicTime,
    last_pass: MonotonicTime,
}

impl ScheduleTimer {
    /// Requests a pass after a change that may affect its result.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Requests a pass without waiting for the shortest interval since the last one.
    pub(super) fn request_now(&mut self) {
        self.is_requested = true;
        self.next = MonotonicTime::default();
    }

    /// Returns whether a pass is due now. `machines` is the number of machines in the fleet.
    #[must_use]
    pub(super) fn take_due(&mut self, now: MonotonicTime, machines: usize) -> bool {
        let due = (self.is_requested && now >= self.next)
            || now.since(self.last_pass) >= MAX_SCHEDULE_INTERVAL;
        if due {
            self.is_requested = false;
            self.last_pass = now;
            let extra_delay = Millis((machines / MACHINES_PER_EXTRA_DELAY_MS) as u64);
            self.next = now + MIN_SCHEDULE_INTERVAL + extra_delay;
        }
        due
    }

    /// Returns when the next pass is due, or an upper limit of that time if no pass is requested.
    pub(super) fn next(&self, now: MonotonicTime) -> MonotonicTime {
        match self.is_requested {
            true => self.next,
            false => now + MAX_SCHEDULE_INTERVAL,
        }
    }
}
