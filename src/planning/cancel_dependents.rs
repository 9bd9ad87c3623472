//! Passing a cancellation on: whatever needs a cancelled job can never run and is cancelled too.
//!
//! A job whose ancestor is cancelled has no tasks, since that ancestor was never done. So nothing
//! has to be stopped; its final record has to say so.

use crate::ids::JobId;
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::FinalRecord;
use crate::store::watch_cache::WatchCache;

/// A final record and the deletion of the live one.
const CHANGES_EACH: usize = 2;

/// The transaction that cancels the waiting jobs which need a cancelled one, as many as fit, and
/// which these are. `None`: there are none.
pub(crate) fn cancel_dependents(
    cancelled: &JobId,
    cache: &WatchCache,
    max_ops: usize,
) -> Option<(Txn, Vec<JobId>)> {
    let mut dependents = cache.dependency_graph.descendants(cancelled);
    dependents.truncate((max_ops / CHANGES_EACH).max(1));
    let mut txn = Txn::default();
    for id in &dependents {
        let job = cache.dependency_graph.get(id)?;
        let record = FinalRecord {
            state: JobState::Cancelled,
            tasks: job.spec.tasks,
        };
        txn.require(keys::job(id), job.revision);
        txn.put(keys::final_state(id), &record, None);
        txn.delete(keys::job(id));
    }
    (!dependents.is_empty()).then_some((txn, dependents))
}
