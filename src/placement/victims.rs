//! The choice of preemption victims on one machine.

use super::candidates::Candidate;
use crate::ids::{Resources, TaskAttempt};
use crate::protocol::{JobSpec, Priority};
use crate::store::records::PlacedJob;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;

/// Tasks to stop on one machine: at least one.
pub(super) struct Victims {
    /// The CPUs that they use.
    pub cpus: u64,
    /// How many tasks of the waiting job fit once they are gone: at least one.
    pub tasks: u64,
    /// The attempts to stop.
    pub attempts: Vec<TaskAttempt>,
}

/// The tasks to stop on a machine so that up to `tasks` more of a job fit beside the resources
/// that are `reserved` for others: those of the lowest priority first, and of these the ones that
/// have run for the shortest time. `preemptible` gives the priority of a task that may be
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
    // The last ones may have made room for nothing more.
    while let Some((_, used)) = chosen.last()
        && need.fit_count(free - *used - reserved) >= fitting
        && fitting > 0
    {
        free = free - *used;
        chosen.pop();
    }
    let victims = Victims {
        cpus: chosen.iter().map(|(_, used)| used.milli_cpus).sum(),
        tasks: fitting,
        attempts: chosen.into_iter().map(|(attempt, _)| attempt).collect(),
    };
    (fitting > 0 && !victims.attempts.is_empty()).then_some(victims)
}
