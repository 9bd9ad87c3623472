//! Requests that were forwarded to peers and have no response yet.

use crate::http::Response;
use crate::runtime::{Oneshot, Sender, oneshot};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Largest number of pending forwarded requests. Requests beyond it are not forwarded.
const MAX_PENDING_FORWARDS: usize = 500;

/// The forwarded requests that have no response yet, by id.
#[derive(Default)]
pub(super) struct PendingForwards {
    last_id: Cell<u64>,
    pending: RefCell<BTreeMap<u64, Sender<Response>>>,
}

/// A registered request that can now be forwarded.
pub(super) struct PendingForward {
    /// The id that the peer returns with its response.
    pub(super) id: u64,
    /// Resolves to the peer's response.
    pub(super) response: Oneshot<Response>,
}

impl PendingForwards {
    /// Registers a request. Returns `None` if `MAX_PENDING_FORWARDS` requests are pending.
    pub(super) fn register(&self) -> Option<PendingForward> {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING_FORWARDS {
            return None;
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (sender, response) = oneshot();
        pending.insert(id, sender);
        Some(PendingForward { id, response })
    }

    /// Passes a peer's response to the pending request. A response that arrives after the request
    /// was removed is dropped.
    pub(super) fn complete(&self, id: u64, response: Response) {
        if let Some(sender) = self.pending.borrow_mut().remove(&id) {
            sender.send(response);
        }
    }

    /// Removes a request whose response is no longer awaited.
    pub(super) fn remove(&self, id: u64) {
        self.pending.borrow_mut().remove(&id);
    }
}
