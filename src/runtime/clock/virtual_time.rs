//! A virtual clock for tests without sockets. Simulated minutes take milliseconds, and every run
//! has the same sequence of events.

use std::cell::Cell;
use std::future::Future;
use std::time::Instant;

thread_local! {
    static VIRTUAL_NOW: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Returns the virtual time, or `None` if this thread uses the real clock.
pub(super) fn now() -> Option<Instant> {
    VIRTUAL_NOW.get()
}

/// Advances the virtual clock to the next timer. Returns `false` if this thread uses the real
/// clock.
pub(in crate::runtime) fn advance(next_timer: Option<Instant>) -> bool {
    let Some(now) = VIRTUAL_NOW.get() else {
        return false;
    };
    let next_timer = next_timer.expect("deadlock: no routine is ready and no timer is set");
    VIRTUAL_NOW.set(Some(now.max(next_timer)));
    true
}

/// Runs the event loop in virtual time until `main` is complete.
pub(crate) fn run_in_virtual_time(main: impl Future<Output = ()> + 'static) {
    VIRTUAL_NOW.set(Some(Instant::now()));
    crate::runtime::run(main).expect("loop");
    VIRTUAL_NOW.set(None);
}
