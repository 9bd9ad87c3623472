//! The zones that a job's tasks may stand in, given where its others are.

use super::candidates::Candidate;
use crate::ids::{MachineId, Resources, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::collections::BTreeMap;

/// Keeps a job's tasks in one zone, or spread over zones, as it asks.
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// The most tasks that one zone may have.
    most: Option<u32>,
    counts: BTreeMap<Zone, u32>,
}

impl ZoneConstraint {
    pub(super) fn new(
        job: &LiveJob,
        allotted: Option<&BTreeMap<u32, &MachineId>>,
        cache: &WatchCache,
    ) -> Self {
        let spec = &job.spec;
        let mut rule = Self {
            one_zone: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            counts: BTreeMap::new(),
        };
        if rule.one_zone || rule.most.is_some() {
            let placed = job.placed.values().map(|p| &p.machine);
            let allotted = allotted.iter().flat_map(|a| a.values().copied());
            for machine in placed.chain(allotted) {
                if let Some(machine) = cache.machines.get(machine) {
                    rule.add(&machine.record.zone);
                }
            }
        }
        rule
    }

    /// Where a job that must stay in one zone goes: to its other tasks, else to the zone with
    /// room for the most on machines that it may use. A zone full of others' machines once drew
    /// it away from the only one that it could run on (simulated seed 61 of late copies).
    pub(super) fn choose(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        free: impl Fn(usize) -> Resources,
    ) -> Option<Zone> {
        if !self.one_zone {
            return None;
        }
        if let Some(zone) = self.counts.keys().next() {
            return Some(zone.clone());
        }
        let mut room: BTreeMap<&Zone, u64> = BTreeMap::new();
        for (at, c) in candidates.iter().enumerate() {
            if c.is_allowed(spec) {
                let sum = room.entry(c.zone).or_default();
                *sum = sum.saturating_add(spec.need().count_in(free(at)));
            }
        }
        let most = room.into_iter().max_by_key(|(_, n)| *n);
        most.map(|(zone, _)| zone.clone())
    }

    /// Whether the zones of the job's tasks depend on one another.
    pub(super) fn binds(&self) -> bool {
        self.one_zone || self.most.is_some()
    }

    /// Whether one more task may stand in a zone.
    pub(super) fn admits(&self, zone: &Zone) -> bool {
        let here = self.counts.get(zone).copied().unwrap_or(0);
        let elsewhere = self.counts.keys().any(|z| z != zone);
        !(self.one_zone && elsewhere) && self.most.is_none_or(|most| here < most)
    }

    pub(super) fn add(&mut self, zone: &Zone) {
        if self.one_zone || self.most.is_some() {
            *self.counts.entry(zone.clone()).or_default() += 1;
        }
    }
}
