//! The urgency of a job, which depends on its own specification and on its dependents.

use crate::ids::{Millis, UnixTime};
use crate::protocol::{JobSpec, Priority};

/// The priority and the latest finish time of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Urgency {
    /// The highest priority among the job and its dependents.
    pub priority: Priority,
    /// The latest time at which the job may finish so that it and all its dependents can meet their
    /// deadlines. It is `None` if none of them has a deadline.
    pub finish_by: Option<UnixTime>,
}

impl Urgency {
    /// Returns a job's own urgency, from its specification.
    pub(crate) fn from_spec(spec: &JobSpec, accepted_at: UnixTime) -> Self {
        let deadline = spec.deadline_s.map(Millis::from_secs);
        Self {
            priority: spec.priority,
            finish_by: deadline.map(|span| UnixTime(accepted_at.0.saturating_add(span.0))),
        }
    }

    /// Combines the higher priority with the earlier finish time.
    pub(crate) fn merge(self, other: Self) -> Self {
        let times = [self.finish_by, other.finish_by];
        Self {
            priority: self.priority.max(other.priority),
            finish_by: times.into_iter().flatten().min(),
        }
    }

    /// Returns the urgency that a job passes on to its dependencies. They have to be done before it
    /// starts, so the finish time is earlier by the job's predicted run time.
    pub(crate) fn for_dependencies(self, predicted: Millis) -> Self {
        let earlier = |at: UnixTime| UnixTime(at.0.saturating_sub(predicted.0));
        Self {
            finish_by: self.finish_by.map(earlier),
            ..self
        }
    }
}
