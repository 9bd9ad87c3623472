//! Jobs: submissions, and what users are told of them.

use super::dependencies;
use crate::ids::{Image, JobId, Pipeline, Resources, TeamId, TypeName, Zone};
use serde::{Deserialize, Serialize};

pub(crate) const MAX_TASKS: u32 = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted; also its form in the key-value store, so that one description serves both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    pub id: JobId,
    #[serde(rename = "docket")]
    pub pipeline: Pipeline,
    #[serde(rename = "crew")]
    pub team: TeamId,
    #[serde(rename = "shape")]
    pub kind: JobKind,
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

pub(crate) fn valid_job_id(text: &str) -> bool {
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
    valid_job_id(&submitted.id).then(|| submitted.id.as_str().into())
}

impl JobSpec {
    /// Reads a submission; the message says which field is wrong.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
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

    pub(crate) fn need(&self) -> Resources {
        Resources::need(self.cpus, self.gpus, self.memory_gb)
    }

    pub(crate) fn allows(&self, type_name: &TypeName, zone: &Zone, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.types.as_ref().is_none_or(|t| t.contains(type_name))
    }
}

/// A job's state in the words of its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobState {
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
pub(crate) struct JobStatus<'a> {
    pub id: &'a str,
    #[serde(rename = "standing")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}
