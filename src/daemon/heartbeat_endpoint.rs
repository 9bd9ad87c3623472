//! The endpoint for workers' heartbeats, which come from the worker itself or are forwarded by a
//! peer.

use super::forwarding;
use super::node::Node;
use crate::api::ControllerDriver;
use crate::http::{Request, Response};
use crate::protocol::{self, Heartbeat};
use crate::worker_control::HeartbeatAnswer;
use std::rc::Rc;

/// Answers a heartbeat with the worker's commands, or with the shard owner to which the worker
/// should send it.
pub(super) async fn heartbeat(node: &Rc<Node>, request: &Request) -> Response {
    let heartbeat = match Heartbeat::parse(&request.body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    if !node.watch_cache_loaded.get() {
        return Response::retry_later("not ready yet", 1);
    }
    let answer = node.drive(|controller, now| controller.on_heartbeat(now, &heartbeat));
    if let HeartbeatAnswer::Redirect(Some(owner)) = &answer {
        let machine = &heartbeat.machine;
        let forwarded = forwarding::forward_heartbeat(node, owner, machine, request).await;
        if let Some(response) = forwarded {
            return response;
        }
    }
    to_response(answer)
}

/// Answers a heartbeat that a peer forwarded.
pub(super) fn answer_relayed_heartbeat(node: &Rc<Node>, body: &[u8]) -> Response {
    let Ok(heartbeat) = Heartbeat::parse(body) else {
        return Response::error(400, "unreadable report");
    };
    let answer = node.drive(|controller, now| controller.on_relayed_heartbeat(now, &heartbeat));
    to_response(answer.unwrap_or(HeartbeatAnswer::Redirect(None)))
}

fn to_response(answer: HeartbeatAnswer) -> Response {
    match answer {
        HeartbeatAnswer::Commands(token, commands) => {
            Response::new(200, protocol::encode_commands(token, None, &commands))
        }
        HeartbeatAnswer::Redirect(owner) => {
            Response::new(421, protocol::encode_redirect(owner.as_ref()))
        }
    }
}
