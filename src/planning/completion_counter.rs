//! The completion counter of a job in the key-value store: segments of finished tasks, and the
//! tasks that machines' records count beside them. The leader moves the latter into the former, and
//! the update that finds all tasks done gives the job its final state.

use crate::config::Config;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::{Bitmap, FinalRecord};
use crate::store::watch_cache::LiveJob;
use serde_json::Value;
use std::collections::BTreeMap;

/// Changes of a release beside the deletion of segments: the final record, and the deletion of the
/// live one.
const RELEASE_CHANGES: usize = 2;

/// How counters are stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterLayout {
    /// Tasks in one segment: the same in all versions of the program.
    pub tasks_per_segment: u32,
    /// The largest size of a value, in bytes.
    pub value_bytes: usize,
    /// The largest number of operations in a transaction.
    pub txn_ops: usize,
}

impl CounterLayout {
    /// The layout that the settings give.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            tasks_per_segment: config.tasks_per_segment(),
            value_bytes: config.store_limits.value_bytes,
            txn_ops: config.store_limits.txn_ops,
        }
    }
}

/// Adds to a transaction the changes that move a job's counted tasks into its segments, up to
/// `max_changes`. `true` if no task is left behind.
pub(crate) fn fold(
    txn: &mut Txn,
    id: &JobId,
    job: &LiveJob,
    layout: &CounterLayout,
    max_changes: usize,
) -> bool {
    let mut changed: BTreeMap<u32, Bitmap> = BTreeMap::new();
    for index in &job.done_outside_segments {
        let segment = index / layout.tasks_per_segment;
        let bits = changed.entry(segment).or_insert_with(|| {
            let old = job.segments.get(&segment);
            old.map(|s| s.value.clone()).unwrap_or_default()
        });
        bits.set(index % layout.tasks_per_segment);
    }
    let mut is_complete = changed.len() <= max_changes;
    let stored = changed
        .into_iter()
        .take(max_changes)
        .filter_map(|(segment, bits)| {
            let value = bits.encode(layout.value_bytes);
            is_complete &= value.is_some();
            Some((segment, value?))
        });
    let stored: Vec<(u32, Value)> = stored.collect();
    // Only while the job's record exists: a counter without one would be an orphan.
    if !stored.is_empty() {
        txn.require(keys::job(id), job.revision);
    }
    for (segment, value) in stored {
        let old = job.segments.get(&segment);
        let revision = old.map_or(Revision(0), |s| s.revision);
        txn.require(keys::segment(id, segment), revision);
        txn.put(keys::segment(id, segment), &value, None);
    }
    is_complete
}

/// The transaction that gives a job its final state once all of its tasks are done; `None` while
/// some are not. It is the counter's last update: ends that owners have seen and not written yet are
/// in it. Done and cancelled exclude each other by the condition on the job's record. Segments that
/// don't fit into the transaction are deleted later.
pub(crate) fn completion_txn(id: &JobId, job: &LiveJob, layout: &CounterLayout) -> Option<Txn> {
    if !job.is_complete(layout.tasks_per_segment) {
        return None;
    }
    let mut txn = Txn::default();
    txn.require(keys::job(id), job.revision);
    let final_record = FinalRecord {
        state: JobState::Done,
        tasks: job.spec.tasks,
    };
    txn.put(keys::final_state(id), &final_record, None);
    txn.delete(keys::job(id));
    for segment in job
        .segments
        .keys()
        .take(layout.txn_ops.saturating_sub(RELEASE_CHANGES))
    {
        txn.delete(keys::segment(id, *segment));
    }
    Some(txn)
}

#[cfg(test)]
mod tests;
