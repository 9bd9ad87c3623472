//! Replicas of services on machines, and the room that is kept for the next ones.

use super::candidates::Candidate;
use super::record_capacity::ANY_JOB;
use crate::ids::Resources;
use crate::protocol::JobKind;
use crate::store::records::PlacedJob;
use crate::store::watch_cache::{LiveMachine, WatchCache};
use std::cmp::Reverse;

/// Replicas for which room is kept at least.
const SPARE_REPLICAS: u64 = 2;

/// How many replicas of services a machine has, and what they use.
pub(crate) fn replicas(machine: &LiveMachine, cache: &WatchCache) -> (usize, Resources) {
    let service = |p: &&PlacedJob| {
        cache
            .jobs
            .get(&p.job)
            .is_some_and(|j| j.spec.kind == JobKind::Service)
    };
    let placed = machine.record.jobs.iter().filter(service);
    placed.fold((0, Resources::default()), |(n, sum), p| {
        (n + p.tasks.len(), sum + p.need.times(p.tasks.len() as u64))
    })
}

/// The replicas for which room is kept: the largest need among the services, and how many.
pub(crate) fn spare_replicas(cache: &WatchCache) -> Option<(Resources, u64)> {
    let (mut total, mut largest) = (0, Resources::default());
    for job in cache.jobs.values() {
        if job.spec.kind == JobKind::Service {
            let need = job.spec.need();
            total += need.cpus * u64::from(job.spec.tasks);
            if need.cpus > largest.cpus {
                largest = need;
            }
        }
    }
    let spare = (total as f64 * cache.settings().service_spare) as u64;
    let count = spare.checked_div(largest.cpus)?.max(SPARE_REPLICAS);
    Some((largest, count))
}

/// Room that only replicas may take, by candidate, on the machines where most of them are: there
/// the next one starts at once, and nothing has to be thrown away for it.
pub(super) fn reserve(cache: &WatchCache, candidates: &[Candidate<'_>]) -> Vec<Resources> {
    let mut reserve = vec![Resources::default(); candidates.len()];
    let Some((need, mut count)) = spare_replicas(cache) else {
        return reserve;
    };
    let mut order: Vec<usize> = (0..candidates.len())
        .filter(|at| !candidates[*at].spot)
        .collect();
    order.sort_by_key(|at| (Reverse(candidates[*at].replicas), candidates[*at].id));
    for at in order {
        let candidate = &candidates[at];
        // Each is a job of its own on the machine's record.
        let here = need
            .count_in(candidate.room - candidate.replicas_use)
            .min(candidate.record.single_tasks(ANY_JOB))
            .min(count);
        reserve[at] = need.times(here);
        count -= here;
    }
    reserve
}
