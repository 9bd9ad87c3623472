//! The effects that a controller asks its process to execute.

use crate::ids::{JobId, MachineId, MemberId};
use crate::peers::Message;
use crate::protocol::RentRequest;
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::worker_control::{DirectCall, RecordWrite};

/// The duty that requested a transaction and receives its outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TxnRequester {
    /// The shard owner, for this write of a machine's record.
    ShardOwner(RecordWrite),
    /// Leader election and the assignment of shards.
    Leadership,
    /// The write of a batch with the plans of these jobs.
    Plans(Vec<JobId>),
    /// The completion of a job.
    JobCompletion(JobId),
    /// The release of a job whose dependencies are done.
    DependentRelease(JobId),
    /// The cancellation of these jobs, which depend on a cancelled one.
    CancelledDependents(Vec<JobId>),
    /// The write of the catalog of machine types.
    Catalog,
    /// No duty needs the outcome: the transaction is built again if it is still needed.
    Nobody,
}

/// An action for the process to execute. If it has an outcome, the process passes it to one of the
/// controller's `on_…` methods.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Run a transaction on the key-value store.
    Txn {
        /// The duty that receives the outcome.
        requester: TxnRequester,
        /// The priority class for the rate limiter.
        class: RequestClass,
        /// The conditions and changes.
        txn: Txn,
    },
    /// Send direct commands to a worker.
    CallWorker(DirectCall),
    /// Send a message to another controller.
    SendToPeer(MemberId, Message),
    /// Request machines from the cloud.
    RentMachines(RentRequest),
    /// Delete machines at the cloud.
    DeleteMachines(Vec<MachineId>),
    /// List the cloud's machines.
    ListMachines,
    /// Fetch the cloud's machine types.
    FetchCatalog,
    /// Read the final record of a job.
    QueryJobOutcome(JobId),
}

impl Effect {
    /// Returns a transaction whose outcome no duty needs.
    pub(super) fn unattended_txn(class: RequestClass, txn: Txn) -> Self {
        Self::Txn {
            requester: TxnRequester::Nobody,
            class,
            txn,
        }
    }
}
