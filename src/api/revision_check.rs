//! Checks in batches whether jobs still have the revision that the watch cache shows, and whether
//! jobs that it does not show are live or have ended. A comparison, which is a transaction without
//! changes, evaluates the conditions of many polls with one request.

use super::retries::retry_refused;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Sender, channel, oneshot};
use crate::store::{StoreClient, TxnOutcome, keys};
use std::rc::Rc;
use std::time::Duration;

/// The time for which checks are collected into a batch, which is one comparison. A shorter time
/// would give more and smaller batches, which would take a large part of the store's request rate.
/// Users can wait for seconds.
const CHECK_BATCH_DELAY: Duration = Duration::from_millis(150);
/// The maximum number of queued checks. Further checks return [`StoredJob::Unknown`] at once.
const MAX_QUEUED_CHECKS: usize = 4000;

/// The state of a job in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredJob {
    /// The job's record exists, at the revision that the watch cache shows if it shows one.
    Live,
    /// Either the job's record exists at another revision, or its final state exists.
    Changed,
    /// The job's final state exists.
    Ended,
    /// Neither record exists: the job was never accepted.
    NeverAccepted,
    /// The comparison had no result or was not made, for this reason.
    Unknown(RetryReason),
}

/// A queued check of the state of a job.
struct JobCheck {
    job: JobId,
    /// The revision that the watch cache shows; `None` if it does not show the job.
    cached: Option<Revision>,
    answer: Sender<StoredJob>,
}

impl JobCheck {
    /// Returns the number of conditions that the check adds to a transaction.
    fn conditions(&self) -> usize {
        match self.cached {
            Some(_) => 1,
            None => 2,
        }
    }

    /// Adds the conditions whose failures tell which records of the job exist.
    fn add_conditions(&self, txn: &mut Txn) {
        txn.require(keys::job(&self.job), self.cached.unwrap_or_default());
        if self.cached.is_none() {
            txn.require(keys::final_state(&self.job), Revision(0));
        }
    }

    /// Returns the state of the job according to the outcome of the transaction.
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

/// Collects checks and makes them in batches, one comparison per batch.
pub(super) struct RevisionChecker {
    queue: Sender<JobCheck>,
}

impl RevisionChecker {
    /// Starts the task that makes the checks. `max_conditions` is the maximum number of conditions of
    /// a transaction.
    pub(super) fn start(store: Rc<StoreClient>, max_conditions: usize) -> Self {
        let (queue, mut checks) = channel::<JobCheck>();
        runtime::spawn(async move {
            while let Some(first) = checks.recv().await {
                if checks.backlog() + 1 < max_conditions {
                    runtime::sleep(CHECK_BATCH_DELAY).await;
                }
                let mut txn = Txn::default();
                first.add_conditions(&mut txn);
                let mut batch = vec![first];
                while let Some(next) = checks
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

    /// Returns the state of a job in the store within about a second. `cached` is the revision that
    /// the watch cache shows, or `None` if it does not show the job.
    pub(super) async fn check(&self, job: &JobId, cached: Option<Revision>) -> StoredJob {
        if self.queue.backlog() >= MAX_QUEUED_CHECKS {
            return StoredJob::Unknown(RetryReason::TooManyQuestions);
        }
        let (answer, result) = oneshot();
        self.queue.send(JobCheck {
            job: job.clone(),
            cached,
            answer,
        });
        let no_answer = StoredJob::Unknown(RetryReason::StoreSilent);
        result.get().await.unwrap_or(no_answer)
    }
}

/// Evaluates all conditions of a batch in one comparison and sends the results.
async fn check_batch(store: Rc<StoreClient>, txn: Txn, batch: Vec<JobCheck>) {
    let outcome = retry_refused(
        &store,
        async |class| store.txn(class, &txn).await,
        |outcome| matches!(outcome, TxnOutcome::Refused(_)),
    );
    let outcome = outcome.await;
    for check in batch {
        check.answer.send(check.stored_job(&outcome));
    }
}

#[cfg(test)]
mod tests;
