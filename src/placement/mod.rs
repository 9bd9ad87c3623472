//! The leader's duty: team accounts, the order of jobs, where each task is allotted, and what
//! is stopped to make room.

mod allotment_ledger;
mod candidates;
mod fault_tracking;
mod gangs;
mod preemption;
mod queue_order;
mod queue_turns;
mod quota_usage;
mod ranking;
mod record_capacity;
mod replicas;
mod scheduler;
mod scheduling_pass;
mod unmet_demand;
mod zone_constraint;

pub(crate) use queue_order::service_order;
pub(crate) use replicas::{replicas, spare_replicas};
pub(crate) use scheduler::{Effect, RECORD_WRITE_SHARE, Scheduler};
pub(crate) use unmet_demand::UnmetDemand;

#[cfg(test)]
mod tests;
