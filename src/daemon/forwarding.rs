//! Forwards over the links what a peer has to decide: users' requests while the key-value store
//! serves others but not this controller, and heartbeats of workers that can't reach the shard
//! owner of their machine.

use super::node::Node;
use crate::http::{Method, Request, Response};
use crate::ids::{MachineId, MemberId};
use crate::peers::Message;
use crate::runtime;
use std::time::Duration;

const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Asks a peer that the key-value store serves. `None`: there is none, or it could not decide.
pub(super) async fn forward_request(node: &Node, request: &Request) -> Option<Response> {
    let response = ask_served_peer(node, request).await;
    response.filter(is_decided)
}

/// The answer of a peer that the key-value store serves, decided or not. `None`: there is none.
pub(super) async fn ask_served_peer(node: &Node, request: &Request) -> Option<Response> {
    let peer = node.served_peers.latest()?;
    forward_to(node, &peer, request).await
}

/// Whether an answer is more than a request to come back.
pub(super) fn is_decided(response: &Response) -> bool {
    response.status < 500
}

/// Passes a worker's heartbeat on to the shard owner of its machine. `None`: the worker should
/// send it there itself.
pub(super) async fn forward_heartbeat(
    node: &Node,
    owner: &MemberId,
    machine: &MachineId,
    request: &Request,
) -> Option<Response> {
    let now = node.now();
    if !node
        .routes
        .borrow()
        .should_relay_heartbeat(now, owner, machine)
    {
        return None;
    }
    let response = forward_to(node, owner, request).await;
    response.filter(|response| response.status == 200)
}

async fn forward_to(node: &Node, peer: &MemberId, request: &Request) -> Option<Response> {
    let pending = node.pending_forwards.register()?;
    let message = Message::ForwardedRequest {
        id: pending.id,
        is_post: request.method == Method::Post,
        path: request.target.clone(),
        body: request.body.clone(),
    };
    node.send(peer, message);
    let response = runtime::timeout(FORWARD_TIMEOUT, pending.response.get())
        .await
        .flatten();
    node.pending_forwards.remove(pending.id);
    response
}
