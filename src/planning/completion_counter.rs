//! The completion counter of a job in the key-value store. It consists of segments, which are bitmaps of
//! finished tasks, and of finished tasks that are only listed in machine records so far. The leader moves
//! these into the segments. Once all tasks are done, it gives the job its final state.

use crate::config::Config;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::{Bitmap, FinalRecord};
use crate::store::watch_cache::LiveJob;
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of changes in a completion besides the deletion of segments: the put of the final record and the
/// deletion of the live record.
const COMPLETION_CHANGES: usize = 2;

/// The sizes that determine how counters are stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterLayout {
    /// The number of tasks in one segment. It must be the same in all versions of the program.
    pub tasks_per_segment: u32,
    /// The largest size of a value, in bytes.
    pub value_bytes: usize,
    /// The largest number of operations in a transaction.
    pub txn_ops: usize,
}

impl CounterLayout {
    /// Returns the layout for the given settings.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            tasks_per_segment: config.tasks_per_segment(),
            value_bytes: config.store_limits.value_bytes,
            txn_ops: config.store_limits.txn_ops,
        }
    }
}

/// Adds to a transaction at most `max_changes` changes, which move a job's finished tasks from machine
/// records into its segments. Returns `true` if these include all of the tasks.
pub(crate) fn fold_into_segments(
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
    // The job's record must still exist: without it the segments would be orphans.
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

/// Returns the transaction that gives a job its final state, or `None` if some tasks are not done. Tasks
/// whose end shard owners have reported but not written yet are counted as done. The condition on the
/// job's record ensures that a job can't be both completed and cancelled. Segments that don't fit into the
/// transaction are deleted later.
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
        .take(layout.txn_ops.saturating_sub(COMPLETION_CHANGES))
    {
        txn.delete(keys::segment(id, *segment));
    }
    Some(txn)
}

#[cfg(test)]
mod tests;
