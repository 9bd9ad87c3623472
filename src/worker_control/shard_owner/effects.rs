//! What a shard owner asks to be done, and the forms of what it hears back.

use crate::ids::{FencingToken, MachineId, MemberId, ShardId, WorkerEpoch};
use crate::peers::Message;
use crate::protocol::store::Txn;
use crate::protocol::{Command, Heartbeat};
use crate::store::machine_record::MachineRecord;

/// An action that the shard owner has decided on.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Run a transaction; its outcome goes to [`super::ShardOwner::on_txn_outcome`].
    Txn {
        /// The machine whose record it writes.
        machine: MachineId,
        /// The transaction.
        txn: Txn,
    },
    /// Send commands to a worker; the outcome goes to [`super::ShardOwner::on_direct_call_outcome`].
    CallWorker(DirectCall),
    /// Send a message to the leader.
    ToLeader(Message),
    /// A machine that has no record answers. Its first placement writes one: until then it
    /// exists in the watch caches alone, and costs no change.
    MachineDiscovered(MachineId, MachineRecord),
    /// Such a machine has been silent for long.
    UnrecordedMachineLost(MachineId),
    /// Rewrite the record of a shard that this controller owns, so that its token rises.
    RaiseShardFence(ShardId),
}

/// Commands that are sent to a worker directly, not in the answer to a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct DirectCall {
    /// The worker's machine.
    pub machine: MachineId,
    /// Where the worker takes direct commands: address and port.
    pub addr: String,
    /// The token that the commands carry. It raises the worker's own.
    pub token: FencingToken,
    /// The worker's epoch for which they are meant.
    pub epoch: WorkerEpoch,
    /// The commands; none at all makes a probe, which the worker answers with its status.
    pub commands: Vec<Command>,
}

/// What a worker's heartbeat is answered with.
#[derive(Debug)]
pub(crate) enum HeartbeatAnswer {
    /// Commands under the machine's token.
    Commands(FencingToken, Vec<Command>),
    /// Another controller owns the machine, or may. The worker is sent to it, if it is known.
    Redirect(Option<MemberId>),
}

/// How a heartbeat came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatPath {
    /// From the worker itself.
    Direct,
    /// Through another controller.
    Relayed,
}

/// What became of a direct command.
#[derive(Debug)]
pub(crate) enum DirectCallOutcome {
    /// Carried out; the worker answered with its status.
    Done(Heartbeat),
    /// Refused by the worker, with its status if it gave one.
    Rejected(Option<Heartbeat>),
    /// Certainly not sent.
    NotSent,
    /// No answer: it may have been carried out, or may still be.
    Unknown,
}
