//! Free capacity that is reserved for the next replicas of services.

use super::candidates::Candidate;
use super::record_capacity::ESTIMATED_JOB_BYTES;
use super::replicas::reserved_replicas;
use crate::ids::Resources;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;

/// Returns the resources of each candidate that only service replicas may use, by candidate index.
/// They are reserved on the on-demand machines that have the most replicas, so that the next
/// replica starts at once without preemption.
pub(super) fn replica_reserve(cache: &WatchCache, candidates: &[Candidate<'_>]) -> Vec<Resources> {
    let mut reserve = vec![Resources::default(); candidates.len()];
    let Some((need, mut count)) = reserved_replicas(cache) else {
        return reserve;
    };
    let mut order: Vec<usize> = (0..candidates.len())
        .filter(|candidate_index| !candidates[*candidate_index].spot)
        .collect();
    order.sort_by_key(|candidate_index| {
        (
            Reverse(candidates[*candidate_index].replicas),
            candidates[*candidate_index].id,
        )
    });
    for candidate_index in order {
        let candidate = &candidates[candidate_index];
        // Each replica is counted as a separate job on the machine's record.
        let count_here = need
            .fit_count(candidate.capacity - candidate.replica_usage)
            .min(
                candidate
                    .record_capacity
                    .single_task_jobs(ESTIMATED_JOB_BYTES),
            )
            .min(count);
        reserve[candidate_index] = need.times(count_here);
        count -= count_here;
    }
    reserve
}
