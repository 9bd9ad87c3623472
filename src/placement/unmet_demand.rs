//! Demand without free capacity: the input for scaling out and for preemption.

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
    /// How many tasks there are.
    pub tasks: u64,
    /// All tasks at the same time: a service or a gang.
    pub must_run_concurrently: bool,
    /// Only a machine that has the image will do.
    pub requires_cached_image: bool,
}

impl UnmetDemand {
    /// The unmet demand for some of a job's tasks, on whatever machine it may use.
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
