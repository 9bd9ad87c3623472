//! Which tasks are stopped: to make room for others, to save them in time, or to move replicas
//! off machines that go.

use super::accounts::Accounts;
use super::candidates::Candidate;
use super::record_room::RecordRoom;
use super::scheduler::Health;
use super::shortage::Shortage;
use crate::config::Config;
use crate::ids::{Amounts, JobId, MachineId, Run, Span, TaskId, Time, Wall};
use crate::store::records::PlacedJob;
use crate::store::replica::{LiveJob, Replica};
use crate::wire::{JobSpec, Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Looks at all machines for room in one pass.
const LOOKS: usize = 24;
/// Tasks of one job for which room is made in one pass.
const MOST_AT_ONCE: u64 = 64;
/// A job within a guarantee that has waited so long stands behind work that does not end.
const STALLED: Span = Span(120_000);

/// A task to stop, and where it is.
pub(super) type Stop = (MachineId, Run);

/// What decides on stops in one pass.
pub(super) struct Preemption<'a> {
    pub wall: Wall,
    pub config: &'a Config,
    pub replica: &'a Replica,
    pub candidates: &'a [Candidate<'a>],
    /// Room that only replicas may take, by candidate.
    pub reserve: &'a [Amounts],
    pub accounts: &'a Accounts<'a>,
    /// Jobs within their team's guarantee.
    pub within: &'a BTreeSet<JobId>,
    /// Stopped already, and perhaps not gone yet.
    pub preempted: &'a BTreeMap<Run, Time>,
    pub health: &'a BTreeMap<MachineId, Health>,
    /// Machines on their way out.
    pub leaving: &'a BTreeSet<MachineId>,
}

impl Preemption<'_> {
    /// Replicas to stop on machines that are on their way out, where another machine has room
    /// and the image, so that they start there at once. One at a time for each service.
    pub fn moves(&self) -> Vec<Stop> {
        let mut stops: Vec<Stop> = Vec::new();
        let mut free: Vec<Amounts> = self.candidates.iter().map(|c| c.free).collect();
        let mut records: Vec<RecordRoom> =
            self.candidates.iter().map(|c| c.record.clone()).collect();
        let noticed = self.health.iter().filter(|(_, h)| h.last.notice.is_some());
        for id in self.leaving.iter().chain(noticed.map(|(id, _)| id)) {
            let Some(machine) = self.replica.machines.get(id) else {
                continue;
            };
            for (run, placed) in machine.record.runs() {
                let Some(job) = self.replica.jobs.get(&run.task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let busy = self.preempted.keys().any(|r| r.task.job == spec.id)
                    || stops.iter().any(|(_, r)| r.task.job == spec.id);
                if spec.kind != Kind::Service || busy || spec.spread || spec.one_zone {
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
                    stops.push((id.clone(), run));
                }
            }
        }
        stops
    }

    /// Tasks that can save, on machines that are about to be taken: stopped in time, they go on
    /// elsewhere from where they were.
    pub fn savings(&self) -> Vec<Stop> {
        let mut stops = Vec::new();
        let mut gone: BTreeSet<Run> = self.preempted.keys().cloned().collect();
        for (id, health) in self.health {
            let (Some(left), Some(machine)) = (health.last.notice, self.replica.machines.get(id))
            else {
                continue;
            };
            for (run, _) in machine.record.runs() {
                let job = self.replica.jobs.get(&run.task.job);
                let saves = job.is_some_and(|j| {
                    j.spec.checkpoint_s > 0.0 && j.spec.save_s + 1.0 < left.secs()
                });
                if saves {
                    self.stop_whole(&run, id, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Tasks to stop so that those of a higher priority, or within a guarantee, get room.
    pub fn for_shortages(&self, shortages: &[Shortage]) -> Vec<Stop> {
        let mut stops = Vec::new();
        let mut coming = self.room_that_comes();
        let mut gone: BTreeSet<Run> = self.preempted.keys().cloned().collect();
        let lowest = self.lowest_placed();
        let mut looks = LOOKS;
        for shortage in shortages {
            let Some(job) = self.replica.jobs.get(&shortage.job) else {
                continue;
            };
            let spec = &job.spec;
            // Tasks end all the time, and those of a guarantee are next in line: work is only
            // thrown away for them once waiting won't do.
            let age = Span(self.wall.0.saturating_sub(job.eligible.0));
            let guaranteed = self.within.contains(&shortage.job) && self.is_worth_room(age);
            let others = self.config.teams.keys().filter(|t| **t != spec.team);
            let borrowed = guaranteed && others.into_iter().any(|t| self.accounts.borrows(t));
            if !borrowed && lowest.is_none_or(|p| p >= job.priority()) {
                continue;
            }
            // Room that is about to come free needs no look at the machines.
            let covered = tasks_in(shortage.need, coming).min(shortage.tasks);
            coming = coming - shortage.need.times(covered);
            let mut left = (shortage.tasks - covered).min(MOST_AT_ONCE);
            while left > 0 {
                if looks == 0 {
                    return stops;
                }
                looks -= 1;
                // Tasks of arrays are small and many: one look makes room for several.
                let at_once = if spec.kind == Kind::Array { left } else { 1 };
                let best = self.cheapest_room(shortage, job, at_once, guaranteed, &gone);
                let Some((machine, victims)) = best else {
                    break;
                };
                left -= victims.tasks;
                for run in victims.runs {
                    self.stop_whole(&run, machine, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Room that earlier stops are about to free: it is not asked for twice.
    fn room_that_comes(&self) -> Amounts {
        let jobs = self.preempted.keys().map(|run| &run.task.job);
        let stopped = jobs.filter_map(|job| self.replica.jobs.get(job));
        stopped.fold(Amounts::default(), |sum, j| sum + j.spec.need())
    }

    /// The lowest priority of what stands on machines.
    fn lowest_placed(&self) -> Option<Priority> {
        let placed = self.replica.jobs.values().filter(|j| !j.placed.is_empty());
        placed.map(LiveJob::priority).min()
    }

    /// The machine where room for a task costs the least, and what is to be stopped there for as
    /// many of `tasks` as fit.
    fn cheapest_room(
        &self,
        shortage: &Shortage,
        job: &LiveJob,
        tasks: u64,
        guaranteed: bool,
        gone: &BTreeSet<Run>,
    ) -> Option<(&MachineId, Victims)> {
        let (spec, priority) = (&job.spec, job.priority());
        let fair = |run: &Run, placed: &PlacedJob| {
            let victim = self.replica.jobs.get(&run.task.job)?;
            let over = guaranteed
                && victim.spec.team != spec.team
                && victim.priority() <= priority
                && !self.within.contains(&victim.spec.id)
                && self.accounts.beyond_guarantee(&placed.team, placed.need);
            let fair = victim.priority() < priority || over;
            (fair && !gone.contains(run)).then_some(victim.priority())
        };
        let best = self
            .candidates
            .iter()
            .zip(self.reserve)
            .filter(|(c, _)| !(shortage.cached_only || guaranteed) || c.has_image(spec))
            .filter_map(|(c, reserve)| {
                let kept = match spec.kind {
                    Kind::Service => Amounts::default(),
                    Kind::Array | Kind::Gang => *reserve,
                };
                let victims = victims(c, spec, kept, tasks, self.replica, fair)?;
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
    fn is_worth_room(&self, age: Span) -> bool {
        let patience = self.config.guarantee_patience.0;
        (patience..2 * patience).contains(&age.0) || age >= STALLED
    }

    /// Stops a task, and with a task of a gang all of them: they can only save together.
    fn stop_whole(
        &self,
        run: &Run,
        machine: &MachineId,
        gone: &mut BTreeSet<Run>,
        stops: &mut Vec<Stop>,
    ) {
        let job = self.replica.jobs.get(&run.task.job);
        let mut add = |machine: &MachineId, run: Run| {
            if gone.insert(run.clone()) {
                stops.push((machine.clone(), run));
            }
        };
        let Some(gang) = job.filter(|j| j.spec.kind == Kind::Gang) else {
            add(machine, run.clone());
            return;
        };
        for (index, (machine, attempt)) in &gang.placed {
            let task = TaskId {
                job: run.task.job.clone(),
                index: *index,
            };
            let attempt = *attempt;
            add(machine, Run { task, attempt });
        }
    }
}

/// Tasks to stop on one machine.
pub(super) struct Victims {
    /// The CPUs that they use.
    cpus: u64,
    /// How many tasks of the waiting job they make room for: at least one.
    tasks: u64,
    runs: Vec<Run>,
}

/// The tasks to stop on a machine so that up to `tasks` more of a job fit beside the room that is
/// `kept` from it, those that have done the least first. `fair` gives the priority of what may be
/// stopped.
pub(super) fn victims(
    candidate: &Candidate<'_>,
    spec: &JobSpec,
    kept: Amounts,
    tasks: u64,
    replica: &Replica,
    fair: impl Fn(&Run, &PlacedJob) -> Option<Priority>,
) -> Option<Victims> {
    let need = spec.need();
    if !candidate.is_allowed(spec) || !need.fits(candidate.room) {
        return None;
    }
    let machine = replica.machines.get(candidate.id)?;
    let mut list: Vec<(Priority, Run, Amounts)> = machine
        .record
        .runs()
        .filter_map(|(run, placed)| Some((fair(&run, placed)?, run, placed.need)))
        .collect();
    list.sort_by_key(|(p, run, _)| (*p, Reverse(run.attempt)));
    let (mut free, mut chosen) = (candidate.free, Vec::new());
    for (_, run, size) in list {
        if need.count_in(free - kept) >= tasks {
            break;
        }
        free = free + size;
        chosen.push((run, size));
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
        runs: chosen.into_iter().map(|(run, _)| run).collect(),
    };
    (fit > 0 && !victims.runs.is_empty()).then_some(victims)
}

/// How many tasks of a need fit into room that comes free; none if none does.
fn tasks_in(need: Amounts, room: Amounts) -> u64 {
    if room.cpus > 0 {
        need.count_in(room)
    } else {
        0
    }
}
