//! The project's own event loop: a single-threaded executor for Rust futures on `mio`.
//!
//! Every connection and every long-lived duty is a routine of its own. Routines are
//! spawned with [`spawn`] and cancelled in order by dropping the [`Scope`] that owns
//! them: the future is dropped at its next turn, and with it all it holds.

mod channel;
mod net;

pub(crate) use channel::{Oneshot, Receiver, Sender, channel, oneshot};
pub(crate) use net::{TcpListener, TcpStream};

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

type Routine = Pin<Box<dyn Future<Output = ()>>>;

/// Routines that were woken and wait for their turn.
#[derive(Default)]
struct ReadyQueue(Mutex<VecDeque<usize>>);

impl ReadyQueue {
    fn push(&self, id: usize) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(id);
    }
    fn pop(&self) -> Option<usize> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }
}

struct RoutineWaker {
    id: usize,
    ready: Arc<ReadyQueue>,
}

impl Wake for RoutineWaker {
    fn wake(self: Arc<Self>) {
        self.ready.push(self.id);
    }
    fn wake_by_ref(self: &Arc<Self>) {
        self.ready.push(self.id);
    }
}

/// What waits for a socket to become readable or writable.
#[derive(Default)]
struct Interest {
    read: Option<Waker>,
    write: Option<Waker>,
}

struct Slot {
    future: Option<Routine>,
    generation: u64,
    waker: Waker,
    cancelled: bool,
}

struct Executor {
    registry: mio::Registry,
    interests: Vec<Option<Interest>>,
    free_interests: Vec<usize>,
    timers: BTreeMap<(Instant, u64), Waker>,
    next_timer: u64,
    slots: Vec<Option<Slot>>,
    free_slots: Vec<usize>,
    next_generation: u64,
    ready: Arc<ReadyQueue>,
}

thread_local! {
    static CURRENT: RefCell<Option<Executor>> = const { RefCell::new(None) };
}

/// Runs `f` on this thread's executor. Nothing that is called inside may call back into it.
fn with<T>(f: impl FnOnce(&mut Executor) -> T) -> Option<T> {
    CURRENT.with(|c| c.try_borrow_mut().ok()?.as_mut().map(f))
}

/// Starts the loop on this thread and runs until `main` is complete.
pub(crate) fn run(main: impl Future<Output = ()> + 'static) -> io::Result<()> {
    let mut poll = mio::Poll::new()?;
    let ready = Arc::new(ReadyQueue::default());
    let executor = Executor {
        registry: poll.registry().try_clone()?,
        interests: Vec::new(),
        free_interests: Vec::new(),
        timers: BTreeMap::new(),
        next_timer: 0,
        slots: Vec::new(),
        free_slots: Vec::new(),
        next_generation: 0,
        ready: ready.clone(),
    };
    CURRENT.with(|c| *c.borrow_mut() = Some(executor));
    let finished = Rc::new(std::cell::Cell::new(false));
    let flag = finished.clone();
    spawn(async move {
        main.await;
        flag.set(true);
    });
    let mut events = mio::Events::with_capacity(256);
    while !finished.get() {
        while let Some(id) = ready.pop() {
            run_slot(id);
            if finished.get() {
                break;
            }
        }
        if finished.get() {
            break;
        }
        let wait = with(|e| e.timers.keys().next().map(|(at, _)| *at))
            .flatten()
            .map(|at| at.saturating_duration_since(Instant::now()));
        match poll.poll(&mut events, wait) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        let mut wakers = Vec::new();
        with(|e| {
            for event in &events {
                let Some(Some(interest)) = e.interests.get_mut(event.token().0) else {
                    continue;
                };
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    wakers.extend(interest.read.take());
                }
                if event.is_writable() || event.is_write_closed() || event.is_error() {
                    wakers.extend(interest.write.take());
                }
            }
            let now = Instant::now();
            while let Some(entry) = e.timers.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                wakers.push(entry.remove());
            }
        });
        for waker in wakers {
            waker.wake();
        }
    }
    // Routines are dropped outside the borrow: their destructors use the executor.
    let left = with(|e| std::mem::take(&mut e.slots));
    drop(left);
    CURRENT.with(|c| *c.borrow_mut() = None);
    Ok(())
}

fn run_slot(id: usize) {
    let taken = with(|e| {
        let slot = e.slots.get_mut(id)?.as_mut()?;
        let cancelled = slot.cancelled;
        slot.future
            .take()
            .map(|f| (f, slot.waker.clone(), cancelled))
    })
    .flatten();
    let Some((mut future, waker, cancelled)) = taken else {
        return;
    };
    let done = cancelled
        || future
            .as_mut()
            .poll(&mut Context::from_waker(&waker))
            .is_ready();
    if done {
        drop(future);
        with(|e| {
            e.slots[id] = None;
            e.free_slots.push(id);
        });
    } else {
        with(|e| {
            if let Some(slot) = e.slots[id].as_mut() {
                slot.future = Some(future);
            }
        });
    }
}

/// Names a routine so that its scope can end it; the generation keeps a reused slot safe.
#[derive(Clone, Copy)]
struct RoutineId {
    slot: usize,
    generation: u64,
}

fn start(future: Routine) -> Option<RoutineId> {
    with(|e| {
        let slot = e.free_slots.pop().unwrap_or_else(|| {
            e.slots.push(None);
            e.slots.len() - 1
        });
        e.next_generation += 1;
        let waker = Waker::from(Arc::new(RoutineWaker {
            id: slot,
            ready: e.ready.clone(),
        }));
        e.slots[slot] = Some(Slot {
            future: Some(future),
            generation: e.next_generation,
            waker,
            cancelled: false,
        });
        e.ready.push(slot);
        RoutineId {
            slot,
            generation: e.next_generation,
        }
    })
}

/// Starts a routine that lives until it returns.
pub(crate) fn spawn(future: impl Future<Output = ()> + 'static) {
    start(Box::pin(future));
}

/// Owns routines: dropping it cancels them all.
#[derive(Default)]
pub(crate) struct Scope {
    routines: Vec<RoutineId>,
}

impl Scope {
    pub(crate) fn spawn(&mut self, future: impl Future<Output = ()> + 'static) {
        self.routines.extend(start(Box::pin(future)));
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        for id in &self.routines {
            with(|e| {
                if let Some(Some(slot)) = e.slots.get_mut(id.slot)
                    && slot.generation == id.generation
                {
                    slot.cancelled = true;
                    e.ready.push(id.slot);
                }
            });
        }
    }
}

/// Completes after a time; its timer is removed when it is dropped early.
pub(crate) struct Sleep {
    at: Instant,
    key: Option<(Instant, u64)>,
}

pub(crate) fn sleep(duration: Duration) -> Sleep {
    Sleep {
        at: Instant::now() + duration,
        key: None,
    }
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let at = self.at;
        if let Some(key) = self.key {
            with(|e| e.timers.insert(key, cx.waker().clone()));
        } else {
            self.key = with(|e| {
                e.next_timer += 1;
                let key = (at, e.next_timer);
                e.timers.insert(key, cx.waker().clone());
                key
            });
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            with(|e| e.timers.remove(&key));
        }
    }
}

/// Runs a future for at most `limit`; `None` means that it was dropped unfinished.
pub(crate) async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    let mut timer = std::pin::pin!(sleep(limit));
    std::future::poll_fn(|cx| {
        if let Poll::Ready(v) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(v));
        }
        timer.as_mut().poll(cx).map(|()| None)
    })
    .await
}

#[cfg(test)]
mod tests;
