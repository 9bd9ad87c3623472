//! Validates in batches that jobs are still as the watch cache shows them: a transaction that only
//! compares covers many polls with one request.

use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Sender, channel, oneshot};
use crate::store::rate_limiter::RequestClass;
use crate::store::{Store, TxnOutcome, keys};
use std::rc::Rc;
use std::time::Duration;

/// How long queries gather for a batch. Users can wait for seconds, and with smaller batches the
/// comparisons would take a large part of all requests that the store allows.
const QUERY_BATCH_DELAY: Duration = Duration::from_millis(150);
/// A comparison that the rate limiter refuses is tried again while its users still wait.
const MAX_ATTEMPTS: u32 = 6;
/// The time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Queries beyond this many are answered as unknown at once.
const MAX_QUEUED_QUERIES: usize = 4000;

/// Whether a job is still at the revision that the watch cache shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RevisionStatus {
    /// It is.
    Unchanged,
    /// The store has another revision, or the job is gone.
    Changed,
    /// The store could not be asked.
    Unknown(RetryReason),
}

/// One poll that waits for its answer.
struct RevisionQuery {
    job: JobId,
    revision: Revision,
    answer: Sender<RevisionStatus>,
}

/// Gathers queries and answers them batch by batch.
pub(super) struct RevisionChecker {
    queue: Sender<RevisionQuery>,
}

impl RevisionChecker {
    /// Starts the task that serves queries. `max_batch`: the conditions that a transaction may have.
    pub(super) fn start(store: Rc<Store>, max_batch: usize) -> Self {
        let (queue, mut queries) = channel::<RevisionQuery>();
        runtime::spawn(async move {
            while let Some(first) = queries.recv().await {
                if queries.backlog() + 1 < max_batch {
                    runtime::sleep(QUERY_BATCH_DELAY).await;
                }
                let mut batch = vec![first];
                while batch.len() < max_batch
                    && let Some(next) = queries.try_recv()
                {
                    batch.push(next);
                }
                runtime::spawn(check_batch(store.clone(), batch));
            }
        });
        Self { queue }
    }

    /// Whether a job is still at a revision; answers within about a second.
    pub(super) async fn check_revision(&self, job: &JobId, revision: Revision) -> RevisionStatus {
        if self.queue.backlog() >= MAX_QUEUED_QUERIES {
            return RevisionStatus::Unknown(RetryReason::TooManyQuestions);
        }
        let (answer, result) = oneshot();
        self.queue.send(RevisionQuery {
            job: job.clone(),
            revision,
            answer,
        });
        let lost = RevisionStatus::Unknown(RetryReason::StoreSilent);
        result.get().await.unwrap_or(lost)
    }
}

/// The longer its users have waited, the larger the part of the rate limit that a comparison may
/// use: at last even that of placements, so that every job gets an answer however low the limit is.
fn request_class(attempt: u32) -> RequestClass {
    match attempt {
        0..2 => RequestClass::Poll,
        2..4 => RequestClass::Place,
        _ => RequestClass::Accept,
    }
}

/// Compares all revisions of a batch in one transaction and answers its queries.
async fn check_batch(store: Rc<Store>, batch: Vec<RevisionQuery>) {
    let mut txn = Txn::default();
    for query in &batch {
        txn.require(keys::job(&query.job), query.revision);
    }
    let mut outcome = store.txn(request_class(0), &txn).await;
    for attempt in 1..MAX_ATTEMPTS {
        if !matches!(outcome, TxnOutcome::Refused(_)) || !store.is_up() {
            break;
        }
        runtime::sleep(RETRY_DELAY).await;
        outcome = store.txn(request_class(attempt), &txn).await;
    }
    for query in batch {
        query.answer.send(revision_status(&query.job, &outcome));
    }
}

/// What the outcome of a batch says of one of its jobs.
fn revision_status(job: &JobId, outcome: &TxnOutcome) -> RevisionStatus {
    match outcome {
        TxnOutcome::Failed(failed, _) if failed.contains(&keys::job(job)) => {
            RevisionStatus::Changed
        }
        TxnOutcome::Committed(_) | TxnOutcome::Failed(..) => RevisionStatus::Unchanged,
        TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Unknown => {
            RevisionStatus::Unknown(RetryReason::of_txn(outcome))
        }
    }
}

#[cfg(test)]
mod tests;
