//! What a user was told is cancelled does not run, and was asked for.

use crate::ids::JobId;
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::timing::CANCELLATION_LIMIT_MS;
use crate::simulation::violations::ViolationKind;

impl SimulatedCluster {
    /// For how many ms a job's user has known that it is cancelled.
    fn ms_since_cancellation(&self, job: &JobId) -> Option<u64> {
        let confirmed_at = self.confirmed_cancellations.get(job)?;
        Some(self.now.since(*confirmed_at).0)
    }

    /// Whether the user was told so long before that nothing of the job may be left.
    pub(super) fn is_past_cancellation_limit(&self, job: &JobId) -> bool {
        let ms = self.ms_since_cancellation(job);
        ms.is_some_and(|ms| ms > CANCELLATION_LIMIT_MS)
    }

    /// Whether the user was told before a command was sent that takes so many ms.
    pub(super) fn is_cancelled_for_more_than(&self, job: &JobId, transit_ms: u64) -> bool {
        self.ms_since_cancellation(job)
            .is_some_and(|ms| ms > transit_ms)
    }

    /// `CancelledTaskRan` for what is on a machine, reachable or not.
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

    /// A job is only cancelled if its user has asked for it, or with one that it needs.
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
