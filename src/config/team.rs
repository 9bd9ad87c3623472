//! What a team is guaranteed and may use.

use crate::ids::Resources;

/// Of each kind of room an amount, or none. Without a limit a team may use any amount of that
/// kind. Without a guarantee of a kind, what a job takes of that kind does not count: a guarantee
/// in cards is not broken by the CPUs that tasks with cards need as well.
#[derive(Debug, Clone)]
pub(crate) struct Team {
    guarantee: [Option<u64>; 2],
    limit: [Option<u64>; 2],
}

/// The kinds that guarantees and limits are given in. Memory has neither.
fn kinds(amounts: Resources) -> [u64; 2] {
    [amounts.cpus, amounts.gpus]
}

fn above_zero(amounts: Resources) -> [Option<u64>; 2] {
    kinds(amounts).map(|a| (a > 0).then_some(a))
}

impl Team {
    /// A value of 0 means none.
    pub(crate) fn new(guarantee: Resources, limit: Resources) -> Self {
        Self {
            guarantee: above_zero(guarantee),
            limit: above_zero(limit),
        }
    }

    /// What it may use; all there is of a kind without a limit.
    pub(crate) fn limit(&self) -> Resources {
        let [cpus, gpus] = self.limit.map(|l| l.unwrap_or(u64::MAX));
        Resources {
            cpus,
            gpus,
            memory: u64::MAX,
        }
    }

    /// Whether the guarantee speaks of anything that a task takes.
    pub(crate) fn guarantees(&self, need: Resources) -> bool {
        let named = self.guarantee.iter().zip(kinds(need));
        named.into_iter().any(|(g, need)| g.is_some() && need > 0)
    }

    /// Whether a use goes beyond the guarantee in any kind, those that it does not speak of
    /// included.
    pub(crate) fn is_exceeded(&self, used: Resources) -> bool {
        let each = self.guarantee.iter().zip(kinds(used));
        each.into_iter().any(|(g, used)| used > g.unwrap_or(0))
    }

    /// Whether a sum of needs stays within the guarantee.
    pub(crate) fn covers(&self, sum: Resources) -> bool {
        let each = self.guarantee.iter().zip(kinds(sum));
        each.into_iter()
            .all(|(g, used)| g.is_none_or(|g| used <= g))
    }
}

#[cfg(test)]
impl Team {
    /// With so many CPUs, in thousandths.
    pub(crate) fn of_cpus(guarantee: u64, limit: u64) -> Self {
        let cpus = |cpus| Resources {
            cpus,
            ..Resources::default()
        };
        Self::new(cpus(guarantee), cpus(limit))
    }
}

#[cfg(test)]
mod tests;
