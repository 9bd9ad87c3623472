//! The leader's duty: team accounts, the order of jobs, where each task is allotted, and what
//! is stopped to make room.

mod accounts;
mod faults;
mod gangs;
mod order;
mod scheduler;

pub use order::service_order;
pub use scheduler::{Effect, Scheduler, Shortage, replicas, spare_replicas};

#[cfg(test)]
mod tests;
