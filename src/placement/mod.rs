//! Scheduling on the leader: team quotas, queue order, allotment of tasks to machines, and
//! preemption.

mod allotment_ledger;
mod attempt_numbers;
mod candidates;
mod fault_tracking;
mod gangs;
mod pass_inputs;
mod pending_allotment;
mod pending_usage;
mod preemption;
mod queue_order;
mod queue_turns;
mod quota_usage;
mod ranking;
mod record_capacity;
mod replica_reserve;
mod replicas;
mod reported_health;
mod scheduler;
mod scheduling_pass;
mod unmet_demand;
mod victims;
mod zone_constraint;

pub(crate) use queue_order::jobs_in_queue_order;
pub(crate) use replicas::{machine_replica_usage, reserved_replicas};
pub(crate) use scheduler::{ARRAY_WRITE_SHARE, Effect, Scheduler};
pub(crate) use unmet_demand::UnmetDemand;

#[cfg(test)]
mod tests;
