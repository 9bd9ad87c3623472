//! Ids of tasks and task attempts.

use super::names::JobId;
use super::numbers::AttemptNumber;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskId {
    /// The id of the job.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Parses an id in its `Display` form.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// The id of a task attempt, which is one start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskAttempt {
    /// The id of the task.
    pub task: TaskId,
    /// The number of the attempt.
    pub number: AttemptNumber,
}

impl fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
