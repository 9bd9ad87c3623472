//! laurellanding: a cluster scheduler. Three or more controllers share the machines of a cluster.
//! They keep persistent state only in a consensus-backed key-value store.
//!
//! [`Config`] is read from the settings file that the platform provides, and [`run`] runs one
//! controller until the process is terminated. `docs/ARCHITECTURE.md` says which module owns which
//! state.

mod admin;
mod api;
mod cancellation;
mod cloud;
#[cfg(test)]
mod compatibility;
mod config;
mod controller;
mod daemon;
mod episodes;
mod http;
mod ids;
mod leadership;
mod peers;
mod placement;
mod planning;
mod protocol;
mod read_leases;
mod runtime;
#[cfg(test)]
mod simulation;
mod store;
mod worker_control;

pub use config::{Config, ConfigError};
pub use daemon::run;
