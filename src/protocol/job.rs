//! Jobs as users submit them, and the job states that are reported to users.

use super::dependencies;
use crate::ids::{Image, JobId, MachineTypeName, Pipeline, Resources, TeamId, Zone};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of tasks of a job.
pub(crate) const MAX_TASKS: u32 = 100_000;

/// Maximum length of the name of a pipeline, team or image, in bytes. Names become parts of store
/// keys, which have at most 200 bytes. `JobSpec::check_names` also refuses the characters that keys
/// may not contain.
const MAX_NAME_BYTES: usize = 100;
/// Maximum value of resource amounts and durations in a submission.
const MAX_AMOUNT: f64 = 1e9;

/// The kind of a job, which defines how its tasks run in relation to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Tasks that run at the same time: either all of them run or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A job's priority, lowest first. Jobs of a higher priority may preempt jobs of a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Priority {
    /// Runs only on capacity that no other job needs.
    #[serde(rename = "idle")]
    Low,
    /// The normal priority.
    #[serde(rename = "normal")]
    Normal,
    /// More urgent than normal.
    #[serde(rename = "high")]
    High,
    /// Production jobs.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted. The key-value store holds the same form, so that one type serves both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// The job's unique id, chosen by its user. A retry of the submission uses the same id.
    pub id: JobId,
    /// The class of jobs that the job belongs to. The history of the class is used to predict the
    /// job.
    #[serde(rename = "docket")]
    pub pipeline: Pipeline,
    /// The team whose guaranteed quota and quota limit apply.
    #[serde(rename = "crew")]
    pub team: TeamId,
    /// The kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// The job's priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks; they are numbered from 0.
    #[serde(rename = "sheets")]
    pub tasks: u32,
    /// CPUs that each task needs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task needs.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    pub memory_gb: f64,
    /// The container image, which a machine must have fetched before a task can start.
    #[serde(rename = "plate")]
    pub image: Image,
    /// The image's size in GB.
    pub image_gb: f64,
    /// The allowed machine types; `None` allows any.
    #[serde(rename = "hulls", default)]
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The only allowed zone; `None` allows any.
    #[serde(rename = "berth", default)]
    pub zone: Option<Zone>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the job may use spot machines.
    #[serde(rename = "ebb")]
    pub allow_spot: bool,
    /// The user's estimate of a task's run time in seconds, without the time to fetch the image.
    #[serde(rename = "reckon_s")]
    pub estimate_s: f64,
    /// The checkpoint interval, in seconds of progress; 0 if tasks write no checkpoints.
    #[serde(rename = "fix_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_duration_s: f64,
    /// The deadline, in seconds from the submission; `None` if there is no deadline.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// The jobs that must be done before any task of this job starts. The field is omitted if there
    /// are none, so that the records of jobs without dependencies stay the same as those that
    /// versions without this field write.
    #[serde(rename = "awaits", default)]
    #[serde(deserialize_with = "dependencies::deserialize")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// Returns whether a text has the form of a job id.
pub(crate) fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix("job-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Returns the job id of a submission, even if other fields of the submission are malformed.
pub(crate) fn submitted_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct Submitted {
        id: String,
    }
    let submitted: Submitted = serde_json::from_slice(body).ok()?;
    is_valid_job_id(&submitted.id).then(|| submitted.id.as_str().into())
}

/// The reason why a submission is malformed. Users see these texts.
#[derive(Debug, Error)]
pub(crate) enum MalformedSubmission {
    /// The submission is not JSON or not an object, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The id does not have the form of a job id.
    #[error("field `id` must have the form job-000412")]
    Id,
    /// A name is empty or too long, or contains characters that store keys may not contain.
    #[error("field `{0}` must be a name of 1 to {max} bytes", max = MAX_NAME_BYTES)]
    Name(&'static str),
    /// The number of tasks is 0 or above the limit.
    #[error("field `sheets` must be from 1 to {max}", max = MAX_TASKS)]
    TaskCount,
    /// An amount or a duration is negative or above the limit.
    #[error("field `{0}` is out of range")]
    Amount(&'static str),
    /// The tasks need no CPUs.
    #[error("field `cores` must be above 0")]
    NoCpus,
}

impl JobSpec {
    /// Parses and validates a submission. The error names the invalid field.
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
        let is_forbidden = |c: char| c.is_whitespace() || c.is_control() || c == '/';
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(is_forbidden) {
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

    /// Returns the resources that each task needs.
    pub(crate) fn need(&self) -> Resources {
        Resources::need(self.cpus, self.gpus, self.memory_gb)
    }

    /// Returns whether the job's constraints allow machines of this type, zone and spot status. The
    /// capacity of the machine type is not checked.
    pub(crate) fn allows(&self, type_name: &MachineTypeName, zone: &Zone, spot: bool) -> bool {
        (self.allow_spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(type_name))
    }
}

/// A job's state as it is reported to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobState {
    /// The job has not ended, and none of its tasks is placed on a machine.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is placed on a machine. It may not have started yet.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by its user, or together with a job that it depends on.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The response to a submission, a poll or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobStatus<'a> {
    /// The job's id.
    pub id: &'a str,
    /// The job's state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks that are done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Number of tasks that are placed on machines, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}
