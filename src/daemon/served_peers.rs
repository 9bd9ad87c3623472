//! Which peers the key-value store serves, as far as they say so.

use crate::ids::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How often each controller sends its status to its peers.
pub(super) const PEER_STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// A peer's status counts until so many more are missing.
const STATUS_LIFETIME_INTERVALS: u32 = 3;

/// When each peer that the key-value store serves last said so.
#[derive(Default)]
pub(super) struct ServedPeers {
    last_served: RefCell<BTreeMap<MemberId, Instant>>,
}

impl ServedPeers {
    /// Takes over what a peer's status says of the key-value store.
    pub(super) fn record(&self, peer: &MemberId, store_reachable: bool) {
        let mut last_served = self.last_served.borrow_mut();
        if store_reachable {
            last_served.insert(peer.clone(), Instant::now());
        } else {
            last_served.remove(peer);
        }
    }

    /// The peer with the latest status, among those whose status is recent.
    pub(super) fn latest(&self) -> Option<MemberId> {
        let last_served = self.last_served.borrow();
        last_served
            .iter()
            .filter(|(_, at)| at.elapsed() < STATUS_LIFETIME_INTERVALS * PEER_STATUS_INTERVAL)
            .max_by_key(|(_, at)| **at)
            .map(|(peer, _)| peer.clone())
    }
}
