//! The responses that users get.

use crate::http::Response;
use crate::ids::JobId;
use crate::protocol::{JobState, JobStatus};
use crate::store::records::FinalRecord;

/// The `Retry-After` value in seconds. Most causes of a retry are over within one or two seconds.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// The number of a job's tasks in each state, for display.
pub(super) struct TaskCounts {
    /// Tasks that are done.
    pub(super) done: u64,
    /// Tasks that are placed on machines.
    pub(super) running: u64,
}

/// Returns the response for a job that was never accepted, or for an invalid job id.
pub(super) fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

/// Returns the response with a job's state, and with its task counts if they are known.
pub(super) fn job_status(
    code: u16,
    id: &JobId,
    state: JobState,
    counts: Option<TaskCounts>,
) -> Response {
    Response::json(
        code,
        &JobStatus {
            id: id.as_str(),
            state,
            done: counts.as_ref().map(|c| c.done),
            running: counts.as_ref().map(|c| c.running),
        },
    )
}

/// Returns the response for a job that has ended.
pub(super) fn final_status(id: &JobId, record: FinalRecord) -> Response {
    let done = match record.state {
        JobState::Done => record.tasks.into(),
        _ => 0,
    };
    let counts = TaskCounts { done, running: 0 };
    job_status(200, id, record.state, Some(counts))
}
