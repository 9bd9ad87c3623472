//! Handles messages from peers. Statuses, relayed messages, and forwarded requests with their
//! responses are handled here; all others are inputs of the controller.

use super::node::Node;
use super::{heartbeat_endpoint, user_endpoints};
use crate::http::{Method, Request, Response};
use crate::ids::{ForwardedRequestId, MachineId, MemberId};
use crate::peers::Message;
use crate::protocol::path;
use crate::runtime;
use std::rc::Rc;

impl Node {
    /// Handles a message from `from`, which was sent directly or through a relay.
    pub(super) fn on_peer_message(self: &Rc<Self>, from: &MemberId, message: Message) {
        match message {
            Message::PeerStatus {
                store_reachable,
                reachable_peers,
                machines_without_direct_heartbeats,
            } => self.on_peer_status(
                from,
                store_reachable,
                reachable_peers,
                machines_without_direct_heartbeats,
            ),
            Message::Relay { to, from, message } => self.on_relay(to, from, message),
            Message::ForwardedRequest {
                id,
                is_post,
                path,
                body,
            } => {
                let method = if is_post { Method::Post } else { Method::Get };
                let request = Request {
                    method,
                    target: path,
                    body,
                };
                runtime::spawn(answer_forwarded_request(
                    self.clone(),
                    from.clone(),
                    id,
                    request,
                ));
            }
            Message::ForwardedResponse { id, status, body } => {
                let waiter = self.pending_forwards.borrow_mut().complete(id, from);
                if let Some(waiter) = waiter {
                    waiter.send(Response::new(status, body));
                }
            }
            message => {
                self.update(|controller, now| controller.on_peer_message(now, from, message))
            }
        }
    }

    fn on_peer_status(
        &self,
        from: &MemberId,
        store_reachable: bool,
        reachable_peers: Vec<MemberId>,
        machines_without_direct_heartbeats: Vec<MachineId>,
    ) {
        self.relay_routes.borrow_mut().on_peer_status(
            self.now(),
            from,
            reachable_peers,
            machines_without_direct_heartbeats,
        );
        self.peer_store_access.record(from, store_reachable);
    }

    /// Delivers a relayed message, or sends it on directly. It is never relayed a second time,
    /// because its sender has chosen a relay that reaches the receiver.
    fn on_relay(self: &Rc<Self>, to: MemberId, from: MemberId, message: Box<Message>) {
        if to == self.config.member {
            self.on_peer_message(&from, *message);
            return;
        }
        let recipient = to.clone();
        self.links
            .send(&recipient, Message::Relay { to, from, message });
    }
}

/// Answers a request that a peer forwarded. The request is never forwarded again.
async fn answer_forwarded_request(
    node: Rc<Node>,
    from: MemberId,
    id: ForwardedRequestId,
    request: Request,
) {
    let response = if request.method == Method::Post && request.target == path::HEARTBEAT {
        heartbeat_endpoint::answer_relayed_heartbeat(&node, &request.body)
    } else {
        user_endpoints::respond(&node, &request)
            .await
            .unwrap_or_else(|| Response::error(404, "no such path"))
    };
    let reply = Message::ForwardedResponse {
        id,
        status: response.status,
        body: response.body,
    };
    node.send(&from, reply);
}
