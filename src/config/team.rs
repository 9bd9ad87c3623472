//! The guaranteed quota and the quota limit of a team.

use crate::ids::Resources;

/// A team's guaranteed quota and quota limit: an optional amount for each kind of resource. Without a limit
/// for a kind, the team may use any amount of it.
#[derive(Debug, Clone)]
pub(crate) struct TeamQuota {
    guarantee: [Option<u64>; 2],
    limit: [Option<u64>; 2],
}

/// Returns the amounts of the kinds that have quotas: CPUs and GPUs. Memory has no quota.
fn quota_kinds(amounts: Resources) -> [u64; 2] {
    [amounts.milli_cpus, amounts.milli_gpus]
}

fn nonzero_amounts(amounts: Resources) -> [Option<u64>; 2] {
    quota_kinds(amounts).map(|amount| (amount > 0).then_some(amount))
}

impl TeamQuota {
    /// Returns a quota with this guarantee and limit. An amount of 0 means that there is none.
    pub(crate) fn new(guarantee: Resources, limit: Resources) -> Self {
        Self {
            guarantee: nonzero_amounts(guarantee),
            limit: nonzero_amounts(limit),
        }
    }

    /// Returns the resources that the team may use. Kinds without a limit have the largest possible amount.
    pub(crate) fn limit(&self) -> Resources {
        let [cpus, gpus] = self.limit.map(|limit| limit.unwrap_or(u64::MAX));
        Resources {
            milli_cpus: cpus,
            milli_gpus: gpus,
            memory_mb: u64::MAX,
        }
    }

    /// Returns whether the guarantee covers any kind of resource that a task needs.
    pub(crate) fn has_guarantee_for(&self, need: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(need))
            .any(|(guarantee, need)| guarantee.is_some() && need > 0)
    }

    /// Returns whether the usage exceeds the guarantee in any kind. Any usage of a kind without a guarantee
    /// exceeds it.
    pub(crate) fn is_guarantee_exceeded(&self, used: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(used))
            .any(|(guarantee, used)| used > guarantee.unwrap_or(0))
    }

    /// Returns whether a sum of needs is within the guarantee. Only kinds with a guarantee are compared: work
    /// within a guarantee of GPUs stays within it although its tasks also need CPUs.
    pub(crate) fn is_within_guarantee(&self, sum: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(sum))
            .all(|(guarantee, used)| guarantee.is_none_or(|guarantee| used <= guarantee))
    }
}

#[cfg(test)]
impl TeamQuota {
    /// Returns a quota for CPUs only, in thousandths of a CPU.
    pub(crate) fn of_cpus(guarantee: u64, limit: u64) -> Self {
        let cpus = |cpus| Resources {
            milli_cpus: cpus,
            ..Resources::default()
        };
        Self::new(cpus(guarantee), cpus(limit))
    }
}

#[cfg(test)]
mod tests;
