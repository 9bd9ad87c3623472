//! Checks in bulk that jobs are still as the mirror shows them: a transaction that only compares
//! covers many polls with one request.

use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Sender, channel, oneshot};
use crate::store::tokens::Class;
use crate::store::{Store, TxnOutcome, keys};
use std::rc::Rc;
use std::time::Duration;

/// Questions gather for so long: users wait for the answer for seconds, and a comparison for each
/// two of them took a third of all requests there are (Savannah fleet, calm).
const GATHER: Duration = Duration::from_millis(150);
/// A comparison that finds no token is tried again while its users still wait for an answer.
const TRIES: u32 = 6;
const AGAIN: Duration = Duration::from_millis(200);
const BACKLOG: usize = 4000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Unchanged,
    Changed,
    Unknown,
}

struct Question {
    job: JobId,
    revision: Revision,
    answer: Sender<Verdict>,
}

pub struct Verifier {
    queue: Sender<Question>,
}

impl Verifier {
    pub fn start(store: Rc<Store>, most: usize) -> Self {
        let (queue, mut questions) = channel::<Question>();
        runtime::spawn(async move {
            while let Some(first) = questions.recv().await {
                if questions.backlog() + 1 < most {
                    runtime::sleep(GATHER).await;
                }
                let mut batch = vec![first];
                while batch.len() < most
                    && let Some(next) = questions.try_recv()
                {
                    batch.push(next);
                }
                runtime::spawn(check(store.clone(), batch));
            }
        });
        Self { queue }
    }

    pub async fn verify(&self, job: &JobId, revision: Revision) -> Verdict {
        if self.queue.backlog() >= BACKLOG {
            return Verdict::Unknown;
        }
        let (answer, result) = oneshot();
        self.queue.send(Question {
            job: job.clone(),
            revision,
            answer,
        });
        result.get().await.unwrap_or(Verdict::Unknown)
    }
}

/// The longer its users have waited, the more a comparison may use: at last even what placements
/// would take, so that no job stays without an answer however short tokens are.
fn class(tries: u32) -> Class {
    match tries {
        0..2 => Class::Poll,
        2..4 => Class::Place,
        _ => Class::Accept,
    }
}

async fn check(store: Rc<Store>, batch: Vec<Question>) {
    let mut txn = Txn::default();
    for question in &batch {
        txn.require(keys::job(&question.job), question.revision);
    }
    let mut outcome = store.txn(class(0), &txn).await;
    for tries in 1..TRIES {
        if outcome != TxnOutcome::Refused || !store.is_up() {
            break;
        }
        runtime::sleep(AGAIN).await;
        outcome = store.txn(class(tries), &txn).await;
    }
    for question in batch {
        let verdict = match &outcome {
            TxnOutcome::Committed(_) => Verdict::Unchanged,
            TxnOutcome::Failed(failed, _) => {
                if failed.contains(&keys::job(&question.job)) {
                    Verdict::Changed
                } else {
                    Verdict::Unchanged
                }
            }
            TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => Verdict::Unknown,
        };
        question.answer.send(verdict);
    }
}

#[cfg(test)]
mod tests;
