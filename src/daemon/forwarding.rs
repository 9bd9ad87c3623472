//! What a peer has to decide, over the link: users' requests while the key-value store serves others
//! but not this controller, and reports of workers that can't reach the shard owner of their machine.

use super::{Node, PEER_STATUS_INTERVAL, http_routes};
use crate::http::{Method, Request, Response};
use crate::ids::{MachineId, Member};
use crate::peers::Message;
use crate::protocol::path;
use crate::runtime::{self, Sender, oneshot};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// More at a time than this are refused at once.
const MAX_FORWARDED: usize = 500;

#[derive(Default)]
pub(super) struct ForwardedRequests {
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Sender<Response>>>,
}

impl ForwardedRequests {
    pub(super) fn complete(&self, id: u64, status: u16, body: Vec<u8>) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            waiting.send(Response::new(status, body));
        }
    }
}

/// Asks a peer that the key-value store serves. `None`: there is none, or it did not answer.
pub(super) async fn forward_request(node: &Rc<Node>, request: &Request) -> Option<Response> {
    let peer = {
        let served = node.peers_served.borrow();
        let recent = served
            .iter()
            .filter(|(_, at)| at.elapsed() < 3 * PEER_STATUS_INTERVAL);
        recent.max_by_key(|(_, at)| **at).map(|(m, _)| m.clone())?
    };
    let response = forward_to(node, &peer, request).await;
    response.filter(|r| r.status < 500)
}

/// Hands a worker's heartbeat on to the shard owner of its machine, which it perhaps can't reach.
pub(super) async fn forward_heartbeat(
    node: &Rc<Node>,
    owner: &Member,
    machine: &MachineId,
    request: &Request,
) -> Option<Response> {
    let now = node.now();
    if !node.routes.borrow().may_be_missing(now, owner, machine) {
        return None;
    }
    let response = forward_to(node, owner, request).await;
    response.filter(|r| r.status == 200)
}

async fn forward_to(node: &Rc<Node>, peer: &Member, request: &Request) -> Option<Response> {
    if node.forwarded.waiting.borrow().len() >= MAX_FORWARDED {
        return None;
    }
    let id = node.forwarded.next.get() + 1;
    node.forwarded.next.set(id);
    let (answer_forwarded, result) = oneshot();
    node.forwarded
        .waiting
        .borrow_mut()
        .insert(id, answer_forwarded);
    let message = Message::ForwardedRequest {
        id,
        post: request.method == Method::Post,
        path: request.path.clone(),
        body: request.body.clone(),
    };
    node.send(peer, message);
    let response = runtime::timeout(FORWARD_TIMEOUT, result.get())
        .await
        .flatten();
    node.forwarded.waiting.borrow_mut().remove(&id);
    response
}

/// Decides a peer's request here; it is never handed on again.
pub(super) async fn answer_forwarded(
    node: Rc<Node>,
    from: Member,
    id: u64,
    post: bool,
    path: String,
    body: Vec<u8>,
) {
    let method = if post { Method::Post } else { Method::Get };
    let request = Request { method, path, body };
    let response = if post && request.path == path::HEARTBEAT {
        http_routes::relayed_heartbeat(&node, &request.body)
    } else {
        http_routes::user_request(&node, &request)
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
