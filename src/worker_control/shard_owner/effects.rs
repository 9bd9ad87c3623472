//! Effects that a shard owner requests, and the types of their outcomes.

use crate::ids::{FencingToken, MachineId, MemberId, RequestId, ShardId, WorkerEpoch};
use crate::peers::Message;
use crate::protocol::store::Txn;
use crate::protocol::{Command, Heartbeat};
use crate::store::machine_record::MachineRecord;

/// An action that the shard owner requests.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Run a transaction; its outcome goes to [`super::ShardOwner::on_txn_outcome`].
    Txn {
        /// The record that it writes.
        write: RecordWrite,
        /// The transaction.
        txn: Txn,
    },
    /// Send commands to a worker; the outcome goes to [`super::ShardOwner::on_direct_call_outcome`].
    CallWorker(DirectCall),
    /// Send a message to the leader.
    ToLeader(Message),
    /// A machine without a record answered its probe. The record is not written until the first
    /// placement there: until then it exists only in the watch caches and costs no write.
    MachineDiscovered(MachineId, MachineRecord),
    /// A machine without a stored record has been unresponsive for too long and is to be removed
    /// from the watch cache.
    UnrecordedMachineLost(MachineId),
    /// Rewrite the record of an owned shard. This raises its fence and so the tokens of its
    /// machines.
    RaiseShardFence(ShardId),
}

/// Identifies a write of a machine's record, for its outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordWrite {
    /// The machine.
    pub machine: MachineId,
    /// The id of the write. A machine that is tracked anew may still get the outcome of a write of its
    /// earlier tracker.
    pub id: RequestId,
}

/// Identifies a direct call, for its outcome.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// The id of the call. A machine that is tracked anew may still get the outcome of a call of its
    /// earlier tracker.
    pub id: RequestId,
    /// The fencing token of the commands. The worker adopts it if it is higher than its own.
    pub token: FencingToken,
}

/// Commands that are sent to a worker by direct call, not in a heartbeat response.
#[derive(Clone, Debug)]
pub(crate) struct DirectCall {
    /// The worker's machine, the id and the fencing token of the call.
    pub sent: SentCall,
    /// Where the worker takes direct commands: address and port.
    pub addr: String,
    /// The worker epoch that the commands are meant for.
    pub epoch: WorkerEpoch,
    /// The commands. An empty list is a probe, which the worker answers with its status.
    pub commands: Vec<Command>,
}

/// The answer to a worker's heartbeat.
#[derive(Debug)]
pub(crate) enum HeartbeatAnswer {
    /// Commands under the machine's token.
    Commands(FencingToken, Vec<Command>),
    /// Another controller owns the machine or may own it. The worker is redirected to that
    /// controller if it is known.
    Redirect(Option<MemberId>),
}

/// The path on which a heartbeat arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatPath {
    /// Sent here by the worker itself.
    DirectFromWorker,
    /// Relayed by another controller.
    Relayed,
}

/// The outcome of a direct call.
#[derive(Debug)]
pub(crate) enum DirectCallOutcome {
    /// The worker executed the commands and answered with its status.
    Done(Heartbeat),
    /// The worker rejected the commands. Holds its status if it sent one.
    Rejected(Option<Heartbeat>),
    /// The call was not sent.
    NotSent,
    /// No answer arrived. The commands may have been executed or may still be executed later.
    Unknown,
}

impl DirectCallOutcome {
    /// Returns the outcome for the machine that the call was meant for. If another machine has
    /// answered, which was given the address of the first one, its status says nothing about the
    /// machine that was meant.
    pub(super) fn of_machine(self, machine: &MachineId) -> Self {
        let answered_by_other = match &self {
            Self::Done(status) | Self::Rejected(Some(status)) => status.machine != *machine,
            Self::Rejected(None) | Self::NotSent | Self::Unknown => false,
        };
        match answered_by_other {
            true => Self::Unknown,
            false => self,
        }
    }
}
