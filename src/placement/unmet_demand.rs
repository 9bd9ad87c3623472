//! What found no room: the input for renting and for preemption.

use crate::ids::{JobId, Resources};
use crate::planning::predicted_s;
use crate::protocol::{JobKind, Priority};
use crate::store::watch_cache::LiveJob;

/// Tasks for which no machine has room.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnmetDemand {
    pub job: JobId,
    /// What each of the tasks takes.
    pub need: Resources,
    pub tasks: u64,
    /// The predicted run time of one task.
    pub seconds: f64,
    pub priority: Priority,
    /// All tasks at the same time: a service or a gang.
    pub together: bool,
    /// Only a machine that has the image will do.
    pub cached_only: bool,
}

impl UnmetDemand {
    pub(super) fn of(id: &JobId, job: &LiveJob, tasks: u64) -> Self {
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
