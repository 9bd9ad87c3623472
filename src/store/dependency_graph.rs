//! Blocked jobs: those that wait for others to be done. For each, the dependencies that are not done
//! yet; for each dependency, how its end affects its dependents and how urgent they make it.
//!
//! A blocked job counts its open dependencies as the set of jobs whose final record has not been
//! seen to say "done": a set, so that a repeat counts once. Final records never change, so what was
//! once recorded stays true.

mod inherited_urgency;

use super::records::PlanRecord;
use super::urgency::Urgency;
use crate::ids::{JobId, MachineId, Millis, Revision, UnixTime};
use crate::protocol::JobSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How a job that others need has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// All its tasks are done: its dependents may start.
    Done,
    /// It was cancelled, so its dependents have to be cancelled too.
    Cancelled,
}

/// A job none of whose tasks may start yet.
#[derive(Debug)]
pub(crate) struct BlockedJob {
    /// What the job's owner asked for.
    pub spec: Rc<JobSpec>,
    /// When the job was accepted.
    pub accepted_at: UnixTime,
    /// The change that wrote its record.
    pub revision: Revision,
    /// How it is to run; none until a controller has planned it.
    pub plan: Option<PlanRecord>,
    /// Dependencies that are not known to be done.
    unfinished_dependencies: BTreeSet<JobId>,
}

impl BlockedJob {
    /// A job of whose dependencies none is known to be done.
    pub(crate) fn new(
        spec: JobSpec,
        accepted: UnixTime,
        revision: Revision,
        plan: Option<PlanRecord>,
    ) -> Self {
        Self {
            unfinished_dependencies: spec.dependencies.iter().cloned().collect(),
            spec: Rc::new(spec),
            accepted_at: accepted,
            revision,
            plan,
        }
    }

    fn predicted_run_time(&self) -> Millis {
        let estimate = self.spec.estimate_s;
        Millis::from_secs(self.plan.as_ref().map_or(estimate, |p| p.predicted_s))
    }
}

/// The blocked jobs, and what is known of the jobs that they depend on.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    jobs: BTreeMap<JobId, BlockedJob>,
    /// The blocked jobs that need a job, by that job; never empty.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// What a job's dependents pass back to it, by that job.
    inherited: BTreeMap<JobId, Urgency>,
    /// How jobs with dependents have ended, as far as that is known.
    outcomes: BTreeMap<JobId, JobOutcome>,
    /// Jobs with dependents that have ended, without it being known how.
    unknown_outcomes: BTreeSet<JobId>,
    /// Jobs with dependents that are known to be cancelled.
    cancelled: BTreeSet<JobId>,
    /// Blocked jobs without a plan.
    unplanned: BTreeSet<JobId>,
    /// Blocked jobs all of whose dependencies are done.
    ready: BTreeSet<JobId>,
    /// Where the tasks of ended jobs with dependents ran.
    machines_by_job: BTreeMap<JobId, Vec<MachineId>>,
}

impl DependencyGraph {
    /// A blocked job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&BlockedJob> {
        self.jobs.get(id)
    }

    /// How many jobs are blocked.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether a job is blocked.
    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether any blocked job needs this one.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependents.contains_key(id)
    }

    /// The blocked jobs that name a job as one that they need.
    pub(crate) fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// All blocked jobs that need a job, directly or through others, nearest first.
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

    /// Jobs with dependents that have ended, and whose final record has to be read.
    pub(crate) fn jobs_with_unknown_outcome(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_outcomes.iter()
    }

    /// Cancelled jobs on which blocked jobs still depend.
    pub(crate) fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// Blocked jobs without a plan.
    pub(crate) fn unplanned(&self) -> impl Iterator<Item = &JobId> {
        self.unplanned.iter()
    }

    /// Blocked jobs all of whose dependencies are done.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Where the job ran whose placement group a blocked job shares.
    pub(crate) fn placement_group_machines(&self, id: &JobId) -> &[MachineId] {
        let plan = self.jobs.get(id).and_then(|job| job.plan.as_ref());
        let parent = plan.and_then(|p| p.placement_group_job.as_ref());
        let ran_on = parent.and_then(|p| self.machines_by_job.get(p));
        ran_on.map_or(&[], Vec::as_slice)
    }

    /// Adds a blocked job. `is_live` says of any other job whether its tasks may run. Returns the
    /// jobs that have become more urgent.
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

    /// Removes a job that is no longer blocked, or has ended. Returns the jobs whose urgency has
    /// changed.
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

    /// Notes that a job is in the watch cache, blocked or not.
    pub(crate) fn mark_live(&mut self, id: &JobId) {
        self.unknown_outcomes.remove(id);
    }

    /// Notes that a job has left the watch cache.
    pub(crate) fn mark_ended(&mut self, id: &JobId) {
        if self.has_dependents(id) && !self.outcomes.contains_key(id) {
            self.unknown_outcomes.insert(id.clone());
        }
    }

    /// Notes on which machines the tasks of a job ran that has ended, or is about to.
    pub(crate) fn record_machines(&mut self, id: &JobId, machines: &[MachineId]) {
        if self.has_dependents(id) && !machines.is_empty() {
            self.machines_by_job.insert(id.clone(), machines.to_vec());
        }
    }

    /// Notes what a job's final record says.
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

    /// Sets the plan of a blocked job, which predicts how long it takes. Returns the jobs whose
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
