//! Announces cancellations to the other controllers and waits until the tasks are proved gone.

use super::node::Node;
use crate::api::Cancellation;
use crate::ids::{CancellationRoundId, Millis};
use crate::runtime::{self, Receiver};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Shorter than the time that a request may take when it is forwarded to a peer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// A stop command is mostly answered within this.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Starts a routine for each cancellation that must be confirmed.
pub(super) async fn confirm_cancellations(
    node: Rc<Node>,
    mut cancellations: Receiver<Cancellation>,
) {
    while let Some(cancellation) = cancellations.recv().await {
        runtime::spawn(confirm(node.clone(), cancellation));
    }
}

async fn confirm(node: Rc<Node>, cancellation: Cancellation) {
    let begun = Instant::now();
    let age = cancellation
        .sent_at
        .map_or(Duration::ZERO, |at| at.elapsed());
    let age = Millis(age.as_millis() as u64);
    let job = &cancellation.job;
    let round = node.update_and_get(|controller, now| {
        controller.announce_cancellation(now, job, cancellation.revision, age)
    });
    let settled = wait_until_settled(&node, round, begun).await;
    node.controller.borrow_mut().close_cancellation_round(round);
    let took = begun.elapsed();
    tracing::debug!(%job, settled, ?took, "cancellation");
    cancellation.settled.send(settled);
}

/// Polls a round, and asks again whoever has not acknowledged it. `false`: the time is over.
async fn wait_until_settled(node: &Rc<Node>, round: CancellationRoundId, begun: Instant) -> bool {
    let is_settled = || {
        node.controller
            .borrow_mut()
            .is_cancellation_complete(node.now(), round)
    };
    let mut last_asked = begun;
    let mut settled = is_settled();
    while !settled && begun.elapsed() < CONFIRMATION_TIMEOUT {
        runtime::sleep(POLL_INTERVAL).await;
        settled = is_settled();
        if !settled && last_asked.elapsed() >= RETRY_INTERVAL {
            last_asked = Instant::now();
            node.update(|controller, now| controller.send_cancellation(now, round));
        }
    }
    settled
}
