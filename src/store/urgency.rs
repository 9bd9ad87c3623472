//! How urgent a job is: by itself, and by the jobs that depend on it.

use crate::ids::{Millis, UnixTime};
use crate::protocol::{JobSpec, Priority};

/// A priority, and the latest moment at which the job may be done so that everything which
/// depends on it can still be in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Urgency {
    /// The highest priority that anything depends on.
    pub priority: Priority,
    /// That moment; none where there is no deadline.
    pub finish_by: Option<UnixTime>,
}

impl Urgency {
    /// By itself: as the job's owner has specified it.
    pub(crate) fn from_spec(spec: &JobSpec, accepted_at: UnixTime) -> Self {
        let deadline = spec.deadline_s.map(Millis::from_secs);
        Self {
            priority: spec.priority,
            finish_by: deadline.map(|span| UnixTime(accepted_at.0.saturating_add(span.0))),
        }
    }

    /// Whichever is more urgent, in priority and in time.
    pub(crate) fn merge(self, other: Self) -> Self {
        let times = [self.finish_by, other.finish_by];
        Self {
            priority: self.priority.max(other.priority),
            finish_by: times.into_iter().flatten().min(),
        }
    }

    /// What a job passes back to those that it depends on: they have to be done before it starts.
    pub(crate) fn for_dependencies(self, predicted: Millis) -> Self {
        let earlier = |at: UnixTime| UnixTime(at.0.saturating_sub(predicted.0));
        Self {
            finish_by: self.finish_by.map(earlier),
            ..self
        }
    }
}
