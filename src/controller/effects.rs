//! What a controller's decisions ask its process to do, and whom the outcome concerns.

use crate::ids::{JobId, MachineId, MemberId};
use crate::peers::Message;
use crate::protocol::RentRequest;
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::worker_control::DirectCall;

/// Whom a transaction's outcome concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TxnRequester {
    /// The owner of a machine's shard, which writes the machine's record.
    ShardOwner(MachineId),
    /// Leader election and the assignment of shards.
    Leadership,
    /// A batch of plans, by their jobs.
    Plans(Vec<JobId>),
    /// The completion of a job.
    JobCompletion(JobId),
    /// The release of a job whose dependencies are done.
    DependentRelease(JobId),
    /// The cancellation of jobs that depend on a cancelled one.
    CancelledDependents(Vec<JobId>),
    /// The catalog of machine types.
    Catalog,
    /// Nobody: the write is built anew when it is still needed.
    Nobody,
}

/// What the process has to do. Each outcome comes back as a call of the controller's `on_…` methods.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Run a transaction on the key-value store.
    Txn {
        /// Whom the outcome concerns.
        requester: TxnRequester,
        /// How important it is when requests are scarce.
        class: RequestClass,
        /// Its conditions and changes.
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
    /// Read how a job has ended.
    QueryJobOutcome(JobId),
}

impl Effect {
    /// A transaction whose outcome concerns nobody.
    pub(super) fn unattended_txn(class: RequestClass, txn: Txn) -> Self {
        Self::Txn {
            requester: TxnRequester::Nobody,
            class,
            txn,
        }
    }
}
