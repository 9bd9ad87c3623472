//! Selection of preemption victims on one machine.

use super::candidates::Candidate;
use crate::ids::{Resources, TaskAttempt};
use crate::protocol::{JobSpec, Priority};
use crate::store::records::PlacedJob;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;

/// The tasks to stop on one machine. There is at least one.
pub(super) struct Victims {
    /// The milli-CPUs that the victims use.
    pub milli_cpus: u64,
    /// The number of tasks of the waiting job that fit once the victims are gone. At least 1.
    pub tasks: u64,
    /// The attempts to stop.
    pub attempts: Vec<TaskAttempt>,
}

/// Selects the tasks to stop on a machine so that up to `tasks` more tasks of a job fit in addition
/// to the `reserved` resources. Tasks of the lowest priority are selected first and, within a
/// priority, those that were allotted last. `preemptible` returns the priority of a task that may
/// be stopped, or `None`. Returns `None` if no task of the job would fit, or none has to be
/// stopped.
pub(super) fn select_victims(
    candidate: &Candidate<'_>,
    spec: &JobSpec,
    reserved: Resources,
    tasks: u64,
    cache: &WatchCache,
    preemptible: impl Fn(&TaskAttempt, &PlacedJob) -> Option<Priority>,
) -> Option<Victims> {
    let need = spec.need();
    if !candidate.is_allowed(spec) || !need.fits(candidate.capacity) {
        return None;
    }
    let machine = cache.machines.get(candidate.id)?;
    let mut running: Vec<(Priority, TaskAttempt, Resources)> = machine
        .record
        .attempts()
        .filter_map(|(attempt, placed)| {
            Some((preemptible(&attempt, placed)?, attempt, placed.need))
        })
        .collect();
    running.sort_by_key(|(priority, attempt, _)| (*priority, Reverse(attempt.number)));
    let (mut free, mut chosen) = (candidate.free, Vec::new());
    for (_, attempt, used) in running {
        if need.fit_count(free - reserved) >= tasks {
            break;
        }
        free = free + used;
        chosen.push((attempt, used));
    }
    let fitting = need.fit_count(free - reserved).min(tasks);
    // Drop the last victims again if stopping them does not make room for another task.
    while let Some((_, used)) = chosen.last()
        && need.fit_count(free - *used - reserved) >= fitting
        && fitting > 0
    {
        free = free - *used;
        chosen.pop();
    }
    let victims = Victims {
        milli_cpus: chosen.iter().map(|(_, used)| used.milli_cpus).sum(),
        tasks: fitting,
        attempts: chosen.into_iter().map(|(attempt, _)| attempt).collect(),
    };
    (fitting > 0 && !victims.attempts.is_empty()).then_some(victims)
}
