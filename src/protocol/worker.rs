//! Heartbeats of workers, and commands to them.

use crate::ids::{
    AttemptNumber, FencingToken, HeartbeatSequence, MachineId, MachineTypeName, MemberId, Millis,
    TaskAttempt, WorkerEpoch, Zone,
};
use serde::{Deserialize, Serialize};

/// The state of a task attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum TaskState {
    /// It waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits for the other tasks of its gang's attempt.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs, or exits soon because its gang ends.
    #[serde(rename = "running")]
    Running,
    /// It was stopped and writes a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// It has ended, for an `ExitReason`.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum ExitReason {
    /// The task is done.
    #[serde(rename = "done")]
    Done,
    /// A command stopped it.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "mates_gone")]
    GangMemberGone,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Launch refused: the machine has no free capacity for it.
    #[serde(rename = "full")]
    NoCapacity,
    /// Launch refused: the machine has this task with another attempt.
    #[serde(rename = "busy")]
    OtherAttemptPresent,
    /// Launch refused: there is no such job or task.
    #[serde(rename = "unknown")]
    Unknown,
    /// It failed, or it ended for a reason that this version does not know.
    #[serde(rename = "error", other)]
    Error,
}

/// A task attempt as a heartbeat reports it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TaskStatus {
    /// The task's id as text.
    #[serde(rename = "sheet")]
    pub task: String,
    /// The attempt of it.
    #[serde(rename = "sortie")]
    pub attempt_number: AttemptNumber,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it ended, if it did.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether its progress was saved, if it was stopped.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's report of its machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Heartbeat {
    /// The machine's id.
    #[serde(rename = "mooring")]
    pub machine: MachineId,
    /// Where the worker takes direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// The machine's zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// The worker's epoch: one more with each expiry of its lease.
    #[serde(rename = "watch")]
    pub epoch: WorkerEpoch,
    /// Orders the heartbeats of one epoch.
    #[serde(rename = "log_no")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine back, after a spot interruption notice.
    #[serde(rename = "warning_s", default)]
    pub until_interruption_s: Option<f64>,
    /// All task attempts on the machine, and those that exited until they are forgotten.
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Reads a heartbeat; the error names the field that is wrong.
    pub(crate) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Launch a task attempt.
    Launch(TaskAttempt),
    /// Stop one; it has so long to write its checkpoint.
    Stop(TaskAttempt, Millis),
    /// Forget one that has ended: its outcome is recorded.
    Forget(TaskAttempt),
}

impl Command {
    /// The task attempt that the command is for.
    pub(crate) fn attempt(&self) -> &TaskAttempt {
        match self {
            Self::Launch(attempt) | Self::Stop(attempt, _) | Self::Forget(attempt) => attempt,
        }
    }
}

/// A command's form on the wire.
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

/// The form of several commands on the wire.
#[derive(Serialize)]
struct CommandsMessage {
    #[serde(rename = "helm")]
    token: FencingToken,
    #[serde(rename = "watch", skip_serializing_if = "Option::is_none")]
    epoch: Option<WorkerEpoch>,
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage>,
}

/// The body of a heartbeat's answer, or, with an epoch, of direct commands.
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

/// The body that redirects a worker to the owner of its machine's shard, as far as it is known.
pub(crate) fn encode_redirect(owner: Option<&MemberId>) -> Vec<u8> {
    let body = match owner {
        Some(member) => serde_json::json!({ "harbormaster": member }),
        None => serde_json::json!({}),
    };
    body.to_string().into_bytes()
}
