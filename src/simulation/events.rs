//! What can happen in a simulated cluster.

use crate::api::dependencies::CancellationCascade;
use crate::controller::{Effect, TxnRequester};
use crate::ids::{CancellationRoundId, FencingToken, JobId, MachineId, MonotonicTime, WorkerEpoch};
use crate::peers::Message;
use crate::protocol::store::Txn;
use crate::protocol::{Command, Heartbeat, JobSpec};
use crate::store::TxnOutcome;
use crate::worker_control::DirectCallOutcome;

/// One process of a controller: responses to an earlier process of the same node are dropped.
#[derive(Clone, Copy)]
pub(super) struct ControllerProcess {
    /// The index of the node.
    pub node: usize,
    /// Rises with each stop and start of the node.
    pub generation: u64,
}

impl ControllerProcess {
    /// Nobody waits for the response any more.
    pub(super) fn stopped(node: usize) -> Self {
        Self {
            node,
            generation: u64::MAX,
        }
    }
}

/// A transaction on its way to the key-value store.
pub(super) struct TxnRequest {
    /// The process that the outcome goes to.
    pub caller: ControllerProcess,
    /// The part of the controller that asked for it.
    pub requester: TxnRequester,
    /// The transaction itself.
    pub txn: Txn,
    /// The caller still waits for the outcome.
    pub expects_response: bool,
}

/// The outcome of a transaction on its way back.
pub(super) struct TxnResponse {
    /// The process that the outcome goes to.
    pub caller: ControllerProcess,
    /// The part of the controller that asked for it.
    pub requester: TxnRequester,
    /// What became of the transaction.
    pub outcome: TxnOutcome,
}

/// Direct commands on their way to a worker.
pub(super) struct DirectCall {
    /// The process that the outcome goes to.
    pub caller: ControllerProcess,
    /// The machine that the commands are for.
    pub machine: MachineId,
    /// The shard owner's fencing token.
    pub token: FencingToken,
    /// The worker's epoch that the commands are for.
    pub epoch: WorkerEpoch,
    /// The commands, in their order.
    pub commands: Vec<Command>,
    /// How often the call was delayed or repeated: only the first delivery is answered.
    pub redeliveries: u32,
}

/// The outcome of direct commands on its way back.
pub(super) struct DirectCallResponse {
    /// The process that the outcome goes to.
    pub caller: ControllerProcess,
    /// The machine that the commands were for.
    pub machine: MachineId,
    /// The fencing token of the call.
    pub token: FencingToken,
    /// What became of the call.
    pub outcome: DirectCallOutcome,
}

/// A message between controllers.
pub(super) struct PeerDelivery {
    /// The receiving node.
    pub to: usize,
    /// The sending node.
    pub from: usize,
    /// The message as it arrives.
    pub message: Message,
}

/// A heartbeat on its way to a controller.
pub(super) struct HeartbeatDelivery {
    /// The receiving node.
    pub node: usize,
    /// The machine that sent it.
    pub machine: MachineId,
    /// The worker drops responses that carry another ticket than its last heartbeat.
    pub ticket: u64,
    /// The heartbeat itself.
    pub heartbeat: Heartbeat,
}

/// Commands on their way back to the worker that sent a heartbeat.
pub(super) struct HeartbeatResponse {
    /// The machine that sent the heartbeat.
    pub machine: MachineId,
    /// The ticket of the heartbeat.
    pub ticket: u64,
    /// The shard owner's fencing token.
    pub token: FencingToken,
    /// The commands, in their order.
    pub commands: Vec<Command>,
}

/// The hint for a worker to turn to another controller.
pub(super) struct HeartbeatRedirect {
    /// The machine that sent the heartbeat.
    pub machine: MachineId,
    /// The ticket of the heartbeat.
    pub ticket: u64,
    /// The controller to turn to, if it is known.
    pub to: Option<usize>,
}

/// A controller waits until nothing of a cancelled job is left on machines.
pub(super) struct CancellationPoll {
    /// The process that the user has asked.
    pub process: ControllerProcess,
    /// The cancelled job.
    pub job: JobId,
    /// The round of acknowledgements that it waits for.
    pub round: CancellationRoundId,
    /// The controller gives up then, and the user asks again.
    pub deadline: MonotonicTime,
}

/// A controller cancels the jobs that depend on a cancelled one.
pub(super) struct CascadeStepDue {
    /// The process that the user has asked.
    pub process: ControllerProcess,
    /// The cancelled job.
    pub job: JobId,
    /// How far the cancellation of dependents has come.
    pub cascade: CancellationCascade,
    /// The controller gives up then, and the user asks again.
    pub deadline: MonotonicTime,
}

/// One event. Numbers of controllers are indices of nodes.
pub(super) enum SimulationEvent {
    /// A controller starts.
    ControllerStart(usize),
    /// A controller has its regular turn.
    ControllerTick(usize),
    /// The watch of a controller brings changes.
    WatchPoll(usize),
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
    /// A worker has its regular turn.
    WorkerTick(MachineId),
    /// A heartbeat arrives.
    Heartbeat(HeartbeatDelivery),
    /// A heartbeat arrives once more.
    DuplicateHeartbeat(usize, Heartbeat),
    /// The response to a heartbeat arrives.
    HeartbeatResponse(HeartbeatResponse),
    /// A redirect arrives in place of a response.
    HeartbeatRedirect(HeartbeatRedirect),
    /// Gangs start and end together.
    GangTick,
    /// A machine could not be reached for long, and its record must be gone.
    CheckUnreachable(MachineId),
    /// Faults are injected again.
    InjectFaults,
    /// Controllers stop and are back at once.
    RestartControllers,
    /// The leader stops.
    StopLeader,
    /// The key-value store is out for everybody for so many ms.
    StoreOutage(u64),
    /// An outage of the key-value store ends.
    StoreOutageEnd,
    /// The key-value store takes less from now on.
    LowerStoreLimits,
    /// A controller stops and comes back as the present version.
    Upgrade(usize),
    /// Users submit the next job.
    UserTick,
    /// A user submits a job that depends on others, or does so again.
    SubmitDependent(JobSpec),
    /// A user asks for a cancellation, or asks again.
    RequestCancellation(JobId),
    /// Users cancel what runs, all at once.
    CancelRunning,
    /// A job is cancelled as one of its tasks ends.
    CancelAtCompletion(JobId),
    /// A controller looks whether a cancellation is acknowledged.
    CancellationPoll(CancellationPoll),
    /// A controller goes on with the cancellation of dependents.
    CascadeStep(CascadeStepDue),
}

impl SimulationEvent {
    /// The controller that has to do something, if one has.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::ControllerTick(node)
            | Self::WatchPoll(node)
            | Self::LeaseRenewal(node)
            | Self::DuplicateHeartbeat(node, _) => Some(*node),
            Self::TxnResponse(response) => Some(response.caller.node),
            Self::DirectCallResponse(response) => Some(response.caller.node),
            Self::Peer(delivery) => Some(delivery.to),
            Self::CancellationPoll(poll) => Some(poll.process.node),
            Self::CascadeStep(step) => Some(step.process.node),
            Self::Heartbeat(delivery) => Some(delivery.node),
            _ => None,
        }
    }
}
