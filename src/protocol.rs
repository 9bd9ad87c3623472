//! The protocol's own words. Nothing outside this module knows them.

mod cloud;
mod dependencies;
mod job;
pub(crate) mod store;
mod worker;

pub(crate) use cloud::{
    Catalog, ListedMachine, MachineList, MachineNames, MachineState, MachineType, RentRequest,
    machines_path,
};
#[cfg(test)]
pub(crate) use job::MAX_TASKS;
pub(crate) use job::{JobKind, JobSpec, JobState, JobStatus, Priority, submitted_id, valid_job_id};
#[cfg(test)]
pub(crate) use worker::TaskStatus;
pub(crate) use worker::{Command, ExitReason, Heartbeat, TaskState, commands, redirect};

/// Paths of the public side and of what is called.
pub(crate) mod path {
    pub(crate) const JOBS: &str = "/work";
    pub(crate) const CANCEL: &str = "withdraw";
    pub(crate) const READY: &str = "/ready";
    pub(crate) const HEARTBEAT: &str = "/checkin";
    pub(crate) const COMMANDS: &str = "/do";
    pub(crate) const CATALOG: &str = "/catalog";
    pub(crate) const MACHINES: &str = "/machines";
    pub(crate) const DELETE_MACHINES: &str = "/machines/delete";
    pub(crate) const LEASES: &str = "/grants";
    pub(crate) const TXN: &str = "/txn";
    pub(crate) const KV: &str = "/kv";
    pub(crate) const WATCH: &str = "/follow";
}

#[cfg(test)]
pub(crate) mod tests;
