//! The messages that controllers exchange with users, workers, the cloud and the key-value store.
//! The protocol's own words are mapped to the code's terms here, by serde attributes, and occur
//! nowhere else.

mod cloud;
mod dependencies;
mod job;
pub(crate) mod store;
mod worker;

pub(crate) use cloud::{
    Catalog, ListedMachine, MachineIds, MachineList, MachineState, MachineType, RentRequest,
    machines_path,
};
#[cfg(test)]
pub(crate) use job::MAX_TASKS;
pub(crate) use job::{
    JobKind, JobSpec, JobState, JobStatus, Priority, is_valid_job_id, submitted_id,
};
#[cfg(test)]
pub(crate) use worker::TaskStatus;
pub(crate) use worker::{
    Command, ExitReason, Heartbeat, TaskState, encode_commands, encode_redirect,
};

/// Paths and parts of paths of HTTP requests.
pub(crate) mod path {
    /// Users submit and poll jobs here.
    pub(crate) const JOBS: &str = "/work";
    /// The last part of a path under `JOBS` that cancels a job.
    pub(crate) const CANCEL: &str = "withdraw";
    /// Whether the controller is ready.
    pub(crate) const READY: &str = "/ready";
    /// Workers send heartbeats here.
    pub(crate) const HEARTBEAT: &str = "/checkin";
    /// Direct commands to workers.
    pub(crate) const COMMANDS: &str = "/do";
    /// The cloud's catalog of machine types.
    pub(crate) const CATALOG: &str = "/catalog";
    /// The cloud's machines: they are listed and rented here.
    pub(crate) const MACHINES: &str = "/machines";
    /// The cloud deletes machines here.
    pub(crate) const DELETE_MACHINES: &str = "/machines/delete";
    /// Leases of the key-value store.
    pub(crate) const LEASES: &str = "/grants";
    /// Transactions of the key-value store.
    pub(crate) const TXN: &str = "/txn";
    /// Reads of keys and of pages of keys.
    pub(crate) const KV: &str = "/kv";
    /// Watches of changes.
    pub(crate) const WATCH: &str = "/follow";
}

#[cfg(test)]
pub(crate) mod tests;
