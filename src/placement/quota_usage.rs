//! Team accounts: what every placement that is not proved gone uses, and every allotment of
//! this term that is not answered.

use crate::config::Team;
use crate::ids::{Resources, TeamId};
use std::collections::BTreeMap;

pub(super) struct QuotaUsage<'a> {
    teams: &'a BTreeMap<TeamId, Team>,
    used: BTreeMap<TeamId, Resources>,
}

impl<'a> QuotaUsage<'a> {
    pub(super) fn new(
        teams: &'a BTreeMap<TeamId, Team>,
        used: BTreeMap<TeamId, Resources>,
    ) -> Self {
        Self { teams, used }
    }

    pub(super) fn charge(&mut self, team: &TeamId, amounts: Resources) {
        match self.used.get_mut(team) {
            Some(sum) => *sum = *sum + amounts,
            None => {
                self.used.insert(team.clone(), amounts);
            }
        }
    }

    /// What is proved gone counts no more.
    pub(super) fn credit(&mut self, team: &TeamId, amounts: Resources) {
        if let Some(sum) = self.used.get_mut(team) {
            *sum = *sum - amounts;
        }
    }

    pub(super) fn used(&self, team: &TeamId) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// How many tasks of a need the team's limit still allows. Memory has no limit.
    pub(super) fn allows(&self, team: &TeamId, need: Resources) -> u64 {
        let Some(limits) = self.teams.get(team) else {
            return 0;
        };
        let free = limits.limit() - self.used(team);
        Resources { memory: 0, ..need }.count_in(free)
    }

    /// Whether the team uses anything beyond its guarantee.
    pub(super) fn borrows(&self, team: &TeamId) -> bool {
        let used = self.used(team);
        self.teams.get(team).is_none_or(|t| t.is_exceeded(used))
    }

    /// Whether the team uses more than its guarantee, so that its work of such a need may make
    /// room for others'. What its guarantee does not speak of, it always has beyond it.
    pub(super) fn beyond_guarantee(&self, team: &TeamId, need: Resources) -> bool {
        let used = self.used(team);
        self.teams
            .get(team)
            .is_none_or(|t| !t.guarantees(need) || !t.covers(used))
    }
}

#[cfg(test)]
mod tests;
