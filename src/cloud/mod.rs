//! Cloud management by the leader: fetches the machine catalog, rents machines for unmet demand, returns
//! idle machines, and deletes those that never booted or became unresponsive.

mod arrival_rate;
mod autoscaler;
mod demand;
mod slot_turnaround;

pub(crate) use autoscaler::{Autoscaler, Effect, RentOutcome};
