//! The leader's part towards the cloud: keeping the catalog, renting machines for demand, returning
//! idle ones, deleting those that never came up or went silent.

mod arrival_rate;
mod autoscaler;
mod demand;
mod slot_turnaround;

pub(crate) use autoscaler::{Autoscaler, Effect, RentOutcome};
