//! The answers that users get.

use crate::http::Response;
use crate::ids::JobId;
use crate::protocol::{JobState, JobStatus};
use crate::store::records::FinalRecord;

/// Seconds after which users retry. Short, since most causes are over in a second or two.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// How many tasks of a job have reached a state, for display.
pub(super) struct TaskCounts {
    /// Tasks that are done.
    pub(super) done: u64,
    /// Tasks that are placed on machines.
    pub(super) running: u64,
}

/// The job was never accepted, or its name is not one of a job.
pub(super) fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

/// A job's state, with the counts of its tasks when they are known.
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

/// The state of a job that has ended.
pub(super) fn final_status(id: &JobId, record: FinalRecord) -> Response {
    let done = match record.state {
        JobState::Done => record.tasks.into(),
        _ => 0,
    };
    let counts = TaskCounts { done, running: 0 };
    job_status(200, id, record.state, Some(counts))
}
