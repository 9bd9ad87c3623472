//! The single-threaded executor: its routines, and the sockets and timers that they wait for.

use super::clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};
use std::time::Instant;

const EVENT_CAPACITY: usize = 256;

type Routine = Pin<Box<dyn Future<Output = ()>>>;

/// The indices in [`Executor::slots`] of the routines that were woken and have yet to run. An index
/// may occur several times.
#[derive(Default)]
struct ReadyQueue(Mutex<VecDeque<usize>>);

impl ReadyQueue {
    fn push(&self, slot: usize) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(slot);
    }

    fn pop(&self) -> Option<usize> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }
}

struct RoutineWaker {
    slot: usize,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.ready.push(self.slot);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.ready.push(self.slot);
    }
}

/// The state of a socket that a routine waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// Bytes can be read or a connection can be accepted.
    Readable,
    /// Bytes can be written.
    Writable,
}

/// The wakers of the routines that wait for a socket.
#[derive(Default)]
struct SocketWakers {
    read: Option<Waker>,
    write: Option<Waker>,
}

/// The key of a timer. Timers are ordered by time; the id distinguishes timers of the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    deadline: Instant,
    id: u64,
}

/// A routine that is not complete, in [`Executor::slots`].
struct Slot {
    /// The routine's future; `None` while the routine runs.
    future: Option<Routine>,
    generation: u64,
    waker: Waker,
    cancelled: bool,
}

/// Identifies a routine, so that its scope can cancel it. The generation distinguishes it from a
/// later routine in the same slot.
#[derive(Clone, Copy)]
struct RoutineId {
    slot: usize,
    generation: u64,
}

/// The routines of a thread with their sockets and timers.
pub(super) struct Executor {
    registry: mio::Registry,
    /// The wakers of each socket, indexed by the socket's `mio` token. `None` for unused tokens.
    socket_wakers: Vec<Option<SocketWakers>>,
    free_tokens: Vec<usize>,
    timers: BTreeMap<TimerKey, Waker>,
    last_timer_id: u64,
    slots: Vec<Option<Slot>>,
    free_slots: Vec<usize>,
    last_generation: u64,
    ready: Arc<ReadyQueue>,
}

impl Executor {
    fn new(registry: mio::Registry, ready: Arc<ReadyQueue>) -> Self {
        Self {
            registry,
            socket_wakers: Vec::new(),
            free_tokens: Vec::new(),
            timers: BTreeMap::new(),
            last_timer_id: 0,
            slots: Vec::new(),
            free_slots: Vec::new(),
            last_generation: 0,
            ready,
        }
    }

    /// Registers a socket and returns its token.
    pub(super) fn register(&mut self, source: &mut impl mio::event::Source) -> io::Result<usize> {
        let token = self.free_tokens.pop().unwrap_or_else(|| {
            self.socket_wakers.push(None);
            self.socket_wakers.len() - 1
        });
        let read_and_write = mio::Interest::READABLE | mio::Interest::WRITABLE;
        match self
            .registry
            .register(source, mio::Token(token), read_and_write)
        {
            Ok(()) => {
                self.socket_wakers[token] = Some(SocketWakers::default());
                Ok(token)
            }
            Err(error) => {
                self.free_tokens.push(token);
                Err(error)
            }
        }
    }

    /// Frees the token of a socket that is about to be closed.
    pub(super) fn deregister(&mut self, token: usize) {
        self.socket_wakers[token] = None;
        self.free_tokens.push(token);
    }

    /// Registers `waker` to be woken once the socket becomes ready.
    pub(super) fn wait_for_socket(&mut self, token: usize, readiness: Readiness, waker: Waker) {
        if let Some(socket_wakers) = self.socket_wakers[token].as_mut() {
            let waker_slot = match readiness {
                Readiness::Readable => &mut socket_wakers.read,
                Readiness::Writable => &mut socket_wakers.write,
            };
            *waker_slot = Some(waker);
        }
    }

    /// Adds a timer that wakes `waker` at a given time.
    pub(super) fn add_timer(&mut self, deadline: Instant, waker: Waker) -> TimerKey {
        self.last_timer_id += 1;
        let key = TimerKey {
            deadline,
            id: self.last_timer_id,
        };
        self.timers.insert(key, waker);
        key
    }

    /// Replaces the waker of a timer.
    pub(super) fn replace_timer(&mut self, key: TimerKey, waker: Waker) {
        self.timers.insert(key, waker);
    }

    /// Cancels a timer and returns its waker, if the timer has not expired.
    pub(super) fn remove_timer(&mut self, key: TimerKey) -> Option<Waker> {
        self.timers.remove(&key)
    }

    /// Returns the number of pending timers.
    #[cfg(test)]
    pub(super) fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Removes and returns the wakers of the sockets that `events` report as ready and of the
    /// timers that have expired.
    fn take_due_wakers(&mut self, events: &mio::Events) -> Vec<Waker> {
        let mut wakers = Vec::new();
        for event in events {
            let Some(Some(socket_wakers)) = self.socket_wakers.get_mut(event.token().0) else {
                continue;
            };
            if event.is_readable() || event.is_read_closed() || event.is_error() {
                wakers.extend(socket_wakers.read.take());
            }
            if event.is_writable() || event.is_write_closed() || event.is_error() {
                wakers.extend(socket_wakers.write.take());
            }
        }
        let now = clock::now();
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().deadline > now {
                break;
            }
            wakers.push(entry.remove());
        }
        wakers
    }

    fn add_routine(&mut self, future: Routine) -> RoutineId {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.last_generation += 1;
        let waker = Waker::from(Arc::new(RoutineWaker {
            slot,
            ready: self.ready.clone(),
        }));
        self.slots[slot] = Some(Slot {
            future: Some(future),
            generation: self.last_generation,
            waker,
            cancelled: false,
        });
        self.ready.push(slot);
        RoutineId {
            slot,
            generation: self.last_generation,
        }
    }

    fn cancel(&mut self, id: RoutineId) {
        if let Some(Some(slot)) = self.slots.get_mut(id.slot)
            && slot.generation == id.generation
        {
            slot.cancelled = true;
            self.ready.push(id.slot);
        }
    }
}

thread_local! {
    static CURRENT: RefCell<Option<Executor>> = const { RefCell::new(None) };
}

/// Runs `f` on this thread's executor. `f` must not call anything that uses the executor, which
/// can't be borrowed twice: an inner call of `with` returns `None`, as it does on a thread without
/// an executor.
pub(super) fn with<T>(f: impl FnOnce(&mut Executor) -> T) -> Option<T> {
    CURRENT.with(|current| current.try_borrow_mut().ok()?.as_mut().map(f))
}

/// Runs the event loop on this thread until `main` is complete.
pub(crate) fn run(main: impl Future<Output = ()> + 'static) -> io::Result<()> {
    let mut poll = mio::Poll::new()?;
    let ready = Arc::new(ReadyQueue::default());
    let executor = Executor::new(poll.registry().try_clone()?, ready.clone());
    CURRENT.with(|current| *current.borrow_mut() = Some(executor));
    let finished = Rc::new(Cell::new(false));
    let finished_flag = finished.clone();
    spawn(async move {
        main.await;
        finished_flag.set(true);
    });
    let mut events = mio::Events::with_capacity(EVENT_CAPACITY);
    loop {
        run_ready_routines(&ready, &finished);
        if finished.get() {
            break;
        }
        wait_for_events(&mut poll, &mut events)?;
        let wakers = with(|executor| executor.take_due_wakers(&events)).unwrap_or_default();
        for waker in wakers {
            waker.wake();
        }
    }
    // The routines are dropped while the executor is not borrowed, because their destructors use
    // it.
    let unfinished = with(|executor| std::mem::take(&mut executor.slots));
    drop(unfinished);
    CURRENT.with(|current| *current.borrow_mut() = None);
    Ok(())
}

/// Runs ready routines until none is left or the main routine is complete.
fn run_ready_routines(ready: &ReadyQueue, finished: &Cell<bool>) {
    while !finished.get()
        && let Some(slot) = ready.pop()
    {
        run_routine(slot);
    }
}

/// Waits for socket events, at most until the next timer expires.
fn wait_for_events(poll: &mut mio::Poll, events: &mut mio::Events) -> io::Result<()> {
    let next_timer =
        with(|executor| executor.timers.keys().next().map(|key| key.deadline)).flatten();
    #[cfg(test)]
    if clock::virtual_time::advance(next_timer) {
        return Ok(());
    }
    let wait = next_timer.map(|at| at.saturating_duration_since(clock::now()));
    match poll.poll(events, wait) {
        Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
        _ => Ok(()),
    }
}

/// Polls a routine once, or drops it if it was cancelled.
fn run_routine(slot_index: usize) {
    let taken = with(|executor| {
        let slot = executor.slots.get_mut(slot_index)?.as_mut()?;
        let future = slot.future.take()?;
        Some((future, slot.waker.clone(), slot.cancelled))
    });
    let Some((mut future, waker, cancelled)) = taken.flatten() else {
        return;
    };
    let is_complete = cancelled
        || future
            .as_mut()
            .poll(&mut Context::from_waker(&waker))
            .is_ready();
    if is_complete {
        // The future is dropped before its slot is freed, because destructors use the executor.
        drop(future);
        with(|executor| {
            executor.slots[slot_index] = None;
            executor.free_slots.push(slot_index);
        });
    } else {
        with(|executor| {
            if let Some(slot) = executor.slots[slot_index].as_mut() {
                slot.future = Some(future);
            }
        });
    }
}

/// Starts a routine that runs until it is complete.
pub(crate) fn spawn(future: impl Future<Output = ()> + 'static) {
    with(|executor| executor.add_routine(Box::pin(future)));
}

/// A set of routines. Dropping the scope cancels all of them.
#[derive(Default)]
pub(crate) struct Scope {
    routines: Vec<RoutineId>,
}

impl Scope {
    /// Starts a routine that runs until it is complete or the scope is dropped.
    pub(crate) fn spawn(&mut self, future: impl Future<Output = ()> + 'static) {
        let routine = with(|executor| executor.add_routine(Box::pin(future)));
        self.routines.extend(routine);
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        for id in &self.routines {
            with(|executor| executor.cancel(*id));
        }
    }
}
