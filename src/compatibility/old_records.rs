//! Copies of the record types of the version in production. The tests deserialize records of this
//! version into them.

use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct Member {
    pub incarnation: u64,
    pub grant: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct Job {
    pub spec: JobSpec,
    pub accepted: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct JobSpec {
    pub id: String,
    pub docket: String,
    pub crew: String,
    pub shape: String,
    pub precedence: String,
    pub sheets: u32,
    pub cores: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub plate: String,
    pub image_gb: f64,
    #[serde(default)]
    pub hulls: Option<Vec<String>>,
    #[serde(default)]
    pub berth: Option<String>,
    pub same_place: bool,
    pub scatter: bool,
    pub ebb: bool,
    pub reckon_s: f64,
    pub fix_s: f64,
    pub stow_s: f64,
    #[serde(default)]
    pub due_s: Option<f64>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct FinalRecord {
    pub state: String,
    pub tasks: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct TaskResources {
    pub cpus: u64,
    pub gpus: u64,
    pub memory: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct MachineJob {
    pub job: String,
    pub team: String,
    pub need: TaskResources,
    pub image: String,
    pub tasks: Vec<(u32, u64)>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct CompletedTasks {
    pub job: String,
    pub ranges: Vec<(u32, u32)>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct Machine {
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub jobs: Vec<MachineJob>,
    #[serde(default)]
    pub done: Vec<CompletedTasks>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub(super) struct PlanRecord {
    pub type_name: Option<String>,
    pub machines: Vec<String>,
    pub predicted_s: f64,
}

pub(super) type PlanBatch = BTreeMap<String, PlanRecord>;
