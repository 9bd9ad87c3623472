//! The clock of the event loop. In tests it can be virtual: it then stands still while a routine
//! can run, and jumps to the next timer when none can.

use std::time::Instant;

/// The present time, for all that is measured against the event loop's timers.
pub(crate) fn now() -> Instant {
    #[cfg(test)]
    if let Some(now) = virtual_time::now() {
        return now;
    }
    Instant::now()
}

#[cfg(test)]
pub(super) mod virtual_time;
