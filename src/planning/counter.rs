//! The completion counter of a job, in the key-value store: segments of finished tasks, and what
//! machines' records count beside them. Whoever leads moves the latter into the former, and the
//! update that finds all tasks done releases the job.

use crate::config::Config;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::{Bitmap, FinalRecord};
use crate::store::watch_cache::LiveJob;
use serde_json::Value;
use std::collections::BTreeMap;

/// How counters are stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// Tasks in one segment: the same for all versions of the program.
    pub segment_tasks: u32,
    /// What fits into a value, and into a transaction.
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Layout {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            segment_tasks: config.segment_tasks(),
            value_bytes: config.state.value_bytes,
            txn_ops: config.state.txn_ops,
        }
    }
}

/// Adds the changes that move a job's counted tasks into its segments, as far as `room` changes
/// go. `true` if none is left behind.
pub(crate) fn fold(txn: &mut Txn, id: &JobId, job: &LiveJob, layout: &Layout, room: usize) -> bool {
    let mut changed: BTreeMap<u32, Bitmap> = BTreeMap::new();
    for index in &job.counted {
        let segment = index / layout.segment_tasks;
        let bits = changed.entry(segment).or_insert_with(|| {
            let old = job.segments.get(&segment);
            old.map(|s| s.value.clone()).unwrap_or_default()
        });
        bits.set(index % layout.segment_tasks);
    }
    let mut all = changed.len() <= room;
    let stored = changed
        .into_iter()
        .take(room)
        .filter_map(|(segment, bits)| {
            let value = bits.stored(layout.value_bytes);
            all &= value.is_some();
            Some((segment, value?))
        });
    let stored: Vec<(u32, Value)> = stored.collect();
    // Not before the job's record is known to stand: a counter without one is an orphan.
    if !stored.is_empty() {
        txn.require(keys::job(id), job.revision);
    }
    for (segment, value) in stored {
        let old = job.segments.get(&segment);
        let revision = old.map_or(Revision(0), |s| s.revision);
        txn.require(keys::segment(id, segment), revision);
        txn.put(keys::segment(id, segment), &value, None);
    }
    all
}

/// The transaction that ends a job all of whose tasks are done; `None` while some are not. It is
/// the counter's last update: ends that owners have seen and not written yet are in it. Done
/// and cancelled exclude each other by the condition on the job's record. Segments that find no
/// room are cleaned up later.
pub(crate) fn release(id: &JobId, job: &LiveJob, layout: &Layout) -> Option<Txn> {
    if !job.is_complete(layout.segment_tasks) {
        return None;
    }
    let mut txn = Txn::default();
    txn.require(keys::job(id), job.revision);
    let over = FinalRecord {
        state: JobState::Done,
        tasks: job.spec.tasks,
    };
    txn.put(keys::final_state(id), &over, None);
    txn.delete(keys::job(id));
    for segment in job.segments.keys().take(layout.txn_ops.saturating_sub(2)) {
        txn.delete(keys::segment(id, *segment));
    }
    Some(txn)
}

#[cfg(test)]
mod tests;
