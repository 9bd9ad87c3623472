//! The leader's duty: team accounts, the order of jobs, where each task is allotted, and what
//! is stopped to make room.

mod accounts;
mod candidates;
mod faults;
mod gangs;
mod ledger;
mod order;
mod pass;
mod preemption;
mod preference;
mod record_room;
mod replicas;
mod scheduler;
mod shortage;
mod turns;
mod zone_rule;

pub use order::service_order;
pub use replicas::{replicas, spare_replicas};
pub use scheduler::{Effect, RECORDS_SHARE, Scheduler};
pub use shortage::Shortage;

#[cfg(test)]
mod tests;
