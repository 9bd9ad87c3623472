//! The graph of blocked jobs, which wait for their dependencies to be done. It holds the unfinished
//! dependencies of each blocked job, and the outcome and the inherited urgency of each dependency.
//!
//! The unfinished dependencies of a job are those for which no final record with the state "done" has
//! been seen. They are a set, so that a repeated notification counts once. Final records never change,
//! so a recorded outcome stays valid.

mod inherited_urgency;

use super::records::PlanRecord;
use super::urgency::Urgency;
use crate::ids::{JobId, MachineId, Millis, Revision, UnixTime};
use crate::protocol::JobSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The outcome of a job that has dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// All its tasks are done, so it no longer blocks its dependents.
    Done,
    /// It was cancelled, so its dependents have to be cancelled as well.
    Cancelled,
}

/// A job whose tasks may not start because it has unfinished dependencies.
#[derive(Debug)]
pub(crate) struct BlockedJob {
    /// The job's specification, as its owner submitted it.
    pub spec: Rc<JobSpec>,
    /// The time when the job was accepted.
    pub accepted_at: UnixTime,
    /// The revision that wrote its record.
    pub revision: Revision,
    /// The job's plan. It is `None` until a controller has planned the job.
    pub plan: Option<PlanRecord>,
    /// Dependencies that are not known to be done.
    unfinished_dependencies: BTreeSet<JobId>,
}

impl BlockedJob {
    /// Creates a blocked job with all its dependencies unfinished.
    pub(crate) fn new(
        spec: JobSpec,
        accepted_at: UnixTime,
        revision: Revision,
        plan: Option<PlanRecord>,
    ) -> Self {
        Self {
            unfinished_dependencies: spec.dependencies.iter().cloned().collect(),
            spec: Rc::new(spec),
            accepted_at,
            revision,
            plan,
        }
    }

    fn predicted_run_time(&self) -> Millis {
        let estimate = self.spec.estimate_s;
        Millis::from_secs(self.plan.as_ref().map_or(estimate, |p| p.predicted_s))
    }
}

/// The blocked jobs and the state of their dependencies.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    jobs: BTreeMap<JobId, BlockedJob>,
    /// The blocked dependents of each dependency. The sets are never empty.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// The urgency that each dependency inherits from its dependents.
    inherited: BTreeMap<JobId, Urgency>,
    /// The known outcomes of jobs with dependents.
    outcomes: BTreeMap<JobId, JobOutcome>,
    /// Jobs with dependents that have ended with an unknown outcome.
    unknown_outcomes: BTreeSet<JobId>,
    /// Jobs with dependents that are known to be cancelled.
    cancelled: BTreeSet<JobId>,
    /// Blocked jobs without a plan.
    unplanned: BTreeSet<JobId>,
    /// Blocked jobs whose dependencies are all done.
    ready: BTreeSet<JobId>,
    /// The machines that ran the tasks of ended jobs with dependents.
    machines_by_job: BTreeMap<JobId, Vec<MachineId>>,
}

impl DependencyGraph {
    /// Returns a blocked job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&BlockedJob> {
        self.jobs.get(id)
    }

    /// Returns the number of blocked jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether a job is blocked.
    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns whether any blocked job depends on this one.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependents.contains_key(id)
    }

    /// Returns the blocked jobs that depend directly on a job.
    pub(crate) fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Returns all blocked jobs that depend on a job, directly or indirectly, nearest first.
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

    /// Returns the ended jobs with dependents whose final record has to be read.
    pub(crate) fn jobs_with_unknown_outcome(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_outcomes.iter()
    }

    /// Returns the cancelled jobs on which blocked jobs still depend.
    pub(crate) fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// Returns the blocked jobs without a plan.
    pub(crate) fn unplanned(&self) -> impl Iterator<Item = &JobId> {
        self.unplanned.iter()
    }

    /// Returns the blocked jobs whose dependencies are all done.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Returns the machines that ran the dependency whose placement group a blocked job shares.
    pub(crate) fn placement_group_machines(&self, id: &JobId) -> &[MachineId] {
        let plan = self.jobs.get(id).and_then(|job| job.plan.as_ref());
        let dependency = plan.and_then(|p| p.placement_group_job.as_ref());
        let machines = dependency.and_then(|p| self.machines_by_job.get(p));
        machines.map_or(&[], Vec::as_slice)
    }

    /// Adds a blocked job. `is_live` returns whether the tasks of another job may run. Returns the jobs
    /// that have become more urgent.
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
                Some(JobOutcome::Done) => drop(job.unfinished_dependencies.remove(dependency)),
                Some(JobOutcome::Cancelled) => {}
                None if is_live(dependency) || self.jobs.contains_key(dependency) => {}
                None => drop(self.unknown_outcomes.insert(dependency.clone())),
            }
        }
        if job.unfinished_dependencies.is_empty() {
            self.ready.insert(id.clone());
        }
        if job.plan.is_none() {
            self.unplanned.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        self.mark_live(&id);
        self.propagate_urgency(&id)
    }

    /// Removes a job that has been released or has ended. Returns the jobs whose urgency has changed.
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
                    self.remove_dependency(dependency);
                }
            }
            if !self.has_ended(dependency) {
                lowered.push(dependency.clone());
            }
        }
        self.recompute_inherited(lowered)
    }

    fn remove_dependency(&mut self, id: &JobId) {
        self.dependents.remove(id);
        self.outcomes.remove(id);
        self.unknown_outcomes.remove(id);
        self.cancelled.remove(id);
        self.machines_by_job.remove(id);
    }

    fn has_ended(&self, id: &JobId) -> bool {
        self.outcomes.contains_key(id) || self.unknown_outcomes.contains(id)
    }

    /// Records that a job, blocked or not, is in the watch cache.
    pub(crate) fn mark_live(&mut self, id: &JobId) {
        self.unknown_outcomes.remove(id);
    }

    /// Records that a job was removed from the watch cache.
    pub(crate) fn mark_ended(&mut self, id: &JobId) {
        if self.has_dependents(id) && !self.outcomes.contains_key(id) {
            self.unknown_outcomes.insert(id.clone());
        }
    }

    /// Records the machines that ran the tasks of a job, so that its dependents can prefer them. The job has
    /// ended, or its final record was seen before the deletion of its live record.
    pub(crate) fn record_machines(&mut self, id: &JobId, machines: &[MachineId]) {
        if self.has_dependents(id) && !machines.is_empty() {
            self.machines_by_job.insert(id.clone(), machines.to_vec());
        }
    }

    /// Records a job's outcome from its final record.
    pub(crate) fn record_outcome(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(dependents) = self.dependents.get(id) else {
            return;
        };
        self.unknown_outcomes.remove(id);
        self.outcomes.insert(id.clone(), outcome);
        match outcome {
            JobOutcome::Cancelled => drop(self.cancelled.insert(id.clone())),
            JobOutcome::Done => {
                for dependent in dependents {
                    let Some(job) = self.jobs.get_mut(dependent) else {
                        continue;
                    };
                    job.unfinished_dependencies.remove(id);
                    if job.unfinished_dependencies.is_empty() {
                        self.ready.insert(dependent.clone());
                    }
                }
            }
        }
    }

    /// Sets the plan of a blocked job, which contains its predicted run time. Returns the jobs whose
    /// urgency has changed.
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
        self.recompute_inherited(dependencies)
    }
}

#[cfg(test)]
mod tests;
