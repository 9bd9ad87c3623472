//! Cancellation of dependents: a job that depends on a cancelled one can never run and is cancelled
//! too.
//!
//! Such a job has no placed tasks, since the cancelled one was never done. So nothing has to be
//! stopped: a final record is enough.

use crate::ids::JobId;
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::FinalRecord;
use crate::store::watch_cache::WatchCache;

/// A final record and the deletion of the live one.
const CHANGES_PER_JOB: usize = 2;

/// The transaction that cancels the waiting jobs which depend on a cancelled one, as many as fit
/// into `max_ops`, and these jobs. `None` without any.
pub(crate) fn cancel_dependents(
    cancelled: &JobId,
    cache: &WatchCache,
    max_ops: usize,
) -> Option<(Txn, Vec<JobId>)> {
    let mut dependents = cache.dependency_graph.descendants(cancelled);
    dependents.truncate((max_ops / CHANGES_PER_JOB).max(1));
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
