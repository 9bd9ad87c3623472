//! How urgency passes from blocked jobs back to the jobs that they depend on.

use super::DependencyGraph;
use crate::ids::JobId;
use crate::store::urgency::Urgency;
use std::collections::VecDeque;

impl DependencyGraph {
    /// What the dependents of a job pass back to it.
    pub(crate) fn inherited(&self, id: &JobId) -> Option<Urgency> {
        self.inherited.get(id).copied()
    }

    /// How urgent a job is that is as urgent as `own` by itself.
    pub(crate) fn merge_inherited(&self, id: &JobId, own: Urgency) -> Urgency {
        self.inherited(id).map_or(own, |other| own.merge(other))
    }

    /// How urgent a blocked job is, by itself and by its own dependents.
    pub(crate) fn urgency(&self, id: &JobId) -> Option<Urgency> {
        let job = self.jobs.get(id)?;
        let own = Urgency::from_spec(&job.spec, job.accepted_at);
        Some(self.merge_inherited(id, own))
    }

    /// What a blocked job passes back to each of its dependencies.
    pub(super) fn urgency_for_dependencies(&self, id: &JobId) -> Option<Urgency> {
        let predicted = self.jobs.get(id)?.predicted_run_time();
        Some(self.urgency(id)?.for_dependencies(predicted))
    }

    /// Passes a new job's urgency back along its ancestors, as far as it changes anything. Returns
    /// the jobs that have become more urgent.
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

    /// Recomputes what these jobs inherit, and what changes with it along their ancestors. Returns
    /// the jobs whose urgency has changed.
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
