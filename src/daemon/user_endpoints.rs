//! The users' endpoints: submissions, queries and cancellations of jobs.

use super::endpoint::Endpoint;
use super::forwarding;
use super::node::Node;
use crate::http::{Method, Request, Response};
use crate::protocol::path;

/// Which of the users' endpoints a request is for.
pub(super) fn endpoint(request: &Request) -> Endpoint {
    match request.method {
        Method::Get => Endpoint::Poll,
        _ if request.target.ends_with(path::CANCEL) => Endpoint::Cancel,
        _ => Endpoint::Submit,
    }
}

/// Whether a request submits a job.
pub(super) fn is_submission(request: &Request) -> bool {
    request.method == Method::Post && request.path_without_query() == path::JOBS
}

/// Answers a submission here, or through a peer when it can't be written here. The peer comes before
/// the lookup of the job here, for which a new job would wait in vain; whoever is asked last looks it up.
pub(super) async fn submit(node: &Node, request: &Request) -> Response {
    match node.api.try_submit(&request.body).await {
        Ok(response) if response.status == 503 => forwarding::forward_request(node, request)
            .await
            .unwrap_or(response),
        Ok(response) => response,
        Err(unwritten) => match forwarding::ask_served_peer(node, request).await {
            Some(response) if forwarding::is_decided(&response) => response,
            Some(_) => node.api.respond_retry_later(unwritten),
            None => node.api.respond_from_lookup(unwritten).await,
        },
    }
}

/// Decides a user's request on this node; `None` for paths of others.
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
