//! Dependent jobs start after their dependencies are done, and are cancelled with a cancelled
//! dependency.

use crate::ids::JobId;
use crate::protocol::{JobSpec, JobState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use std::collections::BTreeSet;

impl SimulatedCluster {
    fn is_done(&self, id: &JobId) -> bool {
        let done = self
            .observed
            .completed_indices
            .get(id)
            .map_or(0, BTreeSet::len);
        done >= self.jobs[id].tasks as usize
    }

    /// Records `DependencyNotDone` if a dependency of the job is not done.
    pub(in crate::simulation) fn check_dependencies_done(&mut self, spec: &JobSpec) {
        let unfinished = spec.dependencies.iter().find(|id| !self.is_done(id));
        if let Some(unfinished) = unfinished.cloned() {
            self.record_violation(
                ViolationKind::DependencyNotDone,
                format!("{} before {unfinished}", spec.id),
            );
        }
    }

    /// Records `OrphanedDependent` for live jobs with a dependency whose user was told of its
    /// cancellation more than `CANCELLATION_LIMIT_MS` ago. Such jobs would still be reported as queued
    /// or running.
    pub(in crate::simulation) fn check_no_orphaned_dependents(&mut self) {
        let live = self.jobs.keys();
        let live = live.filter(|id| self.store.contains(&keys::job(id)));
        let orphaned = live.filter(|id| {
            let mut dependencies = self.transitive_dependencies(id).into_iter();
            dependencies.any(|dependency| self.is_past_cancellation_limit(&dependency))
        });
        let orphaned: Vec<JobId> = orphaned.cloned().collect();
        for orphan in orphaned {
            self.record_violation(ViolationKind::OrphanedDependent, orphan);
        }
    }

    /// Returns whether a dependency of the job is not done. The job may then wait even if there is
    /// room.
    pub(in crate::simulation) fn has_unfinished_dependencies(&self, spec: &JobSpec) -> bool {
        let mut dependencies = spec.dependencies.iter();
        dependencies.any(|id| self.final_state(id) != Some(JobState::Done))
    }
}
