//! The status that controllers send each other all the time.
//!
//! A node that alone can't reach the key-value store can then tell that from an outage and forward
//! users' requests, and relays around a network partition are known.

use super::node::Node;
use super::served_peers::PEER_STATUS_INTERVAL;
use crate::peers::Message;
use crate::runtime;
use std::rc::Rc;

/// Sends this node's status to all peers for ever.
pub(super) async fn publish_peer_status(node: Rc<Node>) {
    loop {
        runtime::sleep(PEER_STATUS_INTERVAL).await;
        let now = node.now();
        let status = Message::PeerStatus {
            store_reachable: node.store.is_up(),
            reachable_peers: node.routes.borrow().reachable_peers(now),
            machines_without_direct_heartbeats: node
                .controller
                .borrow()
                .machines_without_direct_heartbeats(now),
        };
        for peer in node.config.peers.keys() {
            node.links.send(peer, status.clone());
        }
        let partitioned = node.routes.borrow().has_partition(now);
        node.controller.borrow_mut().set_partitioned(partitioned);
    }
}
