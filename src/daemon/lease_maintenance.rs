//! The routine that maintains the controller's lease in the key-value store.

use super::node::Node;
use crate::ids::MonotonicTime;
use crate::leadership::keep_lease;
use crate::runtime;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Acquires a lease once the watch cache is loaded and keeps renewing it. Reports to the controller
/// each new lease, each loss of the lease, and the time until which the lease is guaranteed to be
/// valid.
pub(super) async fn maintain_lease(node: Rc<Node>) {
    // The leader assigns shards to every holder of a lease. This controller must know the records
    // of a shard before it owns it, so the watch cache is loaded first.
    while !node.watch_cache_loaded.get() {
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
            tracing::info!(
                held = lease.is_some(),
                "controller's lease acquired or lost"
            );
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
