//! Cancellation of dependents: a job that depends on a cancelled one can never run, and is cancelled too.
//!
//! The tasks of a dependent are placed only after all its dependencies are done, so a dependent of a
//! cancelled job has no tasks to stop. Writing its final record is enough.

use crate::ids::JobId;
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::FinalRecord;
use crate::store::watch_cache::WatchCache;

/// Number of changes per cancelled job: the put of the final record and the deletion of the live record.
const CHANGES_PER_CANCELLATION: usize = 2;

/// Returns a transaction that cancels blocked jobs which depend on a cancelled job, directly or indirectly,
/// together with the list of the jobs that it cancels. It covers as many jobs as fit into `max_ops` changes,
/// but at least one. Returns `None` if no blocked job depends on the cancelled one.
pub(crate) fn cancel_dependents(
    cancelled: &JobId,
    cache: &WatchCache,
    max_ops: usize,
) -> Option<(Txn, Vec<JobId>)> {
    let mut dependents = cache.dependency_graph.descendants(cancelled);
    dependents.truncate((max_ops / CHANGES_PER_CANCELLATION).max(1));
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
