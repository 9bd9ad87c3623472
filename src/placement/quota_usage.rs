//! Quota usage of teams: the resources of every placement that is not known to be gone, and of
//! every allotment of this term that is not on record.

use crate::config::TeamQuota;
use crate::ids::{Resources, TeamId};
use std::collections::BTreeMap;

/// What each team uses, against its guaranteed quota and its limit.
pub(super) struct QuotaUsage<'a> {
    teams: &'a BTreeMap<TeamId, TeamQuota>,
    used: BTreeMap<TeamId, Resources>,
}

impl<'a> QuotaUsage<'a> {
    /// Usage against the quotas of `teams`, with what is on record as used.
    pub(super) fn new(
        teams: &'a BTreeMap<TeamId, TeamQuota>,
        used: BTreeMap<TeamId, Resources>,
    ) -> Self {
        Self { teams, used }
    }

    /// Adds to a team's usage.
    pub(super) fn charge(&mut self, team: &TeamId, resources: Resources) {
        match self.used.get_mut(team) {
            Some(sum) => *sum = *sum + resources,
            None => {
                self.used.insert(team.clone(), resources);
            }
        }
    }

    /// Subtracts from a team's usage.
    pub(super) fn credit(&mut self, team: &TeamId, resources: Resources) {
        if let Some(sum) = self.used.get_mut(team) {
            *sum = *sum - resources;
        }
    }

    /// What a team uses.
    pub(super) fn used(&self, team: &TeamId) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// How many tasks of a need the team's quota limit still allows. Memory has no limit.
    pub(super) fn tasks_within_limit(&self, team: &TeamId, need: Resources) -> u64 {
        let Some(limits) = self.teams.get(team) else {
            return 0;
        };
        let free = limits.limit() - self.used(team);
        Resources {
            memory_mb: 0,
            ..need
        }
        .fit_count(free)
    }

    /// Whether the team uses more of any resource than its guaranteed quota.
    pub(super) fn exceeds_guarantee(&self, team: &TeamId) -> bool {
        let used = self.used(team);
        self.teams
            .get(team)
            .is_none_or(|t| t.is_guarantee_exceeded(used))
    }

    /// Whether the team's tasks of such a need may be preempted for other teams' guarantees: it
    /// uses more than its guaranteed quota, or this doesn't cover the needed kind of resource.
    pub(super) fn may_be_preempted(&self, team: &TeamId, need: Resources) -> bool {
        let used = self.used(team);
        self.teams
            .get(team)
            .is_none_or(|t| !t.has_guarantee_for(need) || !t.is_within_guarantee(used))
    }
}

#[cfg(test)]
mod tests;
