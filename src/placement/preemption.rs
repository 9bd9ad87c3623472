//! Preemption: which tasks are stopped so that others get their resources.

mod evacuation;

use super::candidates::Candidate;
use super::quota_usage::QuotaUsage;
use super::reported_health::ReportedHealth;
use super::unmet_demand::UnmetDemand;
use super::victims::{Victims, select_victims};
use crate::config::Config;
use crate::ids::{
    JobId, MachineId, Millis, MonotonicTime, Resources, TaskAttempt, TaskId, UnixTime,
};
use crate::protocol::{JobKind, Priority};
use crate::store::records::PlacedJob;
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::collections::{BTreeMap, BTreeSet};

/// How many times a pass looks through all machines for victims.
const MAX_MACHINE_SCANS: usize = 24;
/// How many tasks of one job a pass makes room for.
const MAX_TASKS_PER_JOB: u64 = 64;
/// A job within a guarantee that has waited so long waits for work that does not end.
const STALLED_AGE: Millis = Millis(120_000);

/// A task to stop.
pub(super) struct TaskStop {
    /// The machine that it runs on.
    pub machine: MachineId,
    /// The attempt to stop.
    pub attempt: TaskAttempt,
}

/// What decides on stops in one pass.
pub(super) struct Preemption<'a> {
    /// The time of the pass.
    pub unix_time: UnixTime,
    /// The controller's settings.
    pub config: &'a Config,
    /// The state of the cluster as far as it is on record.
    pub cache: &'a WatchCache,
    /// The usable machines, with what the pass has left of them.
    pub candidates: &'a [Candidate<'a>],
    /// Resources that only replicas may take, by candidate.
    pub replica_reserve: &'a [Resources],
    /// What the teams use, with what the pass has allotted.
    pub quota_usage: &'a QuotaUsage<'a>,
    /// The jobs within their team's guaranteed quota.
    pub guaranteed_jobs: &'a BTreeSet<JobId>,
    /// Stopped already, and perhaps not gone yet.
    pub preempted: &'a BTreeMap<TaskAttempt, MonotonicTime>,
    /// The shard owners' reports on machines.
    pub health: &'a BTreeMap<MachineId, ReportedHealth>,
    /// Machines on their way out.
    pub leaving: &'a BTreeSet<MachineId>,
}

/// The stops that are decided on, each once.
struct StopSet<'a> {
    cache: &'a WatchCache,
    /// Stopped in this pass or before.
    stopped: BTreeSet<TaskAttempt>,
    stops: Vec<TaskStop>,
}

impl<'a> StopSet<'a> {
    fn new(preemption: &Preemption<'a>) -> Self {
        Self {
            cache: preemption.cache,
            stopped: preemption.preempted.keys().cloned().collect(),
            stops: Vec::new(),
        }
    }

    /// Stops a task, and with a task of a gang all of them: they can only save together.
    fn add(&mut self, attempt: &TaskAttempt, machine: &MachineId) {
        let job = self.cache.jobs.get(&attempt.task.job);
        let Some(gang) = job.filter(|j| j.spec.kind == JobKind::Gang) else {
            self.add_one(machine, attempt.clone());
            return;
        };
        for (index, placement) in &gang.placed {
            let task = TaskId {
                job: attempt.task.job.clone(),
                index: *index,
            };
            let number = placement.attempt;
            self.add_one(&placement.machine, TaskAttempt { task, number });
        }
    }

    fn add_one(&mut self, machine: &MachineId, attempt: TaskAttempt) {
        if self.stopped.insert(attempt.clone()) {
            self.stops.push(TaskStop {
                machine: machine.clone(),
                attempt,
            });
        }
    }

    fn into_stops(self) -> Vec<TaskStop> {
        self.stops
    }
}

/// The budget of one pass.
struct Budget {
    /// Resources that earlier stops are about to free.
    coming: Resources,
    /// How many more times all machines may be looked through.
    scans: usize,
}

/// A job that victims are looked for.
struct Claimant<'a> {
    demand: &'a UnmetDemand,
    job: &'a LiveJob,
    /// Whether other teams' tasks beyond their guarantees may be stopped for it.
    is_guaranteed: bool,
}

impl Preemption<'_> {
    /// Tasks to stop so that those of a higher priority, or within a guarantee, get their
    /// resources.
    pub(super) fn for_unmet_demands(&self, unmet_demands: &[UnmetDemand]) -> Vec<TaskStop> {
        let mut stops = StopSet::new(self);
        let mut budget = Budget {
            coming: self.coming_resources(),
            scans: MAX_MACHINE_SCANS,
        };
        let lowest = self.lowest_placed_priority();
        for demand in unmet_demands {
            let Some(claimant) = self.claimant(demand, lowest) else {
                continue;
            };
            self.preempt_for(&claimant, &mut budget, &mut stops);
            if budget.scans == 0 {
                break;
            }
        }
        stops.into_stops()
    }

    /// The job of an unmet demand, if there may be something to stop for it: work of a `lowest`
    /// priority below its own, or what other teams use beyond their guarantees.
    fn claimant<'a>(
        &'a self,
        demand: &'a UnmetDemand,
        lowest: Option<Priority>,
    ) -> Option<Claimant<'a>> {
        let job = self.cache.jobs.get(&demand.job)?;
        // Tasks end all the time, and those of a guarantee are next in line: work is only
        // thrown away for them once waiting won't do.
        let age = Millis(self.unix_time.0.saturating_sub(job.eligible_at.0));
        let is_guaranteed =
            self.guaranteed_jobs.contains(&demand.job) && self.is_worth_preempting(age);
        let mut others = self.config.teams.keys().filter(|t| **t != job.spec.team);
        let quota_is_borrowed =
            is_guaranteed && others.any(|t| self.quota_usage.exceeds_guarantee(t));
        let has_victims = quota_is_borrowed || lowest.is_some_and(|p| p < job.priority());
        has_victims.then_some(Claimant {
            demand,
            job,
            is_guaranteed,
        })
    }

    /// Chooses victims for the tasks of one job.
    fn preempt_for(&self, claimant: &Claimant<'_>, budget: &mut Budget, stops: &mut StopSet<'_>) {
        let demand = claimant.demand;
        // Resources that are about to come free need no look at the machines.
        let covered = tasks_that_fit(demand.need, budget.coming).min(demand.tasks);
        budget.coming = budget.coming - demand.need.times(covered);
        let mut left = (demand.tasks - covered).min(MAX_TASKS_PER_JOB);
        while left > 0 && budget.scans > 0 {
            budget.scans -= 1;
            // Tasks of arrays are small and many: one look makes room for several.
            let at_once = match claimant.job.spec.kind {
                JobKind::Array => left,
                JobKind::Service | JobKind::Gang => 1,
            };
            let Some((machine, victims)) = self.cheapest_victims(claimant, at_once, &stops.stopped)
            else {
                break;
            };
            left -= victims.tasks;
            for attempt in victims.attempts {
                stops.add(&attempt, machine);
            }
        }
    }

    /// Resources that earlier stops are about to free: they are not asked for twice.
    fn coming_resources(&self) -> Resources {
        let jobs = self.preempted.keys().map(|attempt| &attempt.task.job);
        let stopped = jobs.filter_map(|job| self.cache.jobs.get(job));
        stopped.fold(Resources::default(), |sum, job| sum + job.spec.need())
    }

    /// The lowest priority of the placed tasks.
    fn lowest_placed_priority(&self) -> Option<Priority> {
        let placed = self.cache.jobs.values().filter(|j| !j.placed.is_empty());
        placed.map(LiveJob::priority).min()
    }

    /// The machine where a task's resources cost the least, and the victims there for as many of
    /// `tasks` as fit.
    fn cheapest_victims(
        &self,
        claimant: &Claimant<'_>,
        tasks: u64,
        stopped: &BTreeSet<TaskAttempt>,
    ) -> Option<(&MachineId, Victims)> {
        let spec = &claimant.job.spec;
        let needs_image = claimant.demand.requires_cached_image || claimant.is_guaranteed;
        let preemptible = |attempt: &TaskAttempt, placed: &PlacedJob| {
            let priority = self.preemptible_priority(claimant, attempt, placed)?;
            (!stopped.contains(attempt)).then_some(priority)
        };
        let cheapest = self
            .candidates
            .iter()
            .zip(self.replica_reserve)
            .filter(|(c, _)| !needs_image || c.has_image(spec))
            .filter_map(|(c, reserve)| {
                let reserved = match spec.kind {
                    JobKind::Service => Resources::default(),
                    JobKind::Array | JobKind::Gang => *reserve,
                };
                let victims = select_victims(c, spec, reserved, tasks, self.cache, preemptible)?;
                // Where the image is, the start is at once.
                let cost = (!c.has_image(spec), victims.cpus / victims.tasks);
                Some((cost, c.id, victims))
            })
            .min_by(|a, b| a.0.cmp(&b.0));
        cheapest.map(|(_, machine, victims)| (machine, victims))
    }

    /// The priority of a placed task, if it may be stopped for a job: it is lower, or the task's
    /// team uses more than its guarantee while the job is within its own.
    fn preemptible_priority(
        &self,
        claimant: &Claimant<'_>,
        attempt: &TaskAttempt,
        placed: &PlacedJob,
    ) -> Option<Priority> {
        let victim = self.cache.jobs.get(&attempt.task.job)?;
        let priority = claimant.job.priority();
        let uses_borrowed_quota = claimant.is_guaranteed
            && victim.spec.team != claimant.job.spec.team
            && victim.priority() <= priority
            && !self.guaranteed_jobs.contains(&victim.spec.id)
            && self.quota_usage.may_be_preempted(&placed.team, placed.need);
        let is_preemptible = victim.priority() < priority || uses_borrowed_quota;
        is_preemptible.then_some(victim.priority())
    }

    /// Whether work is stopped for a job within a guarantee that has waited so long: while a start
    /// can still be as prompt as the operators are held to, and then not before it is clear that
    /// capacity doesn't come free by itself. In between the job is first in line for whatever
    /// does: on a fleet with a queue too much would be thrown away for jobs that are late already.
    fn is_worth_preempting(&self, age: Millis) -> bool {
        let patience = self.config.guarantee_preemption_delay.0;
        (patience..2 * patience).contains(&age.0) || age >= STALLED_AGE
    }
}

/// How many tasks of a need fit into resources that come free; none if no CPU does.
fn tasks_that_fit(need: Resources, coming: Resources) -> u64 {
    if coming.milli_cpus > 0 {
        need.fit_count(coming)
    } else {
        0
    }
}
