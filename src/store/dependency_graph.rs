//! Jobs that wait for others to be done: which job each of them still needs, what follows from
//! another job's end, and how urgent that makes the jobs that they need.
//!
//! A waiting job's counter is the set of jobs whose final record has not been seen to say "done"
//! (the paper's II.B, as a set: a repeat counts once). Final records never change, so what was
//! once noted stays true.

use super::records::PlanRecord;
use super::urgency::Urgency;
use crate::ids::{JobId, MachineId, Millis, Revision, UnixTime};
use crate::protocol::JobSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How a job that others need has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    Done,
    Cancelled,
}

#[derive(Debug)]
pub(crate) struct BlockedJob {
    pub spec: Rc<JobSpec>,
    pub accepted: UnixTime,
    pub revision: Revision,
    pub plan: Option<PlanRecord>,
    /// Jobs that are not known to be done.
    unfinished: BTreeSet<JobId>,
}

impl BlockedJob {
    pub(crate) fn new(
        spec: JobSpec,
        accepted: UnixTime,
        revision: Revision,
        plan: Option<PlanRecord>,
    ) -> Self {
        Self {
            unfinished: spec.dependencies.iter().cloned().collect(),
            spec: Rc::new(spec),
            accepted,
            revision,
            plan,
        }
    }

    fn predicted(&self) -> Millis {
        let estimate = self.spec.estimate_s;
        Millis::from_secs(self.plan.as_ref().map_or(estimate, |p| p.predicted_s))
    }
}

#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    jobs: BTreeMap<JobId, BlockedJob>,
    /// The waiting jobs that need a job, by that job; never empty.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// What a job's dependents pass back to it, by that job.
    inherited: BTreeMap<JobId, Urgency>,
    /// How jobs with dependents have ended, as far as that is known.
    outcomes: BTreeMap<JobId, JobOutcome>,
    /// Jobs with dependents that have ended, without it being known how.
    with_unknown_outcome: BTreeSet<JobId>,
    /// Jobs with dependents that are known to be cancelled.
    cancelled: BTreeSet<JobId>,
    /// Waiting jobs without a plan.
    unplanned: BTreeSet<JobId>,
    /// Waiting jobs that need nothing more.
    ready: BTreeSet<JobId>,
    /// Where the tasks of ended jobs with dependents ran.
    ran_on: BTreeMap<JobId, Vec<MachineId>>,
}

impl DependencyGraph {
    pub(crate) fn get(&self, id: &JobId) -> Option<&BlockedJob> {
        self.jobs.get(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether any waiting job needs this one.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependents.contains_key(id)
    }

    /// The waiting jobs that name a job as one that they need.
    pub(crate) fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// All waiting jobs that need a job, directly or through others, nearest first.
    pub(crate) fn descendants(&self, id: &JobId) -> Vec<JobId> {
        let mut seen = BTreeSet::new();
        let mut found = Vec::new();
        let mut queue = VecDeque::from([id.clone()]);
        while let Some(next) = queue.pop_front() {
            for dependent in self.dependents(&next) {
                if seen.insert(dependent.clone()) {
                    found.push(dependent.clone());
                    queue.push_back(dependent.clone());
                }
            }
        }
        found
    }

    /// Jobs with dependents that have ended, and of which it has to be read how.
    pub(crate) fn with_unknown_outcome(&self) -> impl Iterator<Item = &JobId> {
        self.with_unknown_outcome.iter()
    }

    /// Cancelled jobs on which waiting jobs still depend.
    pub(crate) fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// Waiting jobs without a plan.
    pub(crate) fn unplanned(&self) -> impl Iterator<Item = &JobId> {
        self.unplanned.iter()
    }

    /// Waiting jobs all of whose dependencies are done.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Where the job ran whose placement group a waiting job shares.
    pub(crate) fn group_machines(&self, id: &JobId) -> &[MachineId] {
        let plan = self.jobs.get(id).and_then(|job| job.plan.as_ref());
        let parent = plan.and_then(|p| p.joins.as_ref());
        let ran_on = parent.and_then(|p| self.ran_on.get(p));
        ran_on.map_or(&[], Vec::as_slice)
    }

    /// What the dependents of a job pass back to it.
    pub(crate) fn inherited(&self, id: &JobId) -> Option<Urgency> {
        self.inherited.get(id).copied()
    }

    /// How urgent a job is that is as urgent as `own` by itself.
    pub(super) fn merge_inherited(&self, id: &JobId, own: Urgency) -> Urgency {
        self.inherited(id).map_or(own, |other| own.merge(other))
    }

    /// How urgent a waiting job is, by itself and by its own dependents.
    pub(crate) fn urgency(&self, id: &JobId) -> Option<Urgency> {
        let job = self.jobs.get(id)?;
        let own = Urgency::of(&job.spec, job.accepted);
        Some(self.merge_inherited(id, own))
    }

    fn urgency_for_dependencies(&self, id: &JobId) -> Option<Urgency> {
        let predicted = self.jobs.get(id)?.predicted();
        Some(self.urgency(id)?.before(predicted))
    }

    /// Takes in a waiting job. `is_live` tells of any other job whether it stands and does not
    /// wait. Returns the jobs that have become more urgent.
    pub(crate) fn insert(
        &mut self,
        id: JobId,
        mut job: BlockedJob,
        is_live: impl Fn(&JobId) -> bool,
    ) -> Vec<JobId> {
        let dependencies = job.spec.dependencies.clone();
        for dependency in &dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.clone());
            match self.outcomes.get(dependency) {
                Some(JobOutcome::Done) => drop(job.unfinished.remove(dependency)),
                Some(JobOutcome::Cancelled) => {}
                None if is_live(dependency) || self.jobs.contains_key(dependency) => {}
                None => drop(self.with_unknown_outcome.insert(dependency.clone())),
            }
        }
        if job.unfinished.is_empty() {
            self.ready.insert(id.clone());
        }
        if job.plan.is_none() {
            self.unplanned.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        self.mark_live(&id);
        self.propagate_urgency(&id)
    }

    /// Takes out a job that waits no more. Returns the jobs whose urgency may have changed.
    pub(crate) fn remove(&mut self, id: &JobId) -> Vec<JobId> {
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.ready.remove(id);
        self.unplanned.remove(id);
        let mut lowered = Vec::new();
        for dependency in &job.spec.dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.forget(dependency);
                }
            }
            if !self.has_ended(dependency) {
                lowered.push(dependency.clone());
            }
        }
        self.recompute(lowered)
    }

    fn forget(&mut self, id: &JobId) {
        self.dependents.remove(id);
        self.outcomes.remove(id);
        self.with_unknown_outcome.remove(id);
        self.cancelled.remove(id);
        self.ran_on.remove(id);
    }

    fn has_ended(&self, id: &JobId) -> bool {
        self.outcomes.contains_key(id) || self.with_unknown_outcome.contains(id)
    }

    /// A job stands in the watch cache, waiting or not.
    pub(crate) fn mark_live(&mut self, id: &JobId) {
        self.with_unknown_outcome.remove(id);
    }

    /// A job has left the watch cache.
    pub(crate) fn mark_ended(&mut self, id: &JobId) {
        if self.has_dependents(id) && !self.outcomes.contains_key(id) {
            self.with_unknown_outcome.insert(id.clone());
        }
    }

    /// A job has ended, or is about to, and its tasks ran on these machines.
    pub(crate) fn record_machines(&mut self, id: &JobId, machines: &[MachineId]) {
        if self.has_dependents(id) && !machines.is_empty() {
            self.ran_on.insert(id.clone(), machines.to_vec());
        }
    }

    /// Notes what a job's final record says.
    pub(crate) fn record_outcome(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(dependents) = self.dependents.get(id) else {
            return;
        };
        self.with_unknown_outcome.remove(id);
        self.outcomes.insert(id.clone(), outcome);
        match outcome {
            JobOutcome::Cancelled => drop(self.cancelled.insert(id.clone())),
            JobOutcome::Done => {
                for dependent in dependents {
                    if let Some(job) = self.jobs.get_mut(dependent) {
                        job.unfinished.remove(id);
                        if job.unfinished.is_empty() {
                            self.ready.insert(dependent.clone());
                        }
                    }
                }
            }
        }
    }

    /// A plan predicts how long a waiting job takes. Returns the jobs whose urgency has changed.
    pub(crate) fn set_plan(&mut self, id: &JobId, plan: PlanRecord) -> Vec<JobId> {
        let before = self.urgency_for_dependencies(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        job.plan = Some(plan);
        self.unplanned.remove(id);
        let dependencies = job.spec.dependencies.clone();
        if self.urgency_for_dependencies(id) == before {
            return Vec::new();
        }
        self.recompute(dependencies)
    }

    /// Passes a new job's urgency back along its ancestors, as far as it changes anything.
    fn propagate_urgency(&mut self, id: &JobId) -> Vec<JobId> {
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

    /// Works out anew what jobs inherit, and what changes with it along their ancestors.
    fn recompute(&mut self, jobs: Vec<JobId>) -> Vec<JobId> {
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

#[cfg(test)]
mod tests;
