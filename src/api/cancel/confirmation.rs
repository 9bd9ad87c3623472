//! Announces cancellations to the other controllers and waits until no task of the job can still be
//! running.

use super::node::Node;
use crate::api::Cancellation;
use crate::ids::{CancellationRoundId, Millis};
use crate::runtime::{self, Receiver};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limits the wait for a confirmation. It is shorter than the timeout of a request that is
/// forwarded to a peer, so that the peer can still respond.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two checks of whether the cancellation round is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Delay before the announcement is sent again. Workers answer most stop commands within this time.
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
    let started_at = Instant::now();
    let age = cancellation
        .sent_at
        .map_or(Duration::ZERO, |at| at.elapsed());
    let age = Millis(age.as_millis() as u64);
    let job = &cancellation.job;
    let round = node.update_and_get(|controller, now| {
        controller.announce_cancellation(now, job, cancellation.revision, age)
    });
    let settled = wait_until_settled(&node, round, started_at).await;
    node.controller.borrow_mut().close_cancellation_round(round);
    let took = started_at.elapsed();
    tracing::debug!(%job, settled, ?took, "finished waiting for a cancelled job's tasks to stop");
    cancellation.settled.send(settled);
}

/// Polls a cancellation round and repeats the announcement to all other controllers until the round
/// is complete. Returns `false` if it is not complete within `CONFIRMATION_TIMEOUT`.
async fn wait_until_settled(
    node: &Rc<Node>,
    round: CancellationRoundId,
    started_at: Instant,
) -> bool {
    let is_settled = || {
        node.controller
            .borrow_mut()
            .is_cancellation_complete(node.now(), round)
    };
    let mut last_sent_at = started_at;
    let mut settled = is_settled();
    while !settled && started_at.elapsed() < CONFIRMATION_TIMEOUT {
        runtime::sleep(POLL_INTERVAL).await;
        settled = is_settled();
        if !settled && last_sent_at.elapsed() >= RETRY_INTERVAL {
            last_sent_at = Instant::now();
            node.update(|controller, now| controller.send_cancellation(now, round));
        }
    }
    settled
}
