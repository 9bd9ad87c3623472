//! The messages that controllers exchange with users, workers, the cloud and the key-value store.
//! The submodules map the protocol's names to the names that the rest of the code uses, mostly by
//! serde attributes.

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

/// Paths and path segments of HTTP requests.
pub(crate) mod path {
    /// The endpoint where users submit and poll jobs.
    pub(crate) const JOBS: &str = "/work";
    /// The last path segment, under `JOBS`, of a request that cancels a job.
    pub(crate) const CANCEL: &str = "withdraw";
    /// The readiness endpoint of a controller.
    pub(crate) const READY: &str = "/ready";
    /// The endpoint to which workers send heartbeats.
    pub(crate) const HEARTBEAT: &str = "/checkin";
    /// The endpoint of workers for direct commands, which a controller sends without waiting for the
    /// next heartbeat.
    pub(crate) const COMMANDS: &str = "/do";
    /// The cloud's catalog of machine types.
    pub(crate) const CATALOG: &str = "/catalog";
    /// The cloud's endpoint that lists and rents machines.
    pub(crate) const MACHINES: &str = "/machines";
    /// The cloud's endpoint that deletes machines.
    pub(crate) const DELETE_MACHINES: &str = "/machines/delete";
    /// The key-value store's endpoint for leases.
    pub(crate) const LEASES: &str = "/grants";
    /// The key-value store's endpoint for transactions.
    pub(crate) const TXN: &str = "/txn";
    /// The key-value store's endpoint that reads single keys and pages of keys.
    pub(crate) const KV: &str = "/kv";
    /// The key-value store's endpoint for watches.
    pub(crate) const WATCH: &str = "/follow";
}

#[cfg(test)]
pub(crate) mod tests;
