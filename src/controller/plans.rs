//! Plans that are made and not yet written. A plan serves at once; its record follows, many in one
//! change.

use super::effects::{Effect, TxnRequester};
use crate::ids::{JobId, Millis, MonotonicTime, Revision};
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{PlanBatch, PlanRecord};
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeMap;

/// Plans gather for so long, or until a record is half full, to be written in one change.
const BATCH_DELAY: Millis = Millis(1000);
/// Bytes that a plan takes at the most, as a guess while they gather.
const LARGE_PLAN_BYTES: usize = 600;
/// Bytes of a stored plan besides the names in it.
const PLAN_BYTES: usize = 80;
/// Bytes around the name of a machine in a stored plan.
const MACHINE_BYTES: usize = 4;
/// Bytes around the name of the job whose placement group a plan joins.
const JOINED_JOB_BYTES: usize = 12;

/// Writes plans in batches, one at a time.
#[derive(Debug, Default)]
pub(super) struct PlanWriter {
    unwritten: BTreeMap<JobId, PlanRecord>,
    /// Since when plans gather for the next batch.
    gathering_since: MonotonicTime,
    in_flight: bool,
    retry_at: MonotonicTime,
    batches: u64,
}

impl PlanWriter {
    /// Takes a plan that has to be written.
    pub(super) fn add(&mut self, now: MonotonicTime, job: JobId, plan: PlanRecord) {
        if self.unwritten.is_empty() {
            self.gathering_since = now;
        }
        self.unwritten.insert(job, plan);
    }

    /// Drops what is not written: another controller leads now.
    pub(super) fn clear(&mut self) {
        self.unwritten.clear();
    }

    /// The next batch, if one is due. Its record goes once all its jobs are over.
    pub(super) fn next_batch(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        value_bytes: usize,
    ) -> Option<Effect> {
        let capacity = value_bytes / 2;
        let full = LARGE_PLAN_BYTES * self.unwritten.len() > capacity;
        let due = full || now.since(self.gathering_since) >= BATCH_DELAY;
        let blocked = self.in_flight || now < self.retry_at;
        if self.unwritten.is_empty() || blocked || !due {
            return None;
        }
        let batch = self.take_batch(capacity, cache);
        self.gathering_since = now;
        if batch.is_empty() {
            return None;
        }
        self.batches += 1;
        let name = format!("{term}-{}", self.batches);
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

    /// Takes plans of jobs that are not over until so many bytes are reached.
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

    /// The outcome of a batch with the plans of these jobs.
    pub(super) fn on_outcome(
        &mut self,
        now: MonotonicTime,
        jobs: &[JobId],
        outcome: &TxnOutcome,
        cache: &WatchCache,
    ) {
        self.in_flight = false;
        // A refusal by the rate limiter comes back at once: without a pause it would be repeated
        // without end (entry 37769b7d).
        self.retry_at = now + BATCH_DELAY;
        // Under any other outcome the plans are written, or another controller leads.
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
    let machines: usize = machines.map(|m| MACHINE_BYTES + m.as_str().len()).sum();
    let joined = plan.placement_group_job.as_ref();
    let joined = joined.map_or(0, |job| JOINED_JOB_BYTES + job.as_str().len());
    PLAN_BYTES + job.as_str().len() + machines + joined
}
