//! A virtual clock for tests without sockets: minutes pass in milliseconds, and always alike.

use std::cell::Cell;
use std::future::Future;
use std::time::Instant;

thread_local! {
    static VIRTUAL_NOW: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// The virtual time, if this thread's clock is virtual.
pub(super) fn now() -> Option<Instant> {
    VIRTUAL_NOW.get()
}

/// Jumps to the next timer. `false`: this thread's clock is real.
pub(in crate::runtime) fn advance(next_timer: Option<Instant>) -> bool {
    let Some(now) = VIRTUAL_NOW.get() else {
        return false;
    };
    let next_timer = next_timer.expect("a routine that can run, or a timer");
    VIRTUAL_NOW.set(Some(now.max(next_timer)));
    true
}

/// Runs until `main` is complete, in virtual time.
pub(crate) fn run_in_virtual_time(main: impl Future<Output = ()> + 'static) {
    VIRTUAL_NOW.set(Some(Instant::now()));
    crate::runtime::run(main).expect("loop");
    VIRTUAL_NOW.set(None);
}
