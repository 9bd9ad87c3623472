//! The users' endpoints: submissions, queries and cancellations of jobs.

use super::endpoint::Endpoint;
use super::node::Node;
use crate::http::{Method, Request, Response};
use crate::protocol::path;

/// Which of the users' endpoints a request is for.
pub(super) fn endpoint(request: &Request) -> Endpoint {
    match request.method {
        Method::Get => Endpoint::Poll,
        _ if request.path.ends_with(path::CANCEL) => Endpoint::Cancel,
        _ => Endpoint::Submit,
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
