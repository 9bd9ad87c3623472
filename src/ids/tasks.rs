//! A job's tasks and their starts.

use super::names::JobId;
use super::numbers::AttemptNumber;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index in it, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Reads an id as it is displayed.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// One start of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Which of its starts.
    pub number: AttemptNumber,
}

impl fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
