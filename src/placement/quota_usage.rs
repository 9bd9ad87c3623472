//! Quota usage of teams: the resources of all placements that have not been freed, and of all
//! allotments of this term that are not on record yet.

use crate::config::TeamQuota;
use crate::ids::{Resources, TeamId};
use std::collections::BTreeMap;

/// The resources that each team uses, compared with its guaranteed quota and its limit.
pub(super) struct QuotaUsage<'a> {
    teams: &'a BTreeMap<TeamId, TeamQuota>,
    used: BTreeMap<TeamId, Resources>,
}

impl<'a> QuotaUsage<'a> {
    /// Creates the usage of `teams` from the resources `used` on record.
    pub(super) fn new(
        teams: &'a BTreeMap<TeamId, TeamQuota>,
        used: BTreeMap<TeamId, Resources>,
    ) -> Self {
        Self { teams, used }
    }

    /// Adds resources to a team's usage.
    pub(super) fn charge(&mut self, team: &TeamId, resources: Resources) {
        match self.used.get_mut(team) {
            Some(sum) => *sum = *sum + resources,
            None => {
                self.used.insert(team.clone(), resources);
            }
        }
    }

    /// Subtracts resources from a team's usage.
    pub(super) fn credit(&mut self, team: &TeamId, resources: Resources) {
        if let Some(sum) = self.used.get_mut(team) {
            *sum = *sum - resources;
        }
    }

    /// Returns the resources that a team uses.
    pub(super) fn used(&self, team: &TeamId) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns how many more tasks of a need the team's quota limit allows. Memory is not limited.
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

    /// Returns whether the team uses more of any resource than its guaranteed quota.
    pub(super) fn exceeds_guarantee(&self, team: &TeamId) -> bool {
        let used = self.used(team);
        self.teams
            .get(team)
            .is_none_or(|t| t.is_guarantee_exceeded(used))
    }

    /// Returns whether the team's tasks of this need may be preempted for other teams' guarantees:
    /// the team exceeds its guaranteed quota, or its guarantee covers none of the kinds of resource
    /// that the task needs.
    pub(super) fn may_be_preempted(&self, team: &TeamId, need: Resources) -> bool {
        let used = self.used(team);
        self.teams
            .get(team)
            .is_none_or(|t| !t.has_guarantee_for(need) || !t.is_within_guarantee(used))
    }
}

#[cfg(test)]
mod tests;
