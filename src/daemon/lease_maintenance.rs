//! The routine that holds the controller's lease in the key-value store.

use super::node::Node;
use crate::ids::MonotonicTime;
use crate::leadership::keep_lease;
use crate::runtime;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Holds a lease from the moment that the watch cache is loaded, and reports to the controller
/// each new lease, each loss, and until when the lease is certain.
pub(super) async fn maintain_lease(node: Rc<Node>) {
    // Whoever holds a lease is given shards: not before the watch cache shows what is in them.
    while !node.loaded.get() {
        runtime::sleep(LOADED_POLL_INTERVAL).await;
    }
    keep_lease(
        node.store.clone(),
        node.config.member.clone(),
        node.incarnation,
        || {
            node.controller
                .borrow()
                .cache
                .settings()
                .lease_duration()
                .to_duration()
        },
        |lease| {
            tracing::info!(held = lease.is_some(), "lease");
            node.update(|controller, now| controller.set_lease(now, lease));
        },
        |deadline| set_lease_deadline(&node, deadline),
    )
    .await;
}

fn set_lease_deadline(node: &Node, deadline: Instant) {
    let deadline = deadline.saturating_duration_since(node.started);
    let deadline = MonotonicTime(deadline.as_millis() as u64);
    node.controller.borrow_mut().set_lease_deadline(deadline);
}
