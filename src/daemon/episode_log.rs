//! The routine that logs when series of repeated events have ended: refused requests, and requests
//! of users that remain unanswered.

use super::node::Node;
use crate::runtime;
use std::rc::Rc;
use std::time::Duration;

const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Logs ended episodes every `SCAN_INTERVAL`; never returns.
pub(super) async fn log_ended_episodes(node: Rc<Node>) {
    loop {
        runtime::sleep(SCAN_INTERVAL).await;
        node.store.log_ended_refusals();
        node.api.log_ended_episodes();
        let ended_rentals = node.refused_rentals.borrow_mut().take_ended(node.now());
        for (request, episode) in ended_rentals {
            let refusals = episode.count;
            tracing::info!(
                request,
                refusals,
                "refused scale-out request is no longer repeated"
            );
        }
    }
}
