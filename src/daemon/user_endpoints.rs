//! The endpoints for users: submissions, queries and cancellations of jobs.

use super::endpoint::Endpoint;
use super::forwarding;
use super::node::Node;
use crate::http::{Method, Request, Response};
use crate::protocol::path;

/// Returns the user endpoint that a request is counted under.
pub(super) fn endpoint(request: &Request) -> Endpoint {
    match request.method {
        Method::Get => Endpoint::Poll,
        _ if request.target.ends_with(path::CANCEL) => Endpoint::Cancel,
        _ => Endpoint::Submit,
    }
}

/// Returns whether a request submits a job.
pub(super) fn is_submission(request: &Request) -> bool {
    request.method == Method::Post && request.path_without_query() == path::JOBS
}

/// Answers a submission on this node or, if it cannot be written here, through a peer. The peer is
/// asked before the job is looked up here, because the lookup would only delay a new job. If a peer
/// responds, it has looked the job up; otherwise this node does.
pub(super) async fn submit(node: &Node, request: &Request) -> Response {
    match node.api.try_submit(&request.body).await {
        Ok(response) if response.status == 503 => forwarding::forward_request(node, request)
            .await
            .unwrap_or(response),
        Ok(response) => response,
        Err(unwritten) => match forwarding::forward_to_peer_with_store(node, request).await {
            Some(response) if forwarding::is_conclusive(&response) => response,
            Some(_) => node.api.respond_retry_later(unwritten),
            None => node.api.respond_from_lookup(unwritten).await,
        },
    }
}

/// Answers a user's request on this node. Returns `None` if the path is not a user endpoint.
pub(super) async fn respond(node: &Node, request: &Request) -> Option<Response> {
    let rest = request.path_without_query().strip_prefix(path::JOBS)?;
    if rest.is_empty() {
        return Some(match request.method {
            Method::Post => node.api.submit(&request.body).await,
            _ => Response::wrong_method("POST"),
        });
    }
    let job = rest.strip_prefix('/').filter(|job| !job.is_empty())?;
    match (request.method, job.split_once('/')) {
        (Method::Get, None) => Some(node.api.poll(job).await),
        (_, None) => Some(Response::wrong_method("GET")),
        (Method::Post, Some((id, path::CANCEL))) => Some(node.api.cancel(id).await),
        (_, Some((_, path::CANCEL))) => Some(Response::wrong_method("POST")),
        _ => None,
    }
}
