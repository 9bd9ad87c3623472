//! Jobs are cancelled only on request, and their tasks stop within `CANCELLATION_LIMIT_MS` after the
//! user was told of the cancellation.

use crate::ids::JobId;
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::timing::CANCELLATION_LIMIT_MS;
use crate::simulation::violations::ViolationKind;

impl SimulatedCluster {
    /// Returns the time in ms since the job's user was told of the cancellation.
    fn ms_since_cancellation(&self, job: &JobId) -> Option<u64> {
        let confirmed_at = self.confirmed_cancellations.get(job)?;
        Some(self.now.since(*confirmed_at).0)
    }

    /// Returns whether the user was told more than `CANCELLATION_LIMIT_MS` ago, so that no task of
    /// the job may be live.
    pub(super) fn is_past_cancellation_limit(&self, job: &JobId) -> bool {
        let ms = self.ms_since_cancellation(job);
        ms.is_some_and(|ms| ms > CANCELLATION_LIMIT_MS)
    }

    /// Returns whether the user was told more than `transit_ms` ago, and thus before a command
    /// that arrives now was sent.
    pub(super) fn is_cancelled_for_more_than(&self, job: &JobId, transit_ms: u64) -> bool {
        self.ms_since_cancellation(job)
            .is_some_and(|ms| ms > transit_ms)
    }

    /// Records `CancelledTaskRan` for live attempts of cancelled jobs, also on unreachable
    /// machines.
    pub(in crate::simulation) fn check_cancelled_tasks_stopped(&mut self) {
        let attempts = self.live_attempts();
        let overdue =
            attempts.filter(|live| self.is_past_cancellation_limit(&live.attempt.task.job));
        let subjects: Vec<String> = overdue
            .map(|live| format!("{} on {}", live.attempt, live.machine))
            .collect();
        for subject in subjects {
            self.record_violation(ViolationKind::CancelledTaskRan, subject);
        }
    }

    /// Records `CancelledWithoutReason` unless a user requested the cancellation of the job or of
    /// one of its transitive dependencies.
    pub(in crate::simulation) fn check_cancellation_reason(&mut self, id: &JobId) {
        let is_requested = |id: &JobId| {
            self.pending_cancellations.contains(id) || self.confirmed_cancellations.contains_key(id)
        };
        let mut reasons = self.transitive_dependencies(id);
        reasons.insert(id.clone());
        if !reasons.iter().any(is_requested) {
            self.record_violation(ViolationKind::CancelledWithoutReason, id);
        }
    }
}
