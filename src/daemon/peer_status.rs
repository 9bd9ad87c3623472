//! The routine that sends this controller's status to its peers at short intervals.
//!
//! From the statuses, a node that cannot reach the key-value store learns whether a peer can and
//! forwards users' requests to it. The statuses also show which controllers can relay messages
//! around a network partition.

use super::node::Node;
use super::peer_store_access::PEER_STATUS_INTERVAL;
use crate::peers::Message;
use crate::runtime;
use std::rc::Rc;

/// Sends this node's status to all peers every `PEER_STATUS_INTERVAL`; never returns.
pub(super) async fn publish_peer_status(node: Rc<Node>) {
    loop {
        runtime::sleep(PEER_STATUS_INTERVAL).await;
        let now = node.now();
        let status = Message::PeerStatus {
            store_reachable: node.store.is_up(),
            reachable_peers: node.relay_routes.borrow().reachable_peers(now),
            machines_without_direct_heartbeats: node
                .controller
                .borrow()
                .machines_without_direct_heartbeats(now),
        };
        for peer in node.config.peers.keys() {
            node.links.send(peer, status.clone());
        }
        let partitioned = node.relay_routes.borrow().has_partition(now);
        node.controller.borrow_mut().set_partitioned(partitioned);
    }
}
