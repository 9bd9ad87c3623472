//! Tells the other controllers of cancellations and waits until the tasks are proved gone.

use super::Node;
use crate::api::Cancellation;
use crate::ids::Millis;
use crate::runtime::{self, Receiver};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An answer within the time that a request may take when it is handed on to a peer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// A stop is mostly answered within that.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

pub(super) async fn tell(node: Rc<Node>, mut cancellations: Receiver<Cancellation>) {
    while let Some(cancellation) = cancellations.recv().await {
        runtime::spawn(confirm(node.clone(), cancellation));
    }
}

async fn confirm(node: Rc<Node>, cancellation: Cancellation) {
    let begun = Instant::now();
    let age = cancellation.since.map_or(Duration::ZERO, |at| at.elapsed());
    let (job, revision) = (&cancellation.job, cancellation.revision);
    let age = Millis(age.as_millis() as u64);
    let (round, effects) =
        node.controller
            .borrow_mut()
            .announce_cancellation(node.now(), job, revision, age);
    node.execute(effects);
    let mut settled = node.controller.borrow_mut().is_settled(node.now(), round);
    let mut asked = begun;
    while !settled && begun.elapsed() < CONFIRMATION_TIMEOUT {
        runtime::sleep(POLL_INTERVAL).await;
        settled = node.controller.borrow_mut().is_settled(node.now(), round);
        if !settled && asked.elapsed() >= RETRY_INTERVAL {
            asked = Instant::now();
            let effects = node.controller.borrow().ask_round(node.now(), round);
            node.execute(effects);
        }
    }
    node.controller.borrow_mut().close_round(round);
    let took = begun.elapsed();
    tracing::debug!(%job, settled, ?took, "cancellation");
    cancellation.settled.send(settled);
}
