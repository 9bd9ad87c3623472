//! When periodic work is due.

use crate::ids::{Millis, MonotonicTime};

/// Work that is done once in an interval.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    interval: Millis,
    next: MonotonicTime,
}

impl PeriodicTimer {
    /// Due at once, and then once in `interval`.
    pub(super) fn new(interval: Millis) -> Self {
        Self {
            interval,
            next: MonotonicTime::default(),
        }
    }

    /// Whether the work is due now. The next time is an interval later.
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

    /// When the work is due next.
    pub(super) fn next(&self) -> MonotonicTime {
        self.next
    }
}

/// The shortest time between two scheduling passes.
const MIN_SCHEDULE_INTERVAL: Millis = Millis(15);
/// The longest time between two scheduling passes.
const MAX_SCHEDULE_INTERVAL: Millis = Millis(500);
/// A pass over a large fleet takes longer: for each so many machines its successor waits another
/// millisecond.
const MACHINES_PER_SCHEDULE_MS: usize = 4;

/// Scheduling passes: soon after anything that may change their result, and now and then anyway.
#[derive(Debug, Default)]
pub(super) struct ScheduleTimer {
    needed: bool,
    next: MonotonicTime,
    last: MonotonicTime,
}

impl ScheduleTimer {
    /// Something has changed that a pass depends on.
    pub(super) fn request(&mut self) {
        self.needed = true;
    }

    /// Something has changed that is worth a pass at once.
    pub(super) fn request_now(&mut self) {
        self.needed = true;
        self.next = MonotonicTime::default();
    }

    /// Whether a pass is due now; `machines` is the size of the fleet.
    #[must_use]
    pub(super) fn take_due(&mut self, now: MonotonicTime, machines: usize) -> bool {
        let due =
            (self.needed && now >= self.next) || now.since(self.last) >= MAX_SCHEDULE_INTERVAL;
        if due {
            self.needed = false;
            self.last = now;
            let pause = Millis((machines / MACHINES_PER_SCHEDULE_MS) as u64);
            self.next = now + MIN_SCHEDULE_INTERVAL + pause;
        }
        due
    }

    /// When the next pass may be due, as far as is known now.
    pub(super) fn next(&self, now: MonotonicTime) -> MonotonicTime {
        match self.needed {
            true => self.next,
            false => now + MAX_SCHEDULE_INTERVAL,
        }
    }
}
