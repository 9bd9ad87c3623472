//! The design's ordinary path: predictions from a pipeline's own history, and the plans that are
//! made at acceptance.

mod cancel_dependents;
pub mod counter;
mod graph;
mod history;
mod pipeline;

pub use cancel_dependents::cancel_dependents;
pub use graph::{Graph, Node, plan};
pub use history::{History, predict};
pub use pipeline::plan_job;

use crate::store::watch_cache::LiveJob;

/// The predicted run time of one task of a job, in seconds.
pub fn predicted_s(job: &LiveJob) -> f64 {
    let plan = job.plan.as_ref();
    plan.map_or(job.spec.estimate_s, |p| p.predicted_s)
}
