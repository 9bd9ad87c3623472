//! Requests that were forwarded to peers and not yet answered.

use crate::http::Response;
use crate::runtime::{Oneshot, Sender, oneshot};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// More requests than this at a time are not forwarded.
const MAX_PENDING_FORWARDS: usize = 500;

/// The forwarded requests that still wait for their responses, by id.
#[derive(Default)]
pub(super) struct PendingForwards {
    last_id: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Sender<Response>>>,
}

/// A request that may be forwarded under its id.
pub(super) struct PendingForward {
    /// Returned by the peer with its response.
    pub(super) id: u64,
    /// The peer's response.
    pub(super) response: Oneshot<Response>,
}

impl PendingForwards {
    /// Registers a request. `None`: too many are waiting.
    pub(super) fn register(&self) -> Option<PendingForward> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_PENDING_FORWARDS {
            return None;
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (sender, response) = oneshot();
        waiting.insert(id, sender);
        Some(PendingForward { id, response })
    }

    /// Passes a peer's response to whoever waits for it; one that comes too late is dropped.
    pub(super) fn complete(&self, id: u64, response: Response) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            sender.send(response);
        }
    }

    /// Gives up a request.
    pub(super) fn remove(&self, id: u64) {
        self.waiting.borrow_mut().remove(&id);
    }
}
