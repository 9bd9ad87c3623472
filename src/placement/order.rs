//! The order in which waiting jobs are served.

use crate::config::{Config, Team};
use crate::ids::{Amounts, JobId, TeamId, Wall};
use crate::store::replica::{LiveJob, Replica};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs.
pub fn guaranteed<'a>(
    teams: &BTreeMap<TeamId, Team>,
    jobs: impl Iterator<Item = (&'a JobId, &'a LiveJob)>,
) -> BTreeSet<JobId> {
    let mut by_age: Vec<_> = jobs.collect();
    by_age.sort_by_key(|(id, j)| (j.accepted, (*id).clone()));
    let mut used: BTreeMap<&TeamId, Amounts> = BTreeMap::new();
    let mut within = BTreeSet::new();
    for (id, job) in by_age {
        let Some(team) = teams.get(&job.spec.team) else {
            continue;
        };
        let sum = used.entry(&job.spec.team).or_default();
        let left = job.spec.tasks.saturating_sub(job.done_count());
        let need = Amounts {
            memory: 0,
            ..job.spec.need().times(left.into())
        };
        *sum = *sum + need;
        if sum.fits(team.guarantee) {
            within.insert(id.clone());
        }
    }
    within
}

/// All jobs in the order in which they are served.
pub fn service_order<'a>(config: &Config, replica: &'a Replica) -> Vec<(&'a JobId, &'a LiveJob)> {
    let within = guaranteed(&config.teams, replica.jobs.iter());
    let mut list: Vec<_> = replica.jobs.iter().collect();
    list.sort_by_cached_key(|(id, job)| rank(id, job, within.contains(*id)));
    list
}

/// Priority first; then what a guarantee covers; then what is due first; then age.
pub fn rank(id: &JobId, job: &LiveJob, within: bool) -> impl Ord + use<> {
    let due = job.spec.deadline_s.map_or(Wall(u64::MAX), |s| {
        Wall(job.accepted.0 + (s * 1000.0) as u64)
    });
    (
        Reverse(job.spec.priority),
        !within,
        due,
        job.accepted,
        id.clone(),
    )
}
