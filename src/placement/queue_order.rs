//! The order in which waiting jobs are served.

use crate::config::{Config, Team};
use crate::ids::{JobId, Resources, TeamId, UnixTime};
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs.
pub(super) fn guaranteed<'a>(
    teams: &BTreeMap<TeamId, Team>,
    jobs: impl Iterator<Item = (&'a JobId, &'a LiveJob)>,
) -> BTreeSet<JobId> {
    let mut by_age: Vec<_> = jobs.collect();
    by_age.sort_by_key(|(id, j)| (j.eligible, (*id).clone()));
    let mut used: BTreeMap<&TeamId, Resources> = BTreeMap::new();
    let mut within = BTreeSet::new();
    for (id, job) in by_age {
        let Some(team) = teams.get(&job.spec.team) else {
            continue;
        };
        let sum = used.entry(&job.spec.team).or_default();
        let left = job.spec.tasks.saturating_sub(job.done_count());
        let need = Resources {
            memory: 0,
            ..job.spec.need().times(left.into())
        };
        *sum = *sum + need;
        if team.guarantees(need) && team.covers(*sum) {
            within.insert(id.clone());
        }
    }
    within
}

/// All jobs in the order in which they are served.
pub(crate) fn service_order<'a>(
    config: &Config,
    cache: &'a WatchCache,
) -> Vec<(&'a JobId, &'a LiveJob)> {
    let within = guaranteed(&config.teams, cache.jobs.iter());
    let mut list: Vec<_> = cache.jobs.iter().collect();
    list.sort_by_cached_key(|(id, job)| rank(id, job, within.contains(*id)));
    list
}

/// What is due later than this after it could begin, or never, counts as due then: under lasting
/// overload it would otherwise stand behind all that comes after it.
const DUE_AT_LATEST: u64 = 150_000;
/// A job that has waited so long for its first task goes before everything else, one at a time:
/// neither higher work, nor other teams' guarantees, nor small jobs keep it out for ever.
const STARVING: u64 = 120_000;

/// Puts the oldest of the jobs that have waited too long for their first task to the front.
pub(super) fn oldest_first(waiting: &mut [(&JobId, &LiveJob)], now: UnixTime) {
    let unbegun = |job: &LiveJob| job.placed.is_empty() && job.done_count() == 0;
    let starving = waiting
        .iter()
        .enumerate()
        .filter(|(_, (_, j))| unbegun(j) && now.0.saturating_sub(j.eligible.0) > STARVING)
        .min_by_key(|(_, (id, j))| (j.eligible, *id));
    if let Some((at, _)) = starving {
        waiting[..=at].rotate_right(1);
    }
}

/// Priority first; then what a guarantee covers; then what is due first; then age. Priority and
/// time are those of the most urgent job that depends on it.
pub(super) fn rank(id: &JobId, job: &LiveJob, within: bool) -> impl Ord + use<> {
    let latest = UnixTime(job.eligible.0.saturating_add(DUE_AT_LATEST));
    let due = job.urgency.finish_by.map_or(latest, |at| at.min(latest));
    (
        Reverse(job.priority()),
        !within,
        due,
        job.eligible,
        id.clone(),
    )
}
