//! Routes each HTTP request to its endpoint and records the response.

use super::endpoint::Endpoint;
use super::node::Node;
use super::{admin_endpoints, forwarding, heartbeat_endpoint, user_endpoints};
use crate::http::{Method, Request, Response};
use crate::protocol::path;
use serde_json::json;
use std::rc::Rc;
use std::time::Instant;

const ADMIN_SETTINGS: &str = "/admin/settings";
const ADMIN_STATUS: &str = "/admin/status";

/// A response and the endpoint that produced it.
struct RoutedResponse {
    endpoint: Endpoint,
    response: Response,
}

impl RoutedResponse {
    fn new(endpoint: Endpoint, response: Response) -> Self {
        Self { endpoint, response }
    }

    fn wrong_method(allow: &'static str) -> Self {
        Self::new(Endpoint::Other, Response::wrong_method(allow))
    }
}

/// Answers a request, records the response in the statistics and logs errors.
pub(super) async fn route(node: Rc<Node>, request: Request) -> Response {
    let received = Instant::now();
    let RoutedResponse { endpoint, response } = dispatch(&node, &request).await;
    node.response_stats
        .record(endpoint, response.status, received);
    // Status 421 redirects a heartbeat to the shard owner, which is not an error.
    if response.status >= 400 && response.status != 421 {
        tracing::debug!(
            path = request.target,
            status = response.status,
            body = %String::from_utf8_lossy(&response.body),
            "HTTP request answered with an error"
        );
    }
    response
}

async fn dispatch(node: &Rc<Node>, request: &Request) -> RoutedResponse {
    match (request.method, request.path_without_query()) {
        (Method::Post, path::HEARTBEAT) => {
            let response = heartbeat_endpoint::heartbeat(node, request).await;
            RoutedResponse::new(Endpoint::Heartbeat, response)
        }
        (_, path::HEARTBEAT) => RoutedResponse::wrong_method("POST"),
        (Method::Get, path::READY) => RoutedResponse::new(Endpoint::Ready, readiness(node)),
        (_, path::READY) => RoutedResponse::wrong_method("GET"),
        (Method::Get, ADMIN_STATUS) => {
            RoutedResponse::new(Endpoint::Admin, admin_endpoints::status(node))
        }
        (_, ADMIN_STATUS) => RoutedResponse::wrong_method("GET"),
        (Method::Get, ADMIN_SETTINGS) => {
            RoutedResponse::new(Endpoint::Admin, admin_endpoints::settings(node))
        }
        (Method::Put, ADMIN_SETTINGS) => {
            let response = admin_endpoints::change_settings(node, &request.body).await;
            RoutedResponse::new(Endpoint::Admin, response)
        }
        (_, ADMIN_SETTINGS) => RoutedResponse::wrong_method("GET, PUT"),
        _ => dispatch_to_users(node, request).await,
    }
}

/// Answers a user's request on this node, or through a peer if this node cannot reach the key-value
/// store.
async fn dispatch_to_users(node: &Node, request: &Request) -> RoutedResponse {
    if user_endpoints::is_submission(request) {
        let response = user_endpoints::submit(node, request).await;
        return RoutedResponse::new(Endpoint::Submit, response);
    }
    let Some(response) = user_endpoints::respond(node, request).await else {
        let response = Response::error(404, "no such path");
        return RoutedResponse::new(Endpoint::Other, response);
    };
    let response = match response.status {
        503 => forwarding::forward_request(node, request)
            .await
            .unwrap_or(response),
        _ => response,
    };
    RoutedResponse::new(user_endpoints::endpoint(request), response)
}

fn readiness(node: &Node) -> Response {
    if node.is_ready() {
        Response::json(200, &json!({"ready": true}))
    } else {
        Response::retry_later("not ready", 1)
    }
}
