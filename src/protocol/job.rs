//! Jobs as users submit them, and the states that users see.

use super::dependencies;
use crate::ids::{Image, JobId, MachineTypeName, Pipeline, Resources, TeamId, Zone};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most tasks that a job may have.
pub(crate) const MAX_TASKS: u32 = 100_000;

/// The longest name of a pipeline, team or image, in bytes. Names become parts of keys, which hold
/// no spaces and at most 200 bytes.
const MAX_NAME_BYTES: usize = 100;
/// The largest amount and duration that is accepted.
const MAX_AMOUNT: f64 = 1e9;

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A job's priority, lowest first. Work of a higher one may preempt work of a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Priority {
    /// Runs on what nobody else needs.
    #[serde(rename = "idle")]
    Low,
    /// The usual one.
    #[serde(rename = "normal")]
    Normal,
    /// More urgent work.
    #[serde(rename = "high")]
    High,
    /// Production.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted; also its form in the key-value store, so that one description serves both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// Its unique id, chosen by its user; a retry uses the same.
    pub id: JobId,
    /// The class of jobs that it belongs to, whose history predicts it.
    #[serde(rename = "docket")]
    pub pipeline: Pipeline,
    /// The team whose guaranteed quota and quota limit apply.
    #[serde(rename = "crew")]
    pub team: TeamId,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Whom it may preempt.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// How many tasks it has, numbered from 0.
    #[serde(rename = "sheets")]
    pub tasks: u32,
    /// CPUs that each task takes.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task takes.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    pub memory_gb: f64,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "plate")]
    pub image: Image,
    /// The image's size in GB.
    pub image_gb: f64,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "hulls", default)]
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The only allowed zone; `None`: any.
    #[serde(rename = "berth", default)]
    pub zone: Option<Zone>,
    /// All tasks must be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// The job may use spot machines.
    #[serde(rename = "ebb")]
    pub allow_spot: bool,
    /// The user's estimate of a task's run time, without the image's fetch.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// The checkpoint interval, in seconds of progress; 0: tasks never save.
    #[serde(rename = "fix_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "stow_s")]
    pub checkpoint_duration_s: f64,
    /// Seconds from its submission until it should be done; `None`: no deadline.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts. Left out when there are none,
    /// so that other records stay as versions without the field write them.
    #[serde(rename = "awaits", default)]
    #[serde(deserialize_with = "dependencies::deserialize")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// Whether a text has the form of a job's id.
pub(crate) fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix("job-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The id of a submission that may be malformed otherwise.
pub(crate) fn submitted_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct Submitted {
        id: String,
    }
    let submitted: Submitted = serde_json::from_slice(body).ok()?;
    is_valid_job_id(&submitted.id).then(|| submitted.id.as_str().into())
}

/// Why a submission is malformed. The texts are shown to users.
#[derive(Debug, Error)]
pub(crate) enum MalformedSubmission {
    /// Not JSON, not an object, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The id is not one of a job.
    #[error("field `id` must have the form job-000412")]
    Id,
    /// A name is empty, too long, or has characters that keys can't hold.
    #[error("field `{0}` must be a name of 1 to {max} bytes", max = MAX_NAME_BYTES)]
    Name(&'static str),
    /// There are no tasks, or too many.
    #[error("field `sheets` must be from 1 to {max}", max = MAX_TASKS)]
    TaskCount,
    /// An amount or a duration is negative or far too large.
    #[error("field `{0}` is out of range")]
    Amount(&'static str),
    /// Tasks take no CPUs.
    #[error("field `cores` must be above 0")]
    NoCpus,
}

impl JobSpec {
    /// Reads a submission; the error says which field is wrong.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, MalformedSubmission> {
        let spec: Self = serde_json::from_slice(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), MalformedSubmission> {
        if !is_valid_job_id(self.id.as_str()) {
            return Err(MalformedSubmission::Id);
        }
        self.check_names()?;
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(MalformedSubmission::TaskCount);
        }
        self.check_amounts()
    }

    fn check_names(&self) -> Result<(), MalformedSubmission> {
        let names = [
            ("docket", self.pipeline.as_str()),
            ("crew", self.team.as_str()),
            ("plate", self.image.as_str()),
        ];
        let is_bad = |c: char| c.is_whitespace() || c.is_control() || c == '/';
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(is_bad) {
                return Err(MalformedSubmission::Name(field));
            }
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), MalformedSubmission> {
        let amounts = [
            ("cores", self.cpus),
            ("cards", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("reckon_s", self.estimate_s),
            ("fix_s", self.checkpoint_interval_s),
            ("stow_s", self.checkpoint_duration_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(MalformedSubmission::Amount(field));
            }
        }
        if self.cpus <= 0.0 {
            return Err(MalformedSubmission::NoCpus);
        }
        Ok(())
    }

    /// What each task takes of its machine.
    pub(crate) fn need(&self) -> Resources {
        Resources::need(self.cpus, self.gpus, self.memory_gb)
    }

    /// Whether its tasks may run on such machines, whatever their size.
    pub(crate) fn allows(&self, type_name: &MachineTypeName, zone: &Zone, spot: bool) -> bool {
        (self.allow_spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(type_name))
    }
}

/// A job's state as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is placed.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or with a job that it depends on.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct JobStatus<'a> {
    /// The job.
    pub id: &'a str,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// How many of its tasks are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// How many of its tasks are placed, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}
