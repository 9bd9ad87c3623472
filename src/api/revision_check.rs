//! Checks in batches whether jobs still have the revision that the watch cache shows, and whether
//! jobs that it does not show are live or have ended. A comparison, which is a transaction without
//! changes, evaluates the conditions of many polls with one request.
//!
//! All polls of a job in one batch share one check. Its expected revision is read from the watch cache
//! when the comparison is built, not when a poll arrives: the cache may change in between, and a
//! comparison has only one condition on a key. The comparison is evaluated after each of these polls
//! was received, so its result is recent enough for all of them.

use super::retries::retry_refused;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, MonotonicTime, Revision};
use crate::protocol::store::Txn;
use crate::runtime::{self, Oneshot, Receiver, Sender, channel, oneshot};
use crate::store::{StoreClient, TxnOutcome, keys};
use std::collections::BTreeMap;
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
    Live {
        /// When the request was sent.
        read_at: MonotonicTime,
    },
    /// Either the job's record exists at another revision, or its final state exists.
    Changed,
    /// The job's final state exists.
    Ended,
    /// Neither record exists: the job was not accepted.
    NeverAccepted {
        /// When the request was sent.
        read_at: MonotonicTime,
    },
    /// The comparison had no result or was not made, for this reason.
    Unknown(RetryReason),
}

/// Returns the revision of a job's record that the watch cache shows; `None` if it does not show the
/// job.
type CachedRevision = Box<dyn Fn(&JobId) -> Option<Revision>>;

/// A poll that waits for the state of a job.
struct QueuedCheck {
    job: JobId,
    answer: Sender<StoredJob>,
}

/// The check of the state of one job in a comparison.
struct JobCheck {
    /// The revision that the watch cache showed when the comparison was built; `None` if it did not
    /// show the job.
    cached: Option<Revision>,
    /// The polls that wait for the result.
    answers: Vec<Sender<StoredJob>>,
}

impl JobCheck {
    fn new(cached: Option<Revision>) -> Self {
        Self {
            cached,
            answers: Vec::new(),
        }
    }

    /// Returns the number of conditions that the check adds to a transaction.
    fn conditions(&self) -> usize {
        match self.cached {
            Some(_) => 1,
            None => 2,
        }
    }

    /// Adds the conditions whose failures tell which records of the job exist.
    fn add_conditions(&self, job: &JobId, txn: &mut Txn) {
        txn.require(keys::job(job), self.cached.unwrap_or_default());
        if self.cached.is_none() {
            txn.require(keys::final_state(job), Revision(0));
        }
    }

    /// Returns the state of the job according to the comparison.
    fn stored_job(&self, job: &JobId, comparison: &Comparison) -> StoredJob {
        let Comparison { read_at, outcome } = comparison;
        let read_at = *read_at;
        let failed = match outcome {
            TxnOutcome::Committed(_) => &[][..],
            TxnOutcome::Failed(failed, _) => failed.as_slice(),
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                return StoredJob::Unknown(RetryReason::of_txn(outcome));
            }
        };
        let live_failed = failed.contains(&keys::job(job));
        match (self.cached, live_failed) {
            (Some(_), false) => StoredJob::Live { read_at },
            (Some(_), true) => StoredJob::Changed,
            (None, _) if failed.contains(&keys::final_state(job)) => StoredJob::Ended,
            (None, true) => StoredJob::Live { read_at },
            (None, false) => StoredJob::NeverAccepted { read_at },
        }
    }
}

/// A comparison that has ended.
struct Comparison {
    /// When the request was sent: the last one if the comparison was retried.
    read_at: MonotonicTime,
    outcome: TxnOutcome,
}

/// The checks of one comparison, by job.
struct Batch {
    checks: BTreeMap<JobId, JobCheck>,
    txn: Txn,
}

impl Batch {
    /// Takes the queued polls that one comparison has room for, and builds the comparison.
    fn take(
        first: QueuedCheck,
        queue: &mut Receiver<QueuedCheck>,
        max_conditions: usize,
        cached_revision: &CachedRevision,
    ) -> Self {
        let mut batch = Self {
            checks: BTreeMap::new(),
            txn: Txn::default(),
        };
        batch.add(first, cached_revision);
        let fits = |batch: &Self, next: &QueuedCheck| {
            let added = || JobCheck::new(cached_revision(&next.job)).conditions();
            batch.checks.contains_key(&next.job)
                || batch.txn.conditions.len() + added() <= max_conditions
        };
        while let Some(next) = queue.try_recv_if(|next| fits(&batch, next)) {
            batch.add(next, cached_revision);
        }
        batch
    }

    fn add(&mut self, queued: QueuedCheck, cached_revision: &CachedRevision) {
        let QueuedCheck { job, answer } = queued;
        let txn = &mut self.txn;
        let check = self.checks.entry(job).or_insert_with_key(|job| {
            let check = JobCheck::new(cached_revision(job));
            check.add_conditions(job, txn);
            check
        });
        check.answers.push(answer);
    }

    /// Evaluates all conditions in one comparison and sends the results.
    async fn evaluate(self, store: Rc<StoreClient>) {
        let comparison = retry_refused(
            &store,
            async |class| Comparison {
                read_at: store.now(),
                outcome: store.txn(class, &self.txn).await,
            },
            |comparison| matches!(comparison.outcome, TxnOutcome::Refused(_)),
        );
        let comparison = comparison.await;
        for (job, check) in self.checks {
            let stored_job = check.stored_job(&job, &comparison);
            for answer in check.answers {
                answer.send(stored_job);
            }
        }
    }
}

/// A check whose result is not known yet.
pub(super) struct PendingCheck(Oneshot<StoredJob>);

impl PendingCheck {
    /// Waits for the state of the job in the store.
    pub(super) async fn result(self) -> StoredJob {
        let no_answer = StoredJob::Unknown(RetryReason::StoreSilent);
        self.0.get().await.unwrap_or(no_answer)
    }
}

/// Collects checks and makes them in batches, one comparison per batch.
pub(super) struct RevisionChecker {
    queue: Sender<QueuedCheck>,
}

impl RevisionChecker {
    /// Starts the task that makes the checks. `cached_revision` reads the watch cache.
    /// `max_conditions` is the maximum number of conditions of a transaction.
    pub(super) fn start(
        store: Rc<StoreClient>,
        cached_revision: CachedRevision,
        max_conditions: usize,
    ) -> Self {
        let (queue, mut checks) = channel::<QueuedCheck>();
        runtime::spawn(async move {
            while let Some(first) = checks.recv().await {
                if checks.backlog() + 1 < max_conditions {
                    runtime::sleep(CHECK_BATCH_DELAY).await;
                }
                let batch = Batch::take(first, &mut checks, max_conditions, &cached_revision);
                runtime::spawn(batch.evaluate(store.clone()));
            }
        });
        Self { queue }
    }

    /// Returns the state of a job in the store within about a second.
    pub(super) async fn check(&self, job: &JobId) -> StoredJob {
        self.start_check(job).result().await
    }

    /// Queues a check of a job. Checks that are queued at the same time mostly share a comparison.
    pub(super) fn start_check(&self, job: &JobId) -> PendingCheck {
        let (answer, result) = oneshot();
        if self.queue.backlog() >= MAX_QUEUED_CHECKS {
            answer.send(StoredJob::Unknown(RetryReason::TooManyQuestions));
        } else {
            let job = job.clone();
            self.queue.send(QueuedCheck { job, answer });
        }
        PendingCheck(result)
    }
}

#[cfg(test)]
mod tests;
