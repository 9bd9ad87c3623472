//! The protocol's own words. Nothing outside this module knows them.

mod dependencies;

use crate::ids::{
    Amounts, Attempt, Image, JobId, MachineId, Member, Pipeline, Run, Seq, Session, Span, TeamId,
    Token, TypeName, Zone,
};
use serde::{Deserialize, Serialize};

/// Paths of the public side and of what is called.
pub mod path {
    pub const JOBS: &str = "/work";
    pub const CANCEL: &str = "withdraw";
    pub const READY: &str = "/ready";
    pub const REPORT: &str = "/checkin";
    pub const COMMANDS: &str = "/do";
    pub const CATALOG: &str = "/catalog";
    pub const MACHINES: &str = "/machines";
    pub const DELETE_MACHINES: &str = "/machines/delete";
    pub const GRANTS: &str = "/grants";
    pub const TXN: &str = "/txn";
    pub const KV: &str = "/kv";
    pub const FOLLOW: &str = "/follow";
}

pub const MAX_TASKS: u32 = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted; also its form in the state service, so that one description serves both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    #[serde(rename = "docket")]
    pub pipeline: Pipeline,
    #[serde(rename = "crew")]
    pub team: TeamId,
    #[serde(rename = "shape")]
    pub kind: Kind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "sheets")]
    pub tasks: u32,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "plate")]
    pub image: Image,
    pub image_gb: f64,
    #[serde(rename = "hulls", default)]
    pub types: Option<Vec<TypeName>>,
    #[serde(rename = "berth", default)]
    pub zone: Option<Zone>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    #[serde(rename = "fix_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. Left out when there are none,
    /// so that other records stay as versions without the field write them.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "dependencies::deserialize",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

pub fn valid_job_id(text: &str) -> bool {
    text.strip_prefix("job-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The id of a submission that may be malformed otherwise.
pub fn submitted_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct Submitted {
        id: String,
    }
    let submitted: Submitted = serde_json::from_slice(body).ok()?;
    valid_job_id(&submitted.id).then(|| submitted.id.as_str().into())
}

impl JobSpec {
    /// Reads a submission; the message says which field is wrong.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let spec: Self = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        let texts = [
            ("docket", self.pipeline.as_str()),
            ("crew", self.team.as_str()),
            ("plate", self.image.as_str()),
        ];
        if !valid_job_id(self.id.as_str()) {
            return Err("field `id` must have the form job-000412".into());
        }
        // Names become parts of keys, which hold no spaces and at most 200 bytes.
        for (field, text) in texts {
            let bad = |c: char| c.is_whitespace() || c.is_control() || c == '/';
            if text.is_empty() || text.len() > 100 || text.contains(bad) {
                return Err(format!("field `{field}` must be a name of 1 to 100 bytes"));
            }
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err("field `sheets` must be from 1 to 100000".into());
        }
        let amounts = [
            ("cores", self.cpus),
            ("cards", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("reckon_s", self.estimate_s),
            ("fix_s", self.checkpoint_s),
            ("stow_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || !(0.0..=1e9).contains(&value) {
                return Err(format!("field `{field}` is out of range"));
            }
        }
        if self.cpus <= 0.0 {
            return Err("field `cores` must be above 0".into());
        }
        Ok(())
    }

    pub fn need(&self) -> Amounts {
        Amounts::need(self.cpus, self.gpus, self.memory_gb)
    }

    pub fn allows(&self, type_name: &TypeName, zone: &Zone, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.types.as_ref().is_none_or(|t| t.contains(type_name))
    }
}

/// A job's state in the words of its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus<'a> {
    pub id: &'a str,
    #[serde(rename = "standing")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

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

/// A machine type of the cloud's catalog; also kept in the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: TypeName,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    #[serde(rename = "berths")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    pub fn room(&self) -> Amounts {
        Amounts::room(self.cpus, self.gpus, self.memory_gb)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RentRequest {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "hull")]
    pub type_name: TypeName,
    #[serde(rename = "berth")]
    pub zone: Zone,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineNames {
    #[serde(rename = "moorings")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    pub id: MachineId,
    #[serde(rename = "hull")]
    pub type_name: TypeName,
    #[serde(rename = "berth")]
    pub zone: Zone,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: MachineState,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "moorings")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next")]
    pub more: bool,
}

/// The state service's messages.
pub mod state {
    use crate::ids::{GrantId, Revision};
    use serde::{Deserialize, Serialize};
    use serde_json::Value;

    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub struct Condition {
        pub key: String,
        #[serde(rename = "amendment")]
        pub revision: Revision,
    }

    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    #[serde(untagged)]
    pub enum Change {
        Put {
            #[serde(rename = "write")]
            key: String,
            #[serde(rename = "data")]
            value: Value,
            #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
            grant: Option<GrantId>,
        },
        Delete {
            #[serde(rename = "delete")]
            key: String,
        },
    }

    #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
    pub struct Txn {
        #[serde(rename = "if")]
        pub conditions: Vec<Condition>,
        #[serde(rename = "then")]
        pub changes: Vec<Change>,
    }

    impl Txn {
        pub fn require(&mut self, key: impl Into<String>, revision: Revision) {
            let key = key.into();
            if !self.conditions.iter().any(|c| c.key == key) {
                self.conditions.push(Condition { key, revision });
            }
        }
        pub fn put(
            &mut self,
            key: impl Into<String>,
            value: &impl Serialize,
            grant: Option<GrantId>,
        ) {
            self.changes.push(Change::Put {
                key: key.into(),
                value: serde_json::to_value(value).unwrap_or(Value::Null),
                grant,
            });
        }
        pub fn delete(&mut self, key: impl Into<String>) {
            self.changes.push(Change::Delete { key: key.into() });
        }
    }

    #[derive(Debug, Default, Deserialize)]
    pub struct TxnAnswer {
        #[serde(default)]
        pub failed: Vec<String>,
        #[serde(rename = "edition", default)]
        pub revision: Revision,
    }

    #[derive(Debug, Deserialize)]
    pub struct Item {
        pub key: String,
        #[serde(rename = "data")]
        pub value: Value,
        #[serde(rename = "amendment")]
        pub revision: Revision,
        #[serde(rename = "permit", default)]
        pub grant: Option<GrantId>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Page {
        pub items: Vec<Item>,
        #[serde(rename = "has_next")]
        pub more: bool,
        #[serde(rename = "edition")]
        pub revision: Revision,
    }

    #[derive(Debug, Deserialize)]
    pub struct Event {
        #[serde(rename = "write", default)]
        pub put: Option<String>,
        #[serde(rename = "delete", default)]
        pub delete: Option<String>,
        #[serde(rename = "data", default)]
        pub value: Value,
        #[serde(rename = "amendment")]
        pub revision: Revision,
    }

    #[derive(Debug, Deserialize)]
    pub struct Events {
        #[serde(rename = "edition")]
        pub revision: Revision,
        pub events: Vec<Event>,
    }

    #[derive(Debug, Deserialize)]
    pub struct Grant {
        #[serde(rename = "permit")]
        pub id: GrantId,
    }

    pub fn grant_request(life_ms: u64) -> Vec<u8> {
        serde_json::json!({ "life_ms": life_ms })
            .to_string()
            .into_bytes()
    }
    pub fn grant_path(grant: GrantId) -> String {
        format!("{}/{grant}", super::path::GRANTS)
    }
    pub fn extend_path(grant: GrantId) -> String {
        format!("{}/{grant}/extend", super::path::GRANTS)
    }
    pub fn key_path(key: &str) -> String {
        format!("{}/{key}", super::path::KV)
    }
    pub fn page_path(prefix: &str, after: Option<&str>) -> String {
        let tail = after.map_or_else(String::new, |a| format!("&after={a}"));
        format!("{}?prefix={prefix}{tail}&most=1000", super::path::KV)
    }
    pub fn follow_path(prefix: &str, after: Revision, block_ms: u64) -> String {
        format!(
            "{}?prefix={prefix}&after={after}&block_ms={block_ms}",
            super::path::FOLLOW
        )
    }
}

pub fn machines_path(after: Option<&MachineId>) -> String {
    let after = after.map_or_else(String::new, |a| format!("after={a}&"));
    format!("{}?{after}most=500", path::MACHINES)
}

#[cfg(test)]
pub mod tests;
