//! Free capacity that is kept for the next replicas of services.

use super::candidates::Candidate;
use super::record_capacity::ESTIMATED_JOB_BYTES;
use super::replicas::reserved_replicas;
use crate::ids::Resources;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;

/// The resources that only replicas may take, by candidate, on the machines where most replicas
/// are: there the next one starts at once, and nothing has to be preempted for it.
pub(super) fn replica_reserve(cache: &WatchCache, candidates: &[Candidate<'_>]) -> Vec<Resources> {
    let mut reserve = vec![Resources::default(); candidates.len()];
    let Some((need, mut count)) = reserved_replicas(cache) else {
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
            .fit_count(candidate.capacity - candidate.replica_usage)
            .min(
                candidate
                    .record_capacity
                    .single_task_jobs(ESTIMATED_JOB_BYTES),
            )
            .min(count);
        reserve[at] = need.times(here);
        count -= here;
    }
    reserve
}
