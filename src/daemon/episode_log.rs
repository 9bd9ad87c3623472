//! The routine that logs the end of episodes: of refused requests, and of questions without answers.

use super::node::Node;
use crate::runtime;
use std::rc::Rc;
use std::time::Duration;

const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Logs for ever what is over.
pub(super) async fn log_ended_episodes(node: Rc<Node>) {
    loop {
        runtime::sleep(SCAN_INTERVAL).await;
        node.store.log_ended_refusals();
        node.api.log_ended_episodes();
        let given_up = node.refused_rentals.borrow_mut().take_ended(node.now());
        for (request, episode) in given_up {
            let refusals = episode.count;
            tracing::info!(request, refusals, "scale-out request given up");
        }
    }
}
