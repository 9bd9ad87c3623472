//! The protocol's own words. Nothing outside this module knows them.

mod cloud;
mod dependencies;
mod job;
pub mod store;
mod worker;

pub use cloud::{
    Catalog, ListedMachine, MachineList, MachineNames, MachineState, MachineType, RentRequest,
    machines_path,
};
#[cfg(test)]
pub use job::MAX_TASKS;
pub use job::{JobKind, JobSpec, JobState, JobStatus, Priority, submitted_id, valid_job_id};
#[cfg(test)]
pub use worker::TaskStatus;
pub use worker::{Command, ExitReason, Heartbeat, TaskState, commands, redirect};

/// Paths of the public side and of what is called.
pub mod path {
    pub const JOBS: &str = "/work";
    pub const CANCEL: &str = "withdraw";
    pub const READY: &str = "/ready";
    pub const HEARTBEAT: &str = "/checkin";
    pub const COMMANDS: &str = "/do";
    pub const CATALOG: &str = "/catalog";
    pub const MACHINES: &str = "/machines";
    pub const DELETE_MACHINES: &str = "/machines/delete";
    pub const LEASES: &str = "/grants";
    pub const TXN: &str = "/txn";
    pub const KV: &str = "/kv";
    pub const WATCH: &str = "/follow";
}

#[cfg(test)]
pub mod tests;
