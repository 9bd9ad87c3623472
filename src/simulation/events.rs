//! The events of a simulated cluster.

use super::fake_services::{ForwardTimeout, ForwardedAnswer, ForwardedHeartbeat};
use crate::api::dependencies::CancellationCascade;
use crate::controller::{Effect, TxnRequester};
use crate::ids::{
    CancellationRoundId, FencingToken, JobId, MachineId, MonotonicTime, RequestId, WorkerEpoch,
};
use crate::peers::Message;
use crate::protocol::store::Txn;
use crate::protocol::{Command, Heartbeat, JobSpec};
use crate::store::TxnOutcome;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::{DirectCallOutcome, SentCall};

/// Identifies one process of a controller. Responses to an earlier process of the same node are
/// dropped.
#[derive(Clone, Copy)]
pub(super) struct ControllerProcess {
    /// The index of the node.
    pub node: usize,
    /// A counter that rises with each stop and start of the node.
    pub generation: u64,
}

impl ControllerProcess {
    /// Returns a process that no longer runs, so that responses to it are dropped.
    pub(super) fn stopped(node: usize) -> Self {
        Self {
            node,
            generation: u64::MAX,
        }
    }
}

/// A transaction sent to the key-value store.
pub(super) struct TxnRequest {
    /// The process that receives the outcome.
    pub caller: ControllerProcess,
    /// The part of the controller that requested the transaction.
    pub requester: TxnRequester,
    /// The transaction to execute.
    pub txn: Txn,
    /// Whether the caller still waits for the outcome.
    pub expects_response: bool,
}

/// The response to a transaction.
pub(super) struct TxnResponse {
    /// The process that receives the outcome.
    pub caller: ControllerProcess,
    /// The part of the controller that requested the transaction.
    pub requester: TxnRequester,
    /// The outcome of the transaction.
    pub outcome: TxnOutcome,
}

/// Direct commands sent to a worker.
pub(super) struct DirectCall {
    /// The process that receives the outcome.
    pub caller: ControllerProcess,
    /// The machine that the commands are for.
    pub machine: MachineId,
    /// The id of the call.
    pub id: RequestId,
    /// The shard owner's fencing token.
    pub token: FencingToken,
    /// The worker's epoch that the commands are for.
    pub epoch: WorkerEpoch,
    /// The commands in the order of execution.
    pub commands: Vec<Command>,
    /// How many times the call was delayed or duplicated. Only the first delivery gets a response.
    pub redeliveries: u32,
}

/// The response to direct commands.
pub(super) struct DirectCallResponse {
    /// The process that receives the outcome.
    pub caller: ControllerProcess,
    /// The call that this is the response to.
    pub call: SentCall,
    /// The outcome of the call.
    pub outcome: DirectCallOutcome,
}

/// A message between controllers.
pub(super) struct PeerDelivery {
    /// The receiving node.
    pub to: usize,
    /// The sending node.
    pub from: usize,
    /// The message after encoding and decoding.
    pub message: Message,
}

/// A heartbeat sent to a controller.
pub(super) struct HeartbeatDelivery {
    /// The receiving node.
    pub node: usize,
    /// The machine that sent it.
    pub machine: MachineId,
    /// The number that matches a response to this heartbeat. The worker drops responses with a
    /// ticket other than that of its last heartbeat.
    pub ticket: u64,
    /// The content of the heartbeat.
    pub heartbeat: Heartbeat,
}

/// Commands returned to the worker that sent a heartbeat.
pub(super) struct HeartbeatResponse {
    /// The machine that sent the heartbeat.
    pub machine: MachineId,
    /// The ticket of the heartbeat that this answers; see [`HeartbeatDelivery::ticket`].
    pub ticket: u64,
    /// The shard owner's fencing token.
    pub token: FencingToken,
    /// The commands in the order of execution.
    pub commands: Vec<Command>,
}

/// A redirect that points a worker to another controller.
pub(super) struct HeartbeatRedirect {
    /// The machine that sent the heartbeat.
    pub machine: MachineId,
    /// The ticket of the heartbeat that this answers; see [`HeartbeatDelivery::ticket`].
    pub ticket: u64,
    /// The controller to send heartbeats to, if it is known.
    pub to: Option<usize>,
}

/// A controller's check whether the cancellation of a job is complete.
pub(super) struct CancellationPoll {
    /// The process that handles the user's request.
    pub process: ControllerProcess,
    /// The cancelled job.
    pub job: JobId,
    /// The round in which shard owners acknowledge that their shards are cleared of the job's tasks.
    pub round: CancellationRoundId,
    /// When the controller stops trying and the user has to retry.
    pub deadline: MonotonicTime,
}

/// A controller's next step of cancelling the dependents of a cancelled job.
pub(super) struct CascadeStepDue {
    /// The process that handles the user's request.
    pub process: ControllerProcess,
    /// The cancelled job.
    pub job: JobId,
    /// The progress of the cancellation of dependents.
    pub cascade: CancellationCascade,
    /// When the controller stops trying and the user has to retry.
    pub deadline: MonotonicTime,
}

/// An event. Each `usize` is the index of a node.
pub(super) enum SimulationEvent {
    /// A controller starts.
    ControllerStart(usize),
    /// A controller ticks.
    ControllerTick(usize),
    /// The watch of a controller delivers changes.
    WatchPoll(usize),
    /// A controller has loaded its watch cache again.
    WatchCacheLoaded(ControllerProcess, Box<WatchCache>),
    /// A controller renews its lease.
    LeaseRenewal(usize),
    /// A transaction arrives at the key-value store.
    TxnRequest(TxnRequest),
    /// The outcome of a transaction arrives.
    TxnResponse(TxnResponse),
    /// Direct commands arrive at a worker.
    DirectCall(DirectCall),
    /// The outcome of direct commands arrives.
    DirectCallResponse(DirectCallResponse),
    /// A message between controllers arrives.
    Peer(PeerDelivery),
    /// A call arrives at the cloud.
    CloudCall(ControllerProcess, Effect),
    /// A machine has booted.
    MachineBoot(MachineId),
    /// A worker ticks.
    WorkerTick(MachineId),
    /// A heartbeat arrives.
    Heartbeat(HeartbeatDelivery),
    /// A duplicate of a heartbeat arrives.
    DuplicateHeartbeat(usize, Heartbeat),
    /// The response to a heartbeat arrives.
    HeartbeatResponse(HeartbeatResponse),
    /// A redirect arrives instead of a response to a heartbeat.
    HeartbeatRedirect(HeartbeatRedirect),
    /// A forwarded heartbeat arrives at a shard owner.
    ForwardedHeartbeat(ForwardedHeartbeat),
    /// The response to a forwarded heartbeat arrives.
    ForwardedAnswer(ForwardedAnswer),
    /// The wait for the response to a forwarded heartbeat ends.
    ForwardTimeout(ForwardTimeout),
    /// Gangs advance, and the regular invariants are checked.
    GangTick,
    /// The record of a machine that was unreachable for long is checked to be gone.
    CheckUnreachable(MachineId),
    /// Faults are injected.
    InjectFaults,
    /// Controllers stop and restart within a fraction of a second.
    RestartControllers,
    /// A controller stops and restarts within a fraction of a second.
    RestartController(usize),
    /// The leader stops.
    StopLeader,
    /// An outage of the key-value store begins, which lasts for this number of ms.
    StoreOutage(u64),
    /// An outage of the key-value store ends.
    StoreOutageEnd,
    /// The key-value store lowers its limits.
    LowerStoreLimits,
    /// A controller stops and restarts as the current version.
    Upgrade(usize),
    /// Users submit the next job.
    UserTick,
    /// A user submits or resubmits a job that depends on others.
    SubmitDependent(JobSpec),
    /// A user requests a cancellation, or retries the request.
    RequestCancellation(JobId),
    /// Users cancel all running jobs at once.
    CancelRunning,
    /// A job is cancelled as one of its tasks ends.
    CancelAtCompletion(JobId),
    /// A controller checks whether a cancellation is complete.
    CancellationPoll(CancellationPoll),
    /// A controller continues to cancel dependents.
    CascadeStep(CascadeStepDue),
}

impl SimulationEvent {
    /// Returns the controller that handles the event, if any.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::ControllerTick(node)
            | Self::WatchPoll(node)
            | Self::LeaseRenewal(node)
            | Self::DuplicateHeartbeat(node, _) => Some(*node),
            Self::WatchCacheLoaded(process, _) => Some(process.node),
            Self::TxnResponse(response) => Some(response.caller.node),
            Self::DirectCallResponse(response) => Some(response.caller.node),
            Self::Peer(delivery) => Some(delivery.to),
            Self::CancellationPoll(poll) => Some(poll.process.node),
            Self::CascadeStep(step) => Some(step.process.node),
            Self::Heartbeat(delivery) => Some(delivery.node),
            Self::ForwardedHeartbeat(forwarded) => Some(forwarded.to),
            Self::ForwardedAnswer(forwarded) => Some(forwarded.to),
            Self::ForwardTimeout(timeout) => Some(timeout.process.node),
            _ => None,
        }
    }
}
