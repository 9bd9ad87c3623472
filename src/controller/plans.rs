//! Writes plans to the key-value store. A plan takes effect in memory at once and is stored later,
//! together with other plans in one record.

use super::effects::{Effect, TxnRequester};
use crate::ids::{JobId, Millis, MonotonicTime, Revision};
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{PlanBatch, PlanRecord};
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeMap;

/// Longest time that plans are collected for a batch. A batch is written earlier once it is estimated to
/// reach half the largest value size. Also the pause after the outcome of a batch.
const MAX_BATCH_DELAY: Millis = Millis(1000);
/// Estimated upper limit of the size of one stored plan, used while a batch is collected.
const MAX_PLAN_BYTES_ESTIMATE: usize = 600;
/// Bytes of a stored plan without the names in it.
const PLAN_OVERHEAD_BYTES: usize = 80;
/// Bytes that each machine adds to a stored plan besides its name.
const MACHINE_OVERHEAD_BYTES: usize = 4;
/// Bytes that the job whose placement group a plan joins adds to a stored plan besides its name.
const JOINED_JOB_OVERHEAD_BYTES: usize = 12;

/// Writes plans in batches, with at most one batch in flight.
#[derive(Debug, Default)]
pub(super) struct PlanWriter {
    unwritten: BTreeMap<JobId, PlanRecord>,
    /// When collecting the next batch began.
    batch_started_at: MonotonicTime,
    in_flight: bool,
    retry_at: MonotonicTime,
    batch_count: u64,
}

impl PlanWriter {
    /// Adds a plan to the next batch.
    pub(super) fn add(&mut self, now: MonotonicTime, job: JobId, plan: PlanRecord) {
        if self.unwritten.is_empty() {
            self.batch_started_at = now;
        }
        self.unwritten.insert(job, plan);
    }

    /// Drops all unwritten plans. Called while this controller is not the leader.
    pub(super) fn clear(&mut self) {
        self.unwritten.clear();
    }

    /// Returns the transaction that writes the next batch, if one is due. The batch's record is deleted once
    /// all its jobs have ended.
    pub(super) fn next_batch(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        value_bytes: usize,
    ) -> Option<Effect> {
        let capacity = value_bytes / 2;
        let full = MAX_PLAN_BYTES_ESTIMATE * self.unwritten.len() > capacity;
        let due = full || now.since(self.batch_started_at) >= MAX_BATCH_DELAY;
        let blocked = self.in_flight || now < self.retry_at;
        if self.unwritten.is_empty() || blocked || !due {
            return None;
        }
        let batch = self.take_batch(capacity, cache);
        self.batch_started_at = now;
        if batch.is_empty() {
            return None;
        }
        self.batch_count += 1;
        let name = format!("{term}-{}", self.batch_count);
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        txn.require(keys::plans(&name), Revision(0));
        txn.put(keys::plans(&name), &batch, None);
        self.in_flight = true;
        Some(Effect::Txn {
            requester: TxnRequester::Plans(batch.into_keys().collect()),
            class: RequestClass::Record,
            txn,
        })
    }

    /// Removes plans from the unwritten ones until their size reaches `capacity` bytes, and returns those
    /// whose jobs have not ended. The last plan may exceed `capacity`.
    fn take_batch(&mut self, capacity: usize, cache: &WatchCache) -> PlanBatch {
        let mut batch = PlanBatch::new();
        let mut size = 0;
        while size < capacity
            && let Some((job, plan)) = self.unwritten.pop_first()
        {
            if cache.job_revision(&job).is_some() {
                size += stored_size(&job, &plan);
                batch.insert(job, plan);
            }
        }
        batch
    }

    /// Handles the outcome of the batch with the plans of these jobs.
    pub(super) fn on_outcome(
        &mut self,
        now: MonotonicTime,
        jobs: &[JobId],
        outcome: &TxnOutcome,
        cache: &WatchCache,
    ) {
        self.in_flight = false;
        // The rate limiter refuses at once: without a pause, refusals and retries would follow each
        // other in an endless loop.
        self.retry_at = now + MAX_BATCH_DELAY;
        // After any other outcome the plans are not sent again. They are stored, or another controller is the
        // leader. If the outcome is unknown or the store rejected the batch, they may not be stored; another
        // controller that becomes leader then plans the jobs again.
        if !matches!(outcome, TxnOutcome::Refused(_)) {
            return;
        }
        for job in jobs {
            let plan = cache.plan(job).cloned();
            self.unwritten.extend(plan.map(|plan| (job.clone(), plan)));
        }
    }
}

fn stored_size(job: &JobId, plan: &PlanRecord) -> usize {
    let machines = plan.machines.iter();
    let machines: usize = machines
        .map(|m| MACHINE_OVERHEAD_BYTES + m.as_str().len())
        .sum();
    let joined = plan.placement_group_job.as_ref();
    let joined = joined.map_or(0, |job| JOINED_JOB_OVERHEAD_BYTES + job.as_str().len());
    PLAN_OVERHEAD_BYTES + job.as_str().len() + machines + joined
}
