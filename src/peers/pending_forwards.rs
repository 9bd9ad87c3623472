//! Requests that were forwarded to peers and have no response yet.
//!
//! A peer answers whenever it can: a paused one seconds later, when the process that forwarded the
//! request may have been replaced. So no two processes of a controller use the same ids, and only the
//! peer that was asked can answer.

use crate::ids::{ForwardedRequestId, Incarnation, MemberId};
use std::collections::BTreeMap;

/// Largest number of pending forwarded requests. Requests beyond it are not forwarded.
const MAX_PENDING_FORWARDS: usize = 500;

/// A forwarded request that waits for its response.
#[derive(Debug)]
struct PendingForward<W> {
    /// The peer that the request was forwarded to.
    peer: MemberId,
    /// Who waits for the response.
    waiter: W,
}

/// The forwarded requests of one process that have no response yet, with those who wait for the
/// responses.
#[derive(Debug)]
pub(crate) struct PendingForwards<W> {
    last_id: ForwardedRequestId,
    pending: BTreeMap<ForwardedRequestId, PendingForward<W>>,
}

impl<W> PendingForwards<W> {
    /// Creates a table without requests. The ids start at the incarnation of the process, which is
    /// random: the ids of two processes overlap only if their incarnations differ by less than the
    /// number of requests that the earlier one has forwarded.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            last_id: ForwardedRequestId(incarnation.0),
            pending: BTreeMap::new(),
        }
    }

    /// Registers a request that is forwarded to `peer`. Returns the id that the peer repeats in its
    /// response, or `None` if [`MAX_PENDING_FORWARDS`] requests are pending.
    pub(crate) fn register(&mut self, peer: &MemberId, waiter: W) -> Option<ForwardedRequestId> {
        if self.pending.len() >= MAX_PENDING_FORWARDS {
            return None;
        }
        let id = ForwardedRequestId(self.last_id.0.wrapping_add(1));
        self.last_id = id;
        let forward = PendingForward {
            peer: peer.clone(),
            waiter,
        };
        self.pending.insert(id, forward);
        Some(id)
    }

    /// Removes the request that a response from the peer `from` answers, and returns who waits for it.
    /// Returns `None` if the request is no longer awaited, was forwarded by an earlier process of this
    /// controller, or was forwarded to another peer.
    pub(crate) fn complete(&mut self, id: ForwardedRequestId, from: &MemberId) -> Option<W> {
        let is_asked_peer = self.pending.get(&id)?.peer == *from;
        is_asked_peer.then(|| self.remove(id)).flatten()
    }

    /// Removes a request whose response is no longer awaited, and returns who waited for it.
    pub(crate) fn remove(&mut self, id: ForwardedRequestId) -> Option<W> {
        self.pending.remove(&id).map(|forward| forward.waiter)
    }
}

#[cfg(test)]
mod tests;
