//! Heartbeats of workers, and commands to workers.

use crate::ids::{
    AttemptNumber, FencingToken, HeartbeatSequence, MachineId, MachineTypeName, MemberId, Millis,
    TaskAttempt, WorkerEpoch, Zone,
};
use serde::{Deserialize, Serialize};

/// The state of a task attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum TaskState {
    /// The attempt waits until the machine has fetched its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The attempt waits for the other tasks of its gang that have the same attempt number.
    #[serde(rename = "waiting")]
    Waiting,
    /// The attempt runs. It may be about to exit because its gang is ending.
    #[serde(rename = "running")]
    Running,
    /// The attempt was stopped and is writing a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// The attempt has ended; the `ExitReason` says why.
    #[serde(rename = "ended")]
    Exited,
}

/// The reason why a task attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum ExitReason {
    /// The task is done.
    #[serde(rename = "done")]
    Done,
    /// A stop command ended the attempt.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang has ended or was lost.
    #[serde(rename = "mates_gone")]
    GangMemberGone,
    /// The gang was not complete within the time limit.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The worker refused the launch: the machine has too little free capacity.
    #[serde(rename = "full")]
    NoCapacity,
    /// The worker refused the launch: the machine already has another attempt of this task.
    #[serde(rename = "busy")]
    OtherAttemptPresent,
    /// The worker refused the launch: the job or task does not exist.
    #[serde(rename = "unknown")]
    Unknown,
    /// The attempt failed, or it ended for a reason that this version does not know.
    #[serde(rename = "error", other)]
    Error,
}

/// A task attempt as a heartbeat reports it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TaskStatus {
    /// The task's id as text.
    #[serde(rename = "sheet")]
    pub task: String,
    /// The number of the attempt.
    #[serde(rename = "sortie")]
    pub attempt_number: AttemptNumber,
    /// The state of the attempt.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// The reason why the attempt ended, if it has ended.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether a checkpoint was saved, if the attempt was stopped.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's report on its machine and the task attempts there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Heartbeat {
    /// The machine's id.
    #[serde(rename = "mooring")]
    pub machine: MachineId,
    /// The address at which the worker accepts direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// The machine's zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// The worker's epoch, which increases by one with each expiry of the worker's lease.
    #[serde(rename = "watch")]
    pub epoch: WorkerEpoch,
    /// The sequence number of the heartbeat within its epoch.
    #[serde(rename = "log_no")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; present after a spot interruption notice.
    #[serde(rename = "warning_s", default)]
    pub until_interruption_s: Option<f64>,
    /// All task attempts on the machine, including those that have exited and are not forgotten
    /// yet.
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Parses a heartbeat. The error names the invalid field.
    pub(crate) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Launch a task attempt.
    Launch(TaskAttempt),
    /// Stop a task attempt, which has the given time to write its checkpoint.
    Stop(TaskAttempt, Millis),
    /// Forget a task attempt that has ended and whose outcome is recorded.
    Forget(TaskAttempt),
}

impl Command {
    /// Returns the task attempt that the command is for.
    pub(crate) fn attempt(&self) -> &TaskAttempt {
        match self {
            Self::Launch(attempt) | Self::Stop(attempt, _) | Self::Forget(attempt) => attempt,
        }
    }
}

/// The serialized form of a command.
#[derive(Serialize)]
struct CommandMessage {
    #[serde(rename = "order")]
    verb: &'static str,
    #[serde(rename = "sheet")]
    task: String,
    #[serde(rename = "sortie")]
    attempt_number: AttemptNumber,
    #[serde(rename = "slack_s", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

impl From<&Command> for CommandMessage {
    fn from(command: &Command) -> Self {
        let (verb, grace_s) = match command {
            Command::Launch(_) => ("launch", None),
            Command::Stop(_, grace) => ("stop", Some(grace.as_secs_f64())),
            Command::Forget(_) => ("reap", None),
        };
        let attempt = command.attempt();
        Self {
            verb,
            task: attempt.task.to_string(),
            attempt_number: attempt.number,
            grace_s,
        }
    }
}

/// The serialized form of a list of commands.
#[derive(Serialize)]
struct CommandsMessage {
    #[serde(rename = "helm")]
    token: FencingToken,
    #[serde(rename = "watch", skip_serializing_if = "Option::is_none")]
    epoch: Option<WorkerEpoch>,
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage>,
}

/// Returns the body of a message with commands: of a heartbeat response if `epoch` is `None`, or of a
/// direct command request for the worker epoch `epoch`.
pub(crate) fn encode_commands(
    token: FencingToken,
    epoch: Option<WorkerEpoch>,
    commands: &[Command],
) -> Vec<u8> {
    let message = CommandsMessage {
        token,
        epoch,
        commands: commands.iter().map(CommandMessage::from).collect(),
    };
    serde_json::to_vec(&message).unwrap_or_default()
}

/// Returns the body of a response that redirects a worker to the owner of its machine's shard. The
/// body is an empty object if the owner is unknown.
pub(crate) fn encode_redirect(owner: Option<&MemberId>) -> Vec<u8> {
    let body = match owner {
        Some(member) => serde_json::json!({ "harbormaster": member }),
        None => serde_json::json!({}),
    };
    body.to_string().into_bytes()
}
