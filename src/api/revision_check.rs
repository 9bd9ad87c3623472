//! Validates in batches that jobs are still as the watch cache shows them, and tells live jobs from
//! ended ones where it does not show them: a transaction that only compares covers many polls with
//! one request.

use super::retries::retry_refused;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Sender, channel, oneshot};
use crate::store::{StoreClient, TxnOutcome, keys};
use std::rc::Rc;
use std::time::Duration;

/// How long queries gather for a batch. Users can wait for seconds, and with smaller batches the
/// comparisons would take a large part of all requests that the store allows.
const QUERY_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Queries beyond this many are answered as unknown at once.
const MAX_QUEUED_QUERIES: usize = 4000;

/// What the store holds of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredJob {
    /// Its record, at the revision that the watch cache shows if it shows one.
    Live,
    /// Its record at another revision, or its final record.
    Changed,
    /// Its final record.
    Ended,
    /// Neither: it was never accepted.
    NeverAccepted,
    /// The store could not be asked.
    Unknown(RetryReason),
}

/// One poll that waits for its answer.
struct JobQuery {
    job: JobId,
    /// The revision that the watch cache shows; `None`: it does not show the job.
    cached: Option<Revision>,
    answer: Sender<StoredJob>,
}

impl JobQuery {
    /// How many conditions it adds.
    fn conditions(&self) -> usize {
        match self.cached {
            Some(_) => 1,
            None => 2,
        }
    }

    /// Adds conditions whose failures tell what the store holds.
    fn add_conditions(&self, txn: &mut Txn) {
        txn.require(keys::job(&self.job), self.cached.unwrap_or_default());
        if self.cached.is_none() {
            txn.require(keys::final_state(&self.job), Revision(0));
        }
    }

    /// What the outcome of the comparison says of the job.
    fn stored_job(&self, outcome: &TxnOutcome) -> StoredJob {
        let failed = match outcome {
            TxnOutcome::Committed(_) => &[][..],
            TxnOutcome::Failed(failed, _) => failed.as_slice(),
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                return StoredJob::Unknown(RetryReason::of_txn(outcome));
            }
        };
        let live_failed = failed.contains(&keys::job(&self.job));
        match (self.cached, live_failed) {
            (Some(_), false) => StoredJob::Live,
            (Some(_), true) => StoredJob::Changed,
            (None, _) if failed.contains(&keys::final_state(&self.job)) => StoredJob::Ended,
            (None, true) => StoredJob::Live,
            (None, false) => StoredJob::NeverAccepted,
        }
    }
}

/// Gathers queries and answers them batch by batch.
pub(super) struct RevisionChecker {
    queue: Sender<JobQuery>,
}

impl RevisionChecker {
    /// Starts the task that serves queries. `max_conditions`: those that a transaction may have.
    pub(super) fn start(store: Rc<StoreClient>, max_conditions: usize) -> Self {
        let (queue, mut queries) = channel::<JobQuery>();
        runtime::spawn(async move {
            while let Some(first) = queries.recv().await {
                if queries.backlog() + 1 < max_conditions {
                    runtime::sleep(QUERY_BATCH_DELAY).await;
                }
                let mut txn = Txn::default();
                first.add_conditions(&mut txn);
                let mut batch = vec![first];
                while let Some(next) = queries
                    .try_recv_if(|next| txn.conditions.len() + next.conditions() <= max_conditions)
                {
                    next.add_conditions(&mut txn);
                    batch.push(next);
                }
                runtime::spawn(check_batch(store.clone(), txn, batch));
            }
        });
        Self { queue }
    }

    /// What the store holds of a job that the watch cache shows at a revision, or does not show;
    /// answers within about a second.
    pub(super) async fn check(&self, job: &JobId, cached: Option<Revision>) -> StoredJob {
        if self.queue.backlog() >= MAX_QUEUED_QUERIES {
            return StoredJob::Unknown(RetryReason::TooManyQuestions);
        }
        let (answer, result) = oneshot();
        self.queue.send(JobQuery {
            job: job.clone(),
            cached,
            answer,
        });
        let lost = StoredJob::Unknown(RetryReason::StoreSilent);
        result.get().await.unwrap_or(lost)
    }
}

/// Makes all comparisons of a batch in one transaction and answers its queries.
async fn check_batch(store: Rc<StoreClient>, txn: Txn, batch: Vec<JobQuery>) {
    let outcome = retry_refused(
        &store,
        async |class| store.txn(class, &txn).await,
        |outcome| matches!(outcome, TxnOutcome::Refused(_)),
    );
    let outcome = outcome.await;
    for query in batch {
        query.answer.send(query.stored_job(&outcome));
    }
}

#[cfg(test)]
mod tests;
