//! Which tasks are stopped: to make room for others, to save them in time, or to move replicas
//! off machines that go.

use super::candidates::Candidate;
use super::quota_usage::QuotaUsage;
use super::record_capacity::RecordCapacity;
use super::scheduler::Health;
use super::unmet_demand::UnmetDemand;
use crate::config::Config;
use crate::ids::{
    JobId, MachineId, Millis, MonotonicTime, Resources, TaskAttempt, TaskId, UnixTime,
};
use crate::protocol::{JobKind, JobSpec, Priority};
use crate::store::records::PlacedJob;
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Looks at all machines for room in one pass.
const LOOKS: usize = 24;
/// Tasks of one job for which room is made in one pass.
const MOST_AT_ONCE: u64 = 64;
/// A job within a guarantee that has waited so long stands behind work that does not end.
const STALLED: Millis = Millis(120_000);

/// A task to stop, and where it is.
pub(super) type Stop = (MachineId, TaskAttempt);

/// What decides on stops in one pass.
pub(super) struct Preemption<'a> {
    pub unix_time: UnixTime,
    pub config: &'a Config,
    pub cache: &'a WatchCache,
    pub candidates: &'a [Candidate<'a>],
    /// Room that only replicas may take, by candidate.
    pub reserve: &'a [Resources],
    pub quota_usage: &'a QuotaUsage<'a>,
    /// Jobs within their team's guarantee.
    pub within: &'a BTreeSet<JobId>,
    /// Stopped already, and perhaps not gone yet.
    pub preempted: &'a BTreeMap<TaskAttempt, MonotonicTime>,
    pub health: &'a BTreeMap<MachineId, Health>,
    /// Machines on their way out.
    pub leaving: &'a BTreeSet<MachineId>,
}

impl Preemption<'_> {
    /// Replicas to stop on machines that are on their way out, where another machine has room
    /// and the image, so that they start there at once. One at a time for each service.
    pub(super) fn moves(&self) -> Vec<Stop> {
        let mut stops: Vec<Stop> = Vec::new();
        let mut free: Vec<Resources> = self.candidates.iter().map(|c| c.free).collect();
        let mut records: Vec<RecordCapacity> =
            self.candidates.iter().map(|c| c.record.clone()).collect();
        let noticed = self.health.iter().filter(|(_, h)| h.last.notice.is_some());
        for id in self.leaving.iter().chain(noticed.map(|(id, _)| id)) {
            let Some(machine) = self.cache.machines.get(id) else {
                continue;
            };
            for (attempt, placed) in machine.record.runs() {
                let Some(job) = self.cache.jobs.get(&attempt.task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let busy = self.preempted.keys().any(|r| r.task.job == spec.id)
                    || stops.iter().any(|(_, r)| r.task.job == spec.id);
                if spec.kind != JobKind::Service || busy || spec.spread || spec.one_zone {
                    continue;
                }
                let target = self.candidates.iter().enumerate().position(|(at, c)| {
                    c.is_allowed(spec)
                        && c.has_image(spec)
                        && placed.need.fits(free[at])
                        && records[at].take(spec)
                });
                if let Some(at) = target {
                    free[at] = free[at] - placed.need;
                    stops.push((id.clone(), attempt));
                }
            }
        }
        stops
    }

    /// Tasks that can save, on machines that are about to be taken: stopped in time, they go on
    /// elsewhere from where they were.
    pub(super) fn savings(&self) -> Vec<Stop> {
        let mut stops = Vec::new();
        let mut gone: BTreeSet<TaskAttempt> = self.preempted.keys().cloned().collect();
        for (id, health) in self.health {
            let (Some(left), Some(machine)) = (health.last.notice, self.cache.machines.get(id))
            else {
                continue;
            };
            for (attempt, _) in machine.record.runs() {
                let job = self.cache.jobs.get(&attempt.task.job);
                let saves = job.is_some_and(|j| {
                    j.spec.checkpoint_s > 0.0 && j.spec.save_s + 1.0 < left.as_secs_f64()
                });
                if saves {
                    self.stop_whole(&attempt, id, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Tasks to stop so that those of a higher priority, or within a guarantee, get room.
    pub(super) fn for_unmet_demands(&self, unmet_demands: &[UnmetDemand]) -> Vec<Stop> {
        let mut stops = Vec::new();
        let mut coming = self.room_that_comes();
        let mut gone: BTreeSet<TaskAttempt> = self.preempted.keys().cloned().collect();
        let lowest = self.lowest_placed();
        let mut looks = LOOKS;
        for unmet_demand in unmet_demands {
            let Some(job) = self.cache.jobs.get(&unmet_demand.job) else {
                continue;
            };
            let spec = &job.spec;
            // Tasks end all the time, and those of a guarantee are next in line: work is only
            // thrown away for them once waiting won't do.
            let age = Millis(self.unix_time.0.saturating_sub(job.eligible.0));
            let guaranteed = self.within.contains(&unmet_demand.job) && self.is_worth_room(age);
            let others = self.config.teams.keys().filter(|t| **t != spec.team);
            let borrowed = guaranteed && others.into_iter().any(|t| self.quota_usage.borrows(t));
            if !borrowed && lowest.is_none_or(|p| p >= job.priority()) {
                continue;
            }
            // Room that is about to come free needs no look at the machines.
            let covered = tasks_in(unmet_demand.need, coming).min(unmet_demand.tasks);
            coming = coming - unmet_demand.need.times(covered);
            let mut left = (unmet_demand.tasks - covered).min(MOST_AT_ONCE);
            while left > 0 {
                if looks == 0 {
                    return stops;
                }
                looks -= 1;
                // Tasks of arrays are small and many: one look makes room for several.
                let at_once = if spec.kind == JobKind::Array { left } else { 1 };
                let best = self.cheapest_room(unmet_demand, job, at_once, guaranteed, &gone);
                let Some((machine, victims)) = best else {
                    break;
                };
                left -= victims.tasks;
                for attempt in victims.attempts {
                    self.stop_whole(&attempt, machine, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Room that earlier stops are about to free: it is not asked for twice.
    fn room_that_comes(&self) -> Resources {
        let jobs = self.preempted.keys().map(|attempt| &attempt.task.job);
        let stopped = jobs.filter_map(|job| self.cache.jobs.get(job));
        stopped.fold(Resources::default(), |sum, j| sum + j.spec.need())
    }

    /// The lowest priority of what stands on machines.
    fn lowest_placed(&self) -> Option<Priority> {
        let placed = self.cache.jobs.values().filter(|j| !j.placed.is_empty());
        placed.map(LiveJob::priority).min()
    }

    /// The machine where room for a task costs the least, and what is to be stopped there for as
    /// many of `tasks` as fit.
    fn cheapest_room(
        &self,
        unmet_demand: &UnmetDemand,
        job: &LiveJob,
        tasks: u64,
        guaranteed: bool,
        gone: &BTreeSet<TaskAttempt>,
    ) -> Option<(&MachineId, Victims)> {
        let (spec, priority) = (&job.spec, job.priority());
        let fair = |attempt: &TaskAttempt, placed: &PlacedJob| {
            let victim = self.cache.jobs.get(&attempt.task.job)?;
            let over = guaranteed
                && victim.spec.team != spec.team
                && victim.priority() <= priority
                && !self.within.contains(&victim.spec.id)
                && self.quota_usage.beyond_guarantee(&placed.team, placed.need);
            let fair = victim.priority() < priority || over;
            (fair && !gone.contains(attempt)).then_some(victim.priority())
        };
        let best = self
            .candidates
            .iter()
            .zip(self.reserve)
            .filter(|(c, _)| !(unmet_demand.cached_only || guaranteed) || c.has_image(spec))
            .filter_map(|(c, reserve)| {
                let kept = match spec.kind {
                    JobKind::Service => Resources::default(),
                    JobKind::Array | JobKind::Gang => *reserve,
                };
                let victims = victims(c, spec, kept, tasks, self.cache, fair)?;
                // Where the image is, the start is at once.
                let cost = (!c.has_image(spec), victims.cpus / victims.tasks);
                Some((cost, c.id, victims))
            })
            .min_by(|a, b| a.0.cmp(&b.0));
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// Whether room is made for a job within a guarantee that has waited so long: while a start
    /// can still be as prompt as the operators are held to, and then not before it is clear that
    /// places don't come free by themselves. In between it is first in line for every one that
    /// does. One task in eight was thrown away for jobs that were late already, on a fleet with a
    /// queue (Tramite fleet, busy).
    fn is_worth_room(&self, age: Millis) -> bool {
        let patience = self.config.guarantee_patience.0;
        (patience..2 * patience).contains(&age.0) || age >= STALLED
    }

    /// Stops a task, and with a task of a gang all of them: they can only save together.
    fn stop_whole(
        &self,
        attempt: &TaskAttempt,
        machine: &MachineId,
        gone: &mut BTreeSet<TaskAttempt>,
        stops: &mut Vec<Stop>,
    ) {
        let job = self.cache.jobs.get(&attempt.task.job);
        let mut add = |machine: &MachineId, attempt: TaskAttempt| {
            if gone.insert(attempt.clone()) {
                stops.push((machine.clone(), attempt));
            }
        };
        let Some(gang) = job.filter(|j| j.spec.kind == JobKind::Gang) else {
            add(machine, attempt.clone());
            return;
        };
        for (index, placement) in &gang.placed {
            let task = TaskId {
                job: attempt.task.job.clone(),
                index: *index,
            };
            add(
                &placement.machine,
                TaskAttempt {
                    task,
                    number: placement.attempt,
                },
            );
        }
    }
}

/// Tasks to stop on one machine.
pub(super) struct Victims {
    /// The CPUs that they use.
    cpus: u64,
    /// How many tasks of the waiting job they make room for: at least one.
    tasks: u64,
    attempts: Vec<TaskAttempt>,
}

/// The tasks to stop on a machine so that up to `tasks` more of a job fit beside the room that is
/// `kept` from it, those that have done the least first. `fair` gives the priority of what may be
/// stopped.
pub(super) fn victims(
    candidate: &Candidate<'_>,
    spec: &JobSpec,
    kept: Resources,
    tasks: u64,
    cache: &WatchCache,
    fair: impl Fn(&TaskAttempt, &PlacedJob) -> Option<Priority>,
) -> Option<Victims> {
    let need = spec.need();
    if !candidate.is_allowed(spec) || !need.fits(candidate.room) {
        return None;
    }
    let machine = cache.machines.get(candidate.id)?;
    let mut list: Vec<(Priority, TaskAttempt, Resources)> = machine
        .record
        .runs()
        .filter_map(|(attempt, placed)| Some((fair(&attempt, placed)?, attempt, placed.need)))
        .collect();
    list.sort_by_key(|(p, attempt, _)| (*p, Reverse(attempt.number)));
    let (mut free, mut chosen) = (candidate.free, Vec::new());
    for (_, attempt, size) in list {
        if need.count_in(free - kept) >= tasks {
            break;
        }
        free = free + size;
        chosen.push((attempt, size));
    }
    let fit = need.count_in(free - kept).min(tasks);
    // The last ones may have made room for nothing more.
    while let Some((_, size)) = chosen.last()
        && need.count_in(free - *size - kept) >= fit
        && fit > 0
    {
        free = free - *size;
        chosen.pop();
    }
    let victims = Victims {
        cpus: chosen.iter().map(|(_, size)| size.cpus).sum(),
        tasks: fit,
        attempts: chosen.into_iter().map(|(attempt, _)| attempt).collect(),
    };
    (fit > 0 && !victims.attempts.is_empty()).then_some(victims)
}

/// How many tasks of a need fit into room that comes free; none if none does.
fn tasks_in(need: Resources, room: Resources) -> u64 {
    if room.cpus > 0 {
        need.count_in(room)
    } else {
        0
    }
}
