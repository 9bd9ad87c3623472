//! What a user was told is cancelled does not run, and was asked for.

use crate::ids::JobId;
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::timing::CANCELLATION_LIMIT_MS;
use crate::simulation::violations::ViolationKind;

impl SimulatedCluster {
    /// For how many ms a job's user has known that it is cancelled.
    fn cancelled_for(&self, job: &JobId) -> Option<u64> {
        let told = self.cancelled.get(job)?;
        Some(self.now.since(*told).0)
    }

    /// Whether the user was told so long before that nothing of the job may be left.
    pub(super) fn is_cancelled_for_long(&self, job: &JobId) -> bool {
        let ms = self.cancelled_for(job);
        ms.is_some_and(|ms| ms > CANCELLATION_LIMIT_MS)
    }

    /// Whether the user was told before a command was sent that takes so many ms.
    pub(super) fn is_cancelled_for_more_than(&self, job: &JobId, transit_ms: u64) -> bool {
        self.cancelled_for(job).is_some_and(|ms| ms > transit_ms)
    }

    /// `CancelledTaskRan` for what is on a machine, reachable or not.
    pub(in crate::simulation) fn check_cancelled_tasks_stopped(&mut self) {
        let kept = self.live_attempts();
        let kept = kept.filter(|live| self.is_cancelled_for_long(&live.attempt.task.job));
        let kept: Vec<String> = kept
            .map(|live| format!("{} on {}", live.attempt, live.machine))
            .collect();
        for what in kept {
            self.record_violation(ViolationKind::CancelledTaskRan, what);
        }
    }

    /// A job is only cancelled if its user has asked for it, or with one that it needs.
    pub(in crate::simulation) fn check_cancellation_reason(&mut self, id: &JobId) {
        let asked =
            |id: &JobId| self.pending_cancellations.contains(id) || self.cancelled.contains_key(id);
        let mut reasons = self.ancestors(id);
        reasons.insert(id.clone());
        if !reasons.iter().any(asked) {
            self.record_violation(ViolationKind::CancelledWithoutReason, id);
        }
    }
}
