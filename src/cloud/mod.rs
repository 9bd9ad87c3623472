//! The leader's duty towards the cloud: the catalog, renting for demand, returning what is idle,
//! deleting what never came up or went silent.

mod arrival_rate;
mod autoscaler;
mod demand;
mod slot_turnaround;

pub(crate) use autoscaler::{Autoscaler, Effect, RentOutcome};
