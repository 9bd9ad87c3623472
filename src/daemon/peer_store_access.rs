//! Which peers reach the key-value store, according to their own statuses.

use crate::ids::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval at which each controller sends its status to its peers.
pub(super) const PEER_STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// Number of status intervals after which a peer's last status has expired.
const STATUS_EXPIRY_INTERVALS: u32 = 3;

/// For each peer that reaches the key-value store, the time at which its last status was received.
#[derive(Default)]
pub(super) struct PeerStoreAccess {
    last_reported: RefCell<BTreeMap<MemberId, Instant>>,
}

impl PeerStoreAccess {
    /// Records whether a peer reaches the key-value store, as its status says.
    pub(super) fn record(&self, peer: &MemberId, store_reachable: bool) {
        let mut last_reported = self.last_reported.borrow_mut();
        if store_reachable {
            last_reported.insert(peer.clone(), Instant::now());
        } else {
            last_reported.remove(peer);
        }
    }

    /// Returns the peer with the most recent status that has not expired.
    pub(super) fn most_recent_peer(&self) -> Option<MemberId> {
        let last_reported = self.last_reported.borrow();
        last_reported
            .iter()
            .filter(|(_, at)| at.elapsed() < STATUS_EXPIRY_INTERVALS * PEER_STATUS_INTERVAL)
            .max_by_key(|(_, at)| **at)
            .map(|(peer, _)| peer.clone())
    }
}
