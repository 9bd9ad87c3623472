//! What can happen in a simulated cluster.

use crate::api::dependencies::CancellationCascade;
use crate::cancellation::RoundId;
use crate::controller::{Effect, TxnRequester};
use crate::ids::{FencingToken, JobId, MachineId, MonotonicTime, WorkerEpoch};
use crate::peers::Message;
use crate::protocol::store::Txn;
use crate::protocol::{Command, Heartbeat, JobSpec};
use crate::store::TxnOutcome;
use crate::worker_control::DirectCallOutcome;

/// One process of a controller: responses to an earlier process of the same node are dropped.
#[derive(Clone, Copy)]
pub(super) struct ControllerProcess {
    pub node: usize,
    /// Rises with each stop and start of the node.
    pub generation: u64,
}

impl ControllerProcess {
    /// Nobody waits for the response any more.
    pub(super) fn gone(node: usize) -> Self {
        Self {
            node,
            generation: u64::MAX,
        }
    }
}

/// A transaction on its way to the key-value store.
pub(super) struct TxnRequest {
    pub caller: ControllerProcess,
    pub requester: TxnRequester,
    pub txn: Txn,
    /// The caller still waits for the outcome.
    pub answered: bool,
}

/// The outcome of a transaction on its way back.
pub(super) struct TxnResponse {
    pub caller: ControllerProcess,
    pub requester: TxnRequester,
    pub outcome: TxnOutcome,
}

/// Direct commands on their way to a worker.
pub(super) struct DirectCall {
    pub caller: ControllerProcess,
    pub machine: MachineId,
    pub token: FencingToken,
    pub epoch: WorkerEpoch,
    pub commands: Vec<Command>,
    /// How often the call was delayed or repeated: only the first delivery is answered.
    pub redeliveries: u32,
}

/// The outcome of direct commands on its way back.
pub(super) struct DirectCallResponse {
    pub caller: ControllerProcess,
    pub machine: MachineId,
    pub token: FencingToken,
    pub outcome: DirectCallOutcome,
}

/// A message between controllers.
pub(super) struct PeerDelivery {
    pub to: usize,
    pub from: usize,
    pub message: Message,
}

/// A heartbeat on its way to a controller.
pub(super) struct HeartbeatDelivery {
    pub node: usize,
    pub machine: MachineId,
    /// The worker drops responses that carry another ticket than its last heartbeat.
    pub ticket: u64,
    pub heartbeat: Heartbeat,
}

/// Commands on their way back to the worker that sent a heartbeat.
pub(super) struct HeartbeatResponse {
    pub machine: MachineId,
    pub ticket: u64,
    pub token: FencingToken,
    pub commands: Vec<Command>,
}

/// The hint for a worker to turn to another controller.
pub(super) struct HeartbeatRedirect {
    pub machine: MachineId,
    pub ticket: u64,
    /// The controller to turn to, if it is known.
    pub to: Option<usize>,
}

/// A controller waits until nothing of a cancelled job is left on machines.
pub(super) struct CancellationPoll {
    pub process: ControllerProcess,
    pub job: JobId,
    pub round: RoundId,
    /// The controller gives up then, and the user asks again.
    pub deadline: MonotonicTime,
}

/// A controller cancels the jobs that depend on a cancelled one.
pub(super) struct CascadeStepDue {
    pub process: ControllerProcess,
    pub job: JobId,
    pub cascade: CancellationCascade,
    /// The controller gives up then, and the user asks again.
    pub deadline: MonotonicTime,
}

/// One event. Numbers of controllers are indices of nodes.
pub(super) enum SimulationEvent {
    ControllerStart(usize),
    ControllerTick(usize),
    WatchPoll(usize),
    LeaseRenewal(usize),
    TxnRequest(TxnRequest),
    TxnResponse(TxnResponse),
    DirectCall(DirectCall),
    DirectCallResponse(DirectCallResponse),
    Peer(PeerDelivery),
    CloudCall(ControllerProcess, Effect),
    MachineBoot(MachineId),
    WorkerTurn(MachineId),
    Heartbeat(HeartbeatDelivery),
    DuplicateHeartbeat(usize, Heartbeat),
    HeartbeatResponse(HeartbeatResponse),
    HeartbeatRedirect(HeartbeatRedirect),
    /// Gangs start and end together.
    GangTurn,
    /// A machine could not be reached for long, and its record must be gone.
    CheckUnreachable(MachineId),
    /// Faults are injected again.
    InjectFaults,
    /// Controllers stop and are back at once.
    RestartControllers,
    StopLeader,
    /// The key-value store is out for everybody for so many ms.
    StoreOutage(u64),
    StoreOutageEnds,
    /// The key-value store takes less from now on.
    LowerStoreLimits,
    /// A controller stops and comes back as the present version.
    Upgrade(usize),
    /// Users submit the next job.
    UserTurn,
    /// A user submits a job that depends on others, or does so again.
    SubmitDependent(JobSpec),
    /// A user asks for a cancellation, or asks again.
    RequestCancellation(JobId),
    /// Users cancel what runs, all at once.
    CancelRunning,
    /// A job is cancelled as one of its tasks ends.
    CancelAtCompletion(JobId),
    CancellationPoll(CancellationPoll),
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
