//! Checks in bulk that jobs are still as the watch cache shows them: a transaction that only compares
//! covers many polls with one request.

use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Sender, channel, oneshot};
use crate::store::rate_limiter::RequestClass;
use crate::store::{Store, TxnOutcome, keys};
use std::rc::Rc;
use std::time::Duration;

/// Questions gather for so long: users wait for the answer for seconds, and a comparison for each
/// two of them took a third of all requests there are (Savannah fleet, calm).
const QUERY_BATCH_DELAY: Duration = Duration::from_millis(150);
/// A comparison that finds no token is tried again while its users still wait for an answer.
const MAX_ATTEMPTS: u32 = 6;
const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_QUEUED_QUERIES: usize = 4000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RevisionStatus {
    Unchanged,
    Changed,
    Unknown,
}

struct RevisionQuery {
    job: JobId,
    revision: Revision,
    answer: Sender<RevisionStatus>,
}

pub(super) struct RevisionChecker {
    queue: Sender<RevisionQuery>,
}

impl RevisionChecker {
    pub(super) fn start(store: Rc<Store>, most: usize) -> Self {
        let (queue, mut queries) = channel::<RevisionQuery>();
        runtime::spawn(async move {
            while let Some(first) = queries.recv().await {
                if queries.backlog() + 1 < most {
                    runtime::sleep(QUERY_BATCH_DELAY).await;
                }
                let mut batch = vec![first];
                while batch.len() < most
                    && let Some(next) = queries.try_recv()
                {
                    batch.push(next);
                }
                runtime::spawn(check(store.clone(), batch));
            }
        });
        Self { queue }
    }

    pub(super) async fn check_revision(&self, job: &JobId, revision: Revision) -> RevisionStatus {
        if self.queue.backlog() >= MAX_QUEUED_QUERIES {
            return RevisionStatus::Unknown;
        }
        let (answer, result) = oneshot();
        self.queue.send(RevisionQuery {
            job: job.clone(),
            revision,
            answer,
        });
        result.get().await.unwrap_or(RevisionStatus::Unknown)
    }
}

/// The longer its users have waited, the more a comparison may use: at last even what placements
/// would take, so that no job stays without an answer however short tokens are.
fn class(tries: u32) -> RequestClass {
    match tries {
        0..2 => RequestClass::Poll,
        2..4 => RequestClass::Place,
        _ => RequestClass::Accept,
    }
}

async fn check(store: Rc<Store>, batch: Vec<RevisionQuery>) {
    let mut txn = Txn::default();
    for query in &batch {
        txn.require(keys::job(&query.job), query.revision);
    }
    let mut outcome = store.txn(class(0), &txn).await;
    for tries in 1..MAX_ATTEMPTS {
        if outcome != TxnOutcome::Refused || !store.is_up() {
            break;
        }
        runtime::sleep(RETRY_DELAY).await;
        outcome = store.txn(class(tries), &txn).await;
    }
    for query in batch {
        let revision_status = match &outcome {
            TxnOutcome::Committed(_) => RevisionStatus::Unchanged,
            TxnOutcome::Failed(failed, _) => {
                if failed.contains(&keys::job(&query.job)) {
                    RevisionStatus::Changed
                } else {
                    RevisionStatus::Unchanged
                }
            }
            TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                RevisionStatus::Unknown
            }
        };
        query.answer.send(revision_status);
    }
}

#[cfg(test)]
mod tests;
