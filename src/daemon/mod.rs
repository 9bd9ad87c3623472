//! The process of one controller: the sockets, routines and clocks around the decisions of
//! [`Controller`](crate::controller::Controller).
//!
//! [`Node`] is the state that all routines share. Each routine and each group of endpoints has its
//! own module. They pass inputs to the controller through `Node::update`, and `Node::execute`
//! carries out the effects that the controller returns.

mod admin_endpoints;
mod cloud_calls;
mod effects;
mod endpoint;
mod episode_log;
mod forwarding;
mod heartbeat_endpoint;
mod http_routes;
mod lease_maintenance;
mod membership_log;
mod node;
mod peer_messages;
mod peer_status;
mod peer_store_access;
mod status_report;
mod store_watch;
mod tick_loop;
mod user_endpoints;

use crate::api::{Cancellation, confirm_cancellations};
use crate::config::Config;
use crate::http;
use crate::peers::listen;
use crate::runtime::{self, Receiver, Scope, TcpListener, channel};
use crate::store::records::ProgramVersion;
use node::Node;
use std::rc::Rc;

/// Runs a controller on the current thread until the process is terminated.
///
/// If the sockets cannot be bound, the error is logged and the process exits with code 1.
///
/// # Errors
///
/// Returns the error of the event loop if it cannot be started or if polling for events fails.
pub fn run(config: Config) -> std::io::Result<()> {
    runtime::run(async move {
        if let Err(error) = start(config).await {
            tracing::error!(%error, "cannot start");
            std::process::exit(1);
        }
    })
}

/// Binds the sockets, starts all routines and serves HTTP until the process is terminated.
async fn start(config: Config) -> std::io::Result<()> {
    let http_listener = TcpListener::bind(config.listen)?;
    let peer_listener = TcpListener::bind(config.peer_listen)?;
    let mut scope = Scope::default();
    let (cancellation_sender, cancellations) = channel();
    let node = Rc::new(Node::new(config, cancellation_sender, &mut scope));
    let version = ProgramVersion::CURRENT.0;
    tracing::info!(
        member = %node.config.member, incarnation = %node.incarnation, version,
        "controller started"
    );
    spawn_routines(&node, peer_listener, cancellations, &mut scope);
    serve_http(node, http_listener).await;
    Ok(())
}

fn spawn_routines(
    node: &Rc<Node>,
    peer_listener: TcpListener,
    cancellations: Receiver<Cancellation>,
    scope: &mut Scope,
) {
    scope.spawn(lease_maintenance::maintain_lease(node.clone()));
    scope.spawn(store_watch::watch_store(node.clone()));
    scope.spawn(tick_loop::tick_loop(node.clone()));
    scope.spawn(episode_log::log_ended_episodes(node.clone()));
    scope.spawn(peer_status::publish_peer_status(node.clone()));
    scope.spawn(confirm_cancellations(node.clone(), cancellations));
    let receiver = node.clone();
    scope.spawn(listen(
        peer_listener,
        Rc::new(move |from, message| receiver.on_peer_message(&from, message)),
    ));
}

async fn serve_http(node: Rc<Node>, listener: TcpListener) {
    // The remaining 40 % of the sockets are for peers, workers, the cloud and the key-value store.
    let connection_limit = node.config.max_sockets * 6 / 10;
    http::serve(listener, connection_limit, move |request| {
        http_routes::route(node.clone(), request)
    })
    .await;
}
