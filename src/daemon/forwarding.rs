//! Forwards requests to peers over the links: users' requests while this controller cannot reach
//! the key-value store but a peer can, and heartbeats of workers that cannot reach the shard owner
//! of their machine.

use super::node::Node;
use crate::http::{Method, Request, Response};
use crate::ids::{MachineId, MemberId};
use crate::peers::Message;
use crate::runtime;
use std::time::Duration;

/// Limits the wait for a peer's response to a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Forwards a request to a peer that reaches the key-value store and returns its response. Returns
/// `None` without a response, as [`forward_to_peer_with_store`] does, and if the response only asks
/// to retry (status 500 or above).
pub(super) async fn forward_request(node: &Node, request: &Request) -> Option<Response> {
    let response = forward_to_peer_with_store(node, request).await;
    response.filter(is_conclusive)
}

/// Forwards a request to a peer that reaches the key-value store and returns its response, also one
/// that only asks to retry (status 500 or above). A response that may be outdated is replaced by one
/// that asks to retry. Returns `None` if no such peer is known, it did not respond in time, or too
/// many forwarded requests are pending.
pub(super) async fn forward_to_peer_with_store(node: &Node, request: &Request) -> Option<Response> {
    let peer = node.peer_store_access.most_recent_peer()?;
    let forwarded_at = node.now();
    let response = forward_to(node, &peer, request).await?;
    Some(node.api.check_forwarded(response, forwarded_at))
}

/// Returns whether a response settles the request. A status of 500 or above only asks the user to
/// retry.
pub(super) fn is_conclusive(response: &Response) -> bool {
    response.status < 500
}

/// Forwards a worker's heartbeat to the shard owner of its machine. Returns `None` if the worker
/// should send the heartbeat to the owner itself.
pub(super) async fn forward_heartbeat(
    node: &Node,
    owner: &MemberId,
    machine: &MachineId,
    request: &Request,
) -> Option<Response> {
    let now = node.now();
    if !node
        .relay_routes
        .borrow()
        .should_relay_heartbeat(now, owner, machine)
    {
        return None;
    }
    let response = forward_to(node, owner, request).await;
    response.filter(|response| response.status == 200)
}

async fn forward_to(node: &Node, peer: &MemberId, request: &Request) -> Option<Response> {
    let (sender, response) = runtime::oneshot();
    let id = node.pending_forwards.borrow_mut().register(peer, sender)?;
    let message = Message::ForwardedRequest {
        id,
        is_post: request.method == Method::Post,
        path: request.target.clone(),
        body: request.body.clone(),
    };
    node.send(peer, message);
    let response = runtime::timeout(FORWARD_TIMEOUT, response.get())
        .await
        .flatten();
    node.pending_forwards.borrow_mut().remove(id);
    response
}
