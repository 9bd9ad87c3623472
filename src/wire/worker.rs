//! What workers report, and what they are told.

use crate::ids::{Attempt, MachineId, Member, Run, Seq, Session, Span, Token, TypeName, Zone};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
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
pub enum Why {
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
pub struct TaskReport {
    #[serde(rename = "sheet")]
    pub task: String,
    #[serde(rename = "sortie")]
    pub attempt: Attempt,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub why: Option<Why>,
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// What a worker says of its machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
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
    pub session: Session,
    #[serde(rename = "log_no")]
    pub seq: Seq,
    #[serde(rename = "helm")]
    pub token: Token,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "sheets")]
    pub tasks: Vec<TaskReport>,
}

impl Report {
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|e| e.to_string())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Start(Run),
    Stop(Run, Span),
    Forget(Run),
}

impl Order {
    pub fn run(&self) -> &Run {
        match self {
            Self::Start(run) | Self::Stop(run, _) | Self::Forget(run) => run,
        }
    }
}

#[derive(Serialize)]
struct OrderOut {
    order: &'static str,
    sheet: String,
    sortie: Attempt,
    #[serde(skip_serializing_if = "Option::is_none")]
    slack_s: Option<f64>,
}

impl From<&Order> for OrderOut {
    fn from(order: &Order) -> Self {
        let (word, slack_s) = match order {
            Order::Start(_) => ("launch", None),
            Order::Stop(_, grace) => ("stop", Some(grace.secs())),
            Order::Forget(_) => ("reap", None),
        };
        let run = order.run();
        Self {
            order: word,
            sheet: run.task.to_string(),
            sortie: run.attempt,
            slack_s,
        }
    }
}

#[derive(Serialize)]
struct OrdersOut {
    helm: Token,
    #[serde(skip_serializing_if = "Option::is_none")]
    watch: Option<Session>,
    orders: Vec<OrderOut>,
}

/// The body of a report's answer, or, with a session, of a direct command.
pub fn orders(token: Token, session: Option<Session>, orders: &[Order]) -> Vec<u8> {
    let out = OrdersOut {
        helm: token,
        watch: session,
        orders: orders.iter().map(OrderOut::from).collect(),
    };
    serde_json::to_vec(&out).unwrap_or_default()
}

/// Where a worker is sent when another controller holds its machine.
pub fn redirect(holder: Option<&Member>) -> Vec<u8> {
    let body = match holder {
        Some(member) => serde_json::json!({ "harbormaster": member }),
        None => serde_json::json!({}),
    };
    body.to_string().into_bytes()
}
