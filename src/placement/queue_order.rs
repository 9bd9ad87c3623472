//! The order in which waiting jobs are served.

use crate::config::{Config, TeamQuota};
use crate::ids::{JobId, Resources, TeamId, UnixTime};
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The latest due time that the queue order uses for a job, in milliseconds after the job became
/// eligible. It also applies to jobs without a deadline: under lasting overload they would
/// otherwise stay behind all jobs that arrive later.
const MAX_DUE_AFTER_ELIGIBLE_MS: u64 = 150_000;
/// The age in milliseconds at which a job that still waits for its first task is moved to the front
/// of the queue, one job at a time. Without this, jobs of higher priority, other teams' guarantees
/// or small jobs could keep it waiting indefinitely.
const STARVATION_AGE_MS: u64 = 120_000;

/// Returns the jobs that fit into their team's guaranteed quota together with the team's earlier
/// unfinished jobs. Jobs that need no kind of resource which the guarantee covers are left out.
pub(super) fn guaranteed_jobs<'a>(
    teams: &BTreeMap<TeamId, TeamQuota>,
    jobs: impl Iterator<Item = (&'a JobId, &'a LiveJob)>,
) -> BTreeSet<JobId> {
    let mut by_age: Vec<_> = jobs.collect();
    by_age.sort_by_key(|(id, job)| (job.eligible_at, (*id).clone()));
    let mut used: BTreeMap<&TeamId, Resources> = BTreeMap::new();
    let mut guaranteed = BTreeSet::new();
    for (id, job) in by_age {
        let Some(team) = teams.get(&job.spec.team) else {
            continue;
        };
        let sum = used.entry(&job.spec.team).or_default();
        let remaining = job.spec.tasks.saturating_sub(job.done_count());
        let need = Resources {
            memory_mb: 0,
            ..job.spec.need().times(remaining.into())
        };
        *sum = *sum + need;
        if team.has_guarantee_for(need) && team.is_within_guarantee(*sum) {
            guaranteed.insert(id.clone());
        }
    }
    guaranteed
}

/// Returns all live jobs in queue order. [`promote_starving`] is not applied.
pub(crate) fn jobs_in_queue_order<'a>(
    config: &Config,
    cache: &'a WatchCache,
) -> Vec<(&'a JobId, &'a LiveJob)> {
    let guaranteed = guaranteed_jobs(&config.teams, cache.jobs.iter());
    let mut jobs: Vec<_> = cache.jobs.iter().collect();
    jobs.sort_by_cached_key(|(id, job)| queue_rank(id, job, guaranteed.contains(*id)));
    jobs
}

/// Moves the oldest job that has exceeded `STARVATION_AGE_MS` without a first task to the front.
pub(super) fn promote_starving(waiting: &mut [(&JobId, &LiveJob)], now: UnixTime) {
    let is_unstarted = |job: &LiveJob| job.placed.is_empty() && job.done_count() == 0;
    let starving = waiting
        .iter()
        .enumerate()
        .filter(|(_, (_, job))| {
            is_unstarted(job) && now.0.saturating_sub(job.eligible_at.0) > STARVATION_AGE_MS
        })
        .min_by_key(|(_, (id, job))| (job.eligible_at, *id));
    if let Some((oldest_index, _)) = starving {
        waiting[..=oldest_index].rotate_right(1);
    }
}

/// Returns the sort key of a job in the queue: its priority, then whether it is within its team's
/// guarantee, then its due time, then its age. The priority is the highest among the job and the
/// jobs that depend on it. The due time is the latest at which all of them can meet their
/// deadlines, but no later than `MAX_DUE_AFTER_ELIGIBLE_MS` allows.
pub(super) fn queue_rank(id: &JobId, job: &LiveJob, is_guaranteed: bool) -> impl Ord + use<> {
    let latest = UnixTime(job.eligible_at.0.saturating_add(MAX_DUE_AFTER_ELIGIBLE_MS));
    let due = job.urgency.finish_by.map_or(latest, |at| at.min(latest));
    (
        Reverse(job.priority()),
        !is_guaranteed,
        due,
        job.eligible_at,
        id.clone(),
    )
}
