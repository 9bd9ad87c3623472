//! What workers report, and what they are told.

use crate::ids::{
    AttemptNumber, FencingToken, HeartbeatSequence, MachineId, Member, Millis, TaskAttempt,
    TypeName, WorkerEpoch, Zone,
};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "mates_gone")]
    Peers,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "error", other)]
    Error,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct TaskStatus {
    #[serde(rename = "sheet")]
    pub task: String,
    #[serde(rename = "sortie")]
    pub attempt_number: AttemptNumber,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// What a worker says of its machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Heartbeat {
    #[serde(rename = "mooring")]
    pub machine: MachineId,
    pub addr: String,
    #[serde(rename = "hull")]
    pub type_name: TypeName,
    #[serde(rename = "berth")]
    pub zone: Zone,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub epoch: WorkerEpoch,
    #[serde(rename = "log_no")]
    pub sequence: HeartbeatSequence,
    #[serde(rename = "helm")]
    pub token: FencingToken,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|e| e.to_string())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    Launch(TaskAttempt),
    Stop(TaskAttempt, Millis),
    Forget(TaskAttempt),
}

impl Command {
    pub(crate) fn run(&self) -> &TaskAttempt {
        match self {
            Self::Launch(attempt) | Self::Stop(attempt, _) | Self::Forget(attempt) => attempt,
        }
    }
}

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
        let attempt = command.run();
        Self {
            verb,
            task: attempt.task.to_string(),
            attempt_number: attempt.number,
            grace_s,
        }
    }
}

#[derive(Serialize)]
struct CommandsMessage {
    #[serde(rename = "helm")]
    token: FencingToken,
    #[serde(rename = "watch", skip_serializing_if = "Option::is_none")]
    epoch: Option<WorkerEpoch>,
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage>,
}

/// The body of a heartbeat's answer, or, with an epoch, of a direct command.
pub(crate) fn commands(
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

/// Where a worker is sent when another controller holds its machine.
pub(crate) fn redirect(owner: Option<&Member>) -> Vec<u8> {
    let body = match owner {
        Some(member) => serde_json::json!({ "harbormaster": member }),
        None => serde_json::json!({}),
    };
    body.to_string().into_bytes()
}
