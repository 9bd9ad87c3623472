//! Planning of accepted jobs: run times predicted from a pipeline's history, plans, completion counters, and
//! the cancellation of dependents.

mod cancel_dependents;
pub(crate) mod completion_counter;
mod graph;
mod history;
mod pipeline;

pub(crate) use cancel_dependents::cancel_dependents;
pub(crate) use history::History;
pub(crate) use pipeline::plan_job;

use crate::store::watch_cache::LiveJob;

/// Returns the predicted run time of one task of a job, in seconds.
pub(crate) fn predicted_s(job: &LiveJob) -> f64 {
    let plan = job.plan.as_ref();
    plan.map_or(job.spec.estimate_s, |p| p.predicted_s)
}
