//! Tells the other controllers of cancellations and waits until those who have to know do.

use super::Node;
use crate::ids::Span;
use crate::intake::Cancellation;
use crate::runtime::{self, Receiver};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An answer within the time that a request may take when it is handed on to a peer.
const PATIENCE: Duration = Duration::from_millis(900);
const LOOK: Duration = Duration::from_millis(15);

pub async fn tell(node: Rc<Node>, mut cancellations: Receiver<Cancellation>) {
    while let Some(cancellation) = cancellations.recv().await {
        runtime::spawn(confirm(node.clone(), cancellation));
    }
}

async fn confirm(node: Rc<Node>, cancellation: Cancellation) {
    let begun = Instant::now();
    let age = cancellation.since.map_or(Duration::ZERO, |at| at.elapsed());
    let (job, revision) = (&cancellation.job, cancellation.revision);
    let age = Span(age.as_millis() as u64);
    let (round, effects) = node
        .controller
        .borrow_mut()
        .announce(node.now(), job, revision, age);
    node.carry_out(effects);
    let mut known = node.controller.borrow_mut().is_known(round);
    while !known && begun.elapsed() < PATIENCE {
        runtime::sleep(LOOK).await;
        known = node.controller.borrow_mut().is_known(round);
    }
    node.controller.borrow_mut().close_round(round);
    cancellation.known.send(known);
}
