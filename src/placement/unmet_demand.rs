//! Demand without free capacity, the input for scaling out and for preemption.

use crate::ids::{JobId, Resources};
use crate::protocol::JobKind;
use crate::store::watch_cache::LiveJob;

/// Tasks of one job for which no machine has free capacity.
#[derive(Clone, Debug)]
pub(crate) struct UnmetDemand {
    /// The job that the tasks belong to.
    pub job: JobId,
    /// The resources of each of the tasks.
    pub need: Resources,
    /// The number of tasks.
    pub tasks: u64,
    /// Whether all tasks must run at the same time, as for a service or a gang.
    pub must_run_concurrently: bool,
    /// Whether only a machine that has the job's image satisfies the demand.
    pub requires_cached_image: bool,
}

impl UnmetDemand {
    /// Creates the unmet demand for some of a job's tasks on any machine that the job may use.
    pub(super) fn for_job(id: &JobId, job: &LiveJob, tasks: u64) -> Self {
        let spec = &job.spec;
        Self {
            job: id.clone(),
            need: spec.need(),
            tasks,
            must_run_concurrently: spec.kind != JobKind::Array,
            requires_cached_image: false,
        }
    }
}
