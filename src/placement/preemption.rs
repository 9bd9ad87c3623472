//! Preemption: chooses tasks to stop so that other tasks can use their resources.

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

/// The largest number of times that one pass scans all machines for victims.
const MAX_MACHINE_SCANS: usize = 24;
/// The largest number of tasks of one job for which one pass preempts.
const MAX_TASKS_PER_JOB: u64 = 64;
/// The age from which a job within its team's guarantee is considered stalled: the tasks that it
/// waits for do not end by themselves.
const STALLED_JOB_AGE: Millis = Millis(120_000);

/// A task to stop.
pub(super) struct TaskStop {
    /// The machine that it runs on.
    pub machine: MachineId,
    /// The attempt to stop.
    pub attempt: TaskAttempt,
}

/// The inputs for the preemption decisions of one pass.
pub(super) struct Preemption<'a> {
    /// The wall-clock time of the pass.
    pub unix_time: UnixTime,
    /// The controller's settings.
    pub config: &'a Config,
    /// The state of the cluster that is on record.
    pub cache: &'a WatchCache,
    /// The usable machines. Their free capacity excludes the allotments of this pass.
    pub candidates: &'a [Candidate<'a>],
    /// The resources of each candidate that only service replicas may use, by candidate index.
    pub replica_reserve: &'a [Resources],
    /// The resources that each team uses, including the allotments of this pass.
    pub quota_usage: &'a QuotaUsage<'a>,
    /// The jobs that fit within their team's guaranteed quota.
    pub guaranteed_jobs: &'a BTreeSet<JobId>,
    /// Tasks that were preempted earlier and may still be running, with the time of preemption.
    pub preempted: &'a BTreeMap<TaskAttempt, MonotonicTime>,
    /// The latest health report of each machine from its shard owner.
    pub health: &'a BTreeMap<MachineId, ReportedHealth>,
    /// Machines that are being drained.
    pub draining: &'a BTreeSet<MachineId>,
}

/// The stops chosen so far, without duplicates.
struct StopSet<'a> {
    cache: &'a WatchCache,
    /// The attempts that were stopped in this pass or earlier.
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

    /// Adds a task. For a task of a gang it adds all tasks of the gang, since they can only save a
    /// checkpoint together.
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

/// The remaining preemption budget of one pass.
struct PassBudget {
    /// The resources that earlier stops will free.
    being_freed: Resources,
    /// The number of times that all machines may still be scanned.
    scans: usize,
}

/// A job for which victims are sought.
struct Preemptor<'a> {
    demand: &'a UnmetDemand,
    job: &'a LiveJob,
    /// Whether tasks that other teams run beyond their guaranteed quota may be stopped for the job.
    is_guaranteed: bool,
}

impl Preemption<'_> {
    /// Returns the tasks to stop so that unmet demands of a higher priority, or within their team's
    /// guarantee, get the resources of these tasks. Demands that are left when all machine scans
    /// are used up are considered again in the next pass.
    pub(super) fn for_unmet_demands(&self, unmet_demands: &[UnmetDemand]) -> Vec<TaskStop> {
        let mut stops = StopSet::new(self);
        let mut budget = PassBudget {
            being_freed: self.resources_being_freed(),
            scans: MAX_MACHINE_SCANS,
        };
        let lowest = self.lowest_placed_priority();
        for demand in unmet_demands {
            let Some(preemptor) = self.preemptor(demand, lowest) else {
                continue;
            };
            self.preempt_for(&preemptor, &mut budget, &mut stops);
            if budget.scans == 0 {
                break;
            }
        }
        stops.into_stops()
    }

    /// Returns the job of an unmet demand if there may be victims for it. Victims are placed tasks
    /// of a lower priority than the job's; `lowest` is the lowest priority of all placed tasks. If
    /// the job is within its team's guarantee and [`Self::is_worth_preempting`] holds for its age,
    /// tasks that other teams run beyond their guaranteed quota are victims too.
    fn preemptor<'a>(
        &'a self,
        demand: &'a UnmetDemand,
        lowest: Option<Priority>,
    ) -> Option<Preemptor<'a>> {
        let job = self.cache.jobs.get(&demand.job)?;
        // Tasks end all the time, and jobs within a guarantee are next in line for the freed
        // capacity. Running work is therefore preempted for such a job only when waiting is no
        // longer sufficient.
        let age = Millis(self.unix_time.0.saturating_sub(job.eligible_at.0));
        let is_guaranteed =
            self.guaranteed_jobs.contains(&demand.job) && self.is_worth_preempting(age);
        let mut other_teams = self.config.teams.keys().filter(|t| **t != job.spec.team);
        let quota_is_borrowed =
            is_guaranteed && other_teams.any(|t| self.quota_usage.exceeds_guarantee(t));
        let has_victims = quota_is_borrowed || lowest.is_some_and(|p| p < job.priority());
        has_victims.then_some(Preemptor {
            demand,
            job,
            is_guaranteed,
        })
    }

    /// Chooses victims for the tasks of one job and adds them to `stops`.
    fn preempt_for(
        &self,
        preemptor: &Preemptor<'_>,
        budget: &mut PassBudget,
        stops: &mut StopSet<'_>,
    ) {
        let demand = preemptor.demand;
        // Tasks that fit into resources which earlier stops will free need no machine scan.
        let covered = tasks_that_fit(demand.need, budget.being_freed).min(demand.tasks);
        budget.being_freed = budget.being_freed - demand.need.times(covered);
        let mut remaining = (demand.tasks - covered).min(MAX_TASKS_PER_JOB);
        while remaining > 0 && budget.scans > 0 {
            budget.scans -= 1;
            // Array tasks are small and numerous, so one scan makes room for several of them.
            let tasks_per_scan = match preemptor.job.spec.kind {
                JobKind::Array => remaining,
                JobKind::Service | JobKind::Gang => 1,
            };
            let Some((machine, victims)) =
                self.cheapest_victims(preemptor, tasks_per_scan, &stops.stopped)
            else {
                break;
            };
            remaining -= victims.tasks;
            for attempt in victims.attempts {
                stops.add(&attempt, machine);
            }
        }
    }

    /// Returns the resources that earlier stops will free, so that the same demand does not preempt
    /// twice.
    fn resources_being_freed(&self) -> Resources {
        let jobs = self.preempted.keys().map(|attempt| &attempt.task.job);
        let stopped = jobs.filter_map(|job| self.cache.jobs.get(job));
        stopped.fold(Resources::default(), |sum, job| sum + job.spec.need())
    }

    /// Returns the lowest priority of all placed tasks.
    fn lowest_placed_priority(&self) -> Option<Priority> {
        let placed = self.cache.jobs.values().filter(|j| !j.placed.is_empty());
        placed.map(LiveJob::priority).min()
    }

    /// Returns the machine where freeing resources for a task costs the least, and the victims
    /// there for as many of `tasks` as fit. Machines that have the job's image come first, then
    /// those where the victims use the fewest CPUs per task. Only machines that have the image
    /// count if the demand requires it or the preemptor's `is_guaranteed` is set.
    fn cheapest_victims(
        &self,
        preemptor: &Preemptor<'_>,
        tasks: u64,
        stopped: &BTreeSet<TaskAttempt>,
    ) -> Option<(&MachineId, Victims)> {
        let spec = &preemptor.job.spec;
        let needs_image = preemptor.demand.requires_cached_image || preemptor.is_guaranteed;
        let preemptible = |attempt: &TaskAttempt, placed: &PlacedJob| {
            let priority = self.preemptible_priority(preemptor, attempt, placed)?;
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
                // A task starts without a delay on a machine that has its image.
                let cost = (!c.has_image(spec), victims.milli_cpus / victims.tasks);
                Some((cost, c.id, victims))
            })
            .min_by(|a, b| a.0.cmp(&b.0));
        cheapest.map(|(_, machine, victims)| (machine, victims))
    }

    /// Returns the priority of a placed task if the task may be stopped for a job. This is the case
    /// if the task's priority is lower. If the preemptor's `is_guaranteed` is set, it is also the
    /// case if the task's priority is equal, its own job is not within a guarantee, and it belongs
    /// to another team that exceeds its guaranteed quota or whose guarantee covers none of the kinds
    /// of resource that the task needs.
    fn preemptible_priority(
        &self,
        preemptor: &Preemptor<'_>,
        attempt: &TaskAttempt,
        placed: &PlacedJob,
    ) -> Option<Priority> {
        let victim = self.cache.jobs.get(&attempt.task.job)?;
        let priority = preemptor.job.priority();
        let uses_borrowed_quota = preemptor.is_guaranteed
            && victim.spec.team != preemptor.job.spec.team
            && victim.priority() <= priority
            && !self.guaranteed_jobs.contains(&victim.spec.id)
            && self.quota_usage.may_be_preempted(&placed.team, placed.need);
        let is_preemptible = victim.priority() < priority || uses_borrowed_quota;
        is_preemptible.then_some(victim.priority())
    }

    /// Returns whether tasks may be preempted for a job within its team's guarantee that has waited
    /// for `age`. Preemption begins once the wait shows that capacity does not become free by
    /// itself, and ends when a start would no longer meet the operators' objective for prompt
    /// starts. After that the job is first in line for capacity that becomes free, since preempting
    /// for jobs that are already late would discard too much work on a fleet with a queue.
    /// Preemption begins again at `STALLED_JOB_AGE`.
    fn is_worth_preempting(&self, age: Millis) -> bool {
        let min_age_ms = self.config.guarantee_preemption_delay.0;
        (min_age_ms..2 * min_age_ms).contains(&age.0) || age >= STALLED_JOB_AGE
    }
}

/// Returns how many tasks of a need fit into the resources that are being freed; 0 if they include
/// no CPU.
fn tasks_that_fit(need: Resources, being_freed: Resources) -> u64 {
    if being_freed.milli_cpus > 0 {
        need.fit_count(being_freed)
    } else {
        0
    }
}
