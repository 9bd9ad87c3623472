//! Unbounded channels between the routines of one thread.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

struct Shared<T> {
    queue: VecDeque<T>,
    receiver_waker: Option<Waker>,
    senders: usize,
}

/// The sending end of a channel. The channel closes when the last sender is dropped.
pub(crate) struct Sender<T>(Rc<RefCell<Shared<T>>>);

/// The receiving end of a channel.
pub(crate) struct Receiver<T>(Rc<RefCell<Shared<T>>>);

/// Creates a channel with one sender.
pub(crate) fn channel<T>() -> (Sender<T>, Receiver<T>) {
    let shared = Rc::new(RefCell::new(Shared {
        queue: VecDeque::new(),
        receiver_waker: None,
        senders: 1,
    }));
    (Sender(shared.clone()), Receiver(shared))
}

impl<T> Sender<T> {
    /// Appends a value to the queue and wakes the receiver.
    pub(crate) fn send(&self, value: T) {
        let mut shared = self.0.borrow_mut();
        shared.queue.push_back(value);
        if let Some(waker) = shared.receiver_waker.take() {
            waker.wake();
        }
    }

    /// Returns the number of unread values. The queue is unbounded, so senders that need a limit
    /// check this number.
    pub(crate) fn backlog(&self) -> usize {
        self.0.borrow().queue.len()
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        self.0.borrow_mut().senders += 1;
        Self(self.0.clone())
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let mut shared = self.0.borrow_mut();
        shared.senders -= 1;
        if shared.senders == 0
            && let Some(waker) = shared.receiver_waker.take()
        {
            waker.wake();
        }
    }
}

impl<T> Receiver<T> {
    /// Waits for the next value. Returns `None` once the queue is empty and all senders are
    /// dropped.
    pub(crate) async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| {
            let mut shared = self.0.borrow_mut();
            if let Some(value) = shared.queue.pop_front() {
                return Poll::Ready(Some(value));
            }
            if shared.senders == 0 {
                return Poll::Ready(None);
            }
            shared.receiver_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Returns the number of unread values.
    pub(crate) fn backlog(&self) -> usize {
        self.0.borrow().queue.len()
    }

    /// Removes and returns the next value, if there is one.
    pub(crate) fn try_recv(&mut self) -> Option<T> {
        self.try_recv_if(|_| true)
    }

    /// Removes and returns the next value if there is one and `accept` returns true for it.
    /// Otherwise the value stays in the queue.
    pub(crate) fn try_recv_if(&mut self, accept: impl FnOnce(&T) -> bool) -> Option<T> {
        let mut shared = self.0.borrow_mut();
        let accepted = shared.queue.front().is_some_and(accept);
        accepted.then(|| shared.queue.pop_front()).flatten()
    }
}

/// The receiving end of a channel for a single value.
pub(crate) struct Oneshot<T>(Receiver<T>);

/// Creates a channel for a single value.
pub(crate) fn oneshot<T>() -> (Sender<T>, Oneshot<T>) {
    let (sender, receiver) = channel();
    (sender, Oneshot(receiver))
}

impl<T> Oneshot<T> {
    /// Waits for the value. Returns `None` if all senders are dropped without sending one.
    pub(crate) async fn get(mut self) -> Option<T> {
        self.0.recv().await
    }
}
