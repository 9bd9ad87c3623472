//! The routine that ticks the controller when no other input arrives.

use super::node::Node;
use crate::ids::UnixTime;
use crate::runtime;
use std::rc::Rc;
use std::time::Duration;

const MIN_TICK_INTERVAL_MS: u64 = 5;
const MAX_TICK_INTERVAL_MS: u64 = 100;

/// Ticks the controller when its next work is due, at intervals from `MIN_TICK_INTERVAL_MS` to
/// `MAX_TICK_INTERVAL_MS`.
pub(super) async fn tick_loop(node: Rc<Node>) {
    loop {
        let now = node.now();
        let next_tick = node.controller.borrow().next_tick_at(now);
        let wait = next_tick
            .since(now)
            .0
            .clamp(MIN_TICK_INTERVAL_MS, MAX_TICK_INTERVAL_MS);
        runtime::sleep(Duration::from_millis(wait)).await;
        node.update(|controller, now| {
            controller.set_store_write_rate(node.store.rates().writes);
            controller.tick(now, UnixTime::now())
        });
    }
}
