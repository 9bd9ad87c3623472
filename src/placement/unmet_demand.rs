//! Demand without free capacity: the input for scaling out and for preemption.

use crate::ids::{JobId, Resources};
use crate::planning::predicted_s;
use crate::protocol::{JobKind, Priority};
use crate::store::watch_cache::LiveJob;

/// Tasks of one job for which no machine has free capacity.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnmetDemand {
    /// The job that the tasks belong to.
    pub job: JobId,
    /// The resources of each of the tasks.
    pub need: Resources,
    /// How many tasks there are.
    pub tasks: u64,
    /// The predicted run time of one task.
    pub seconds: f64,
    /// The job's priority, or that of the most urgent job that depends on it.
    pub priority: Priority,
    /// All tasks at the same time: a service or a gang.
    pub together: bool,
    /// Only a machine that has the image will do.
    pub cached_only: bool,
}

impl UnmetDemand {
    /// The unmet demand for some of a job's tasks, on whatever machine it may use.
    pub(super) fn for_job(id: &JobId, job: &LiveJob, tasks: u64) -> Self {
        let spec = &job.spec;
        Self {
            job: id.clone(),
            need: spec.need(),
            tasks,
            seconds: predicted_s(job),
            priority: job.priority(),
            together: spec.kind != JobKind::Array,
            cached_only: false,
        }
    }
}
