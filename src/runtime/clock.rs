//! The clock of the event loop. Tests can use a virtual clock, which stands still while a routine
//! is ready to run and otherwise advances to the next timer.

use std::time::Instant;

/// Returns the current time of the clock that the timers of the event loop use.
pub(crate) fn now() -> Instant {
    #[cfg(test)]
    if let Some(now) = virtual_time::now() {
        return now;
    }
    Instant::now()
}

#[cfg(test)]
pub(super) mod virtual_time;
