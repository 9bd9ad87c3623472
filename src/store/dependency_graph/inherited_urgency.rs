//! Propagates the urgency of blocked jobs to their dependencies.

use super::DependencyGraph;
use crate::ids::JobId;
use crate::store::urgency::Urgency;
use std::collections::VecDeque;

impl DependencyGraph {
    /// Returns the urgency that a job inherits from its dependents, if it has any.
    pub(crate) fn inherited(&self, id: &JobId) -> Option<Urgency> {
        self.inherited.get(id).copied()
    }

    /// Returns a job's own urgency merged with the one that it inherits.
    pub(crate) fn merge_inherited(&self, id: &JobId, own: Urgency) -> Urgency {
        self.inherited(id).map_or(own, |other| own.merge(other))
    }

    /// Returns the urgency of a blocked job, including what it inherits. Returns `None` if the job is
    /// not blocked.
    pub(crate) fn urgency(&self, id: &JobId) -> Option<Urgency> {
        let job = self.jobs.get(id)?;
        let own = Urgency::from_spec(&job.spec, job.accepted_at);
        Some(self.merge_inherited(id, own))
    }

    /// Returns the urgency that a blocked job passes on to each of its dependencies. Returns `None` if
    /// the job is not blocked.
    pub(super) fn urgency_for_dependencies(&self, id: &JobId) -> Option<Urgency> {
        let predicted = self.jobs.get(id)?.predicted_run_time();
        Some(self.urgency(id)?.for_dependencies(predicted))
    }

    /// Propagates a new job's urgency to its direct and indirect dependencies, until nothing changes.
    /// Returns the jobs that have become more urgent.
    pub(super) fn propagate_urgency(&mut self, id: &JobId) -> Vec<JobId> {
        let mut raised = Vec::new();
        let mut queue = VecDeque::from([id.clone()]);
        while let Some(next) = queue.pop_front() {
            let Some(passed) = self.urgency_for_dependencies(&next) else {
                continue;
            };
            let dependencies = self.jobs[&next].spec.dependencies.clone();
            for dependency in dependencies {
                let old = self.inherited.get(&dependency).copied();
                let new = old.map_or(passed, |old| old.merge(passed));
                if old != Some(new) {
                    self.inherited.insert(dependency.clone(), new);
                    raised.push(dependency.clone());
                    queue.push_back(dependency);
                }
            }
        }
        raised
    }

    /// Recomputes the inherited urgency of these jobs, and that of their direct and indirect
    /// dependencies until nothing changes. Returns the jobs whose inherited urgency has changed.
    pub(super) fn recompute_inherited(&mut self, jobs: Vec<JobId>) -> Vec<JobId> {
        let mut changed = Vec::new();
        let mut queue = VecDeque::from(jobs);
        while let Some(next) = queue.pop_front() {
            let passed = self
                .dependents(&next)
                .filter_map(|d| self.urgency_for_dependencies(d));
            let new = passed.reduce(Urgency::merge);
            if new == self.inherited.get(&next).copied() {
                continue;
            }
            match new {
                Some(new) => drop(self.inherited.insert(next.clone(), new)),
                None => drop(self.inherited.remove(&next)),
            }
            if let Some(job) = self.jobs.get(&next) {
                queue.extend(job.spec.dependencies.iter().cloned());
            }
            changed.push(next);
        }
        changed
    }
}
