//! What a team is guaranteed and may use.

use crate::ids::Resources;

/// A team's guaranteed quota and quota limit: an amount of each kind of resource, or none. Without
/// a limit a team may use any amount of that kind. Without a guarantee of a kind, what a job takes
/// of that kind does not count: a guarantee of GPUs is not broken by the CPUs that tasks with GPUs
/// need as well.
#[derive(Debug, Clone)]
pub(crate) struct TeamQuota {
    guarantee: [Option<u64>; 2],
    limit: [Option<u64>; 2],
}

/// The kinds that guarantees and limits are given in. Memory has neither.
fn quota_kinds(amounts: Resources) -> [u64; 2] {
    [amounts.milli_cpus, amounts.milli_gpus]
}

fn nonzero_amounts(amounts: Resources) -> [Option<u64>; 2] {
    quota_kinds(amounts).map(|amount| (amount > 0).then_some(amount))
}

impl TeamQuota {
    /// A team with these quotas. An amount of 0 means none.
    pub(crate) fn new(guarantee: Resources, limit: Resources) -> Self {
        Self {
            guarantee: nonzero_amounts(guarantee),
            limit: nonzero_amounts(limit),
        }
    }

    /// What it may use; the largest amount of a kind without a limit.
    pub(crate) fn limit(&self) -> Resources {
        let [cpus, gpus] = self.limit.map(|limit| limit.unwrap_or(u64::MAX));
        Resources {
            milli_cpus: cpus,
            milli_gpus: gpus,
            memory_mb: u64::MAX,
        }
    }

    /// Whether the guarantee covers any kind that a task needs.
    pub(crate) fn has_guarantee_for(&self, need: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(need))
            .any(|(guarantee, need)| guarantee.is_some() && need > 0)
    }

    /// Whether a use goes beyond the guarantee in any kind, those without a guarantee included.
    pub(crate) fn is_guarantee_exceeded(&self, used: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(used))
            .any(|(guarantee, used)| used > guarantee.unwrap_or(0))
    }

    /// Whether a sum of needs stays within the guarantee, of the kinds that have one.
    pub(crate) fn is_within_guarantee(&self, sum: Resources) -> bool {
        self.guarantee
            .iter()
            .zip(quota_kinds(sum))
            .all(|(guarantee, used)| guarantee.is_none_or(|guarantee| used <= guarantee))
    }
}

#[cfg(test)]
impl TeamQuota {
    /// A team with quotas of CPUs alone, in thousandths.
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
