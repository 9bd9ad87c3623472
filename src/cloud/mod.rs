//! The leader's duty towards the cloud: the catalog, renting for demand, returning what is idle,
//! deleting what never came up or went silent.

mod demand;
mod fleet;
mod flow;
mod overdue;
mod turnaround;

pub use fleet::{Effect, Fleet, RentOutcome};
pub use overdue::Overdue;
