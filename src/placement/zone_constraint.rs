//! The zones that a job's tasks may run in, given where its others are.

use super::candidates::Candidate;
use crate::ids::{MachineId, Resources, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::collections::BTreeMap;

/// Keeps a job's tasks in one zone, or spread over zones, as its specification asks.
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// The largest number of tasks that one zone may have.
    max_per_zone: Option<u32>,
    /// The job's placed and allotted tasks; empty for a job without a constraint.
    tasks_by_zone: BTreeMap<Zone, u32>,
}

impl ZoneConstraint {
    /// The constraint of a job, with its tasks that are placed or `allotted` counted.
    pub(super) fn new(
        job: &LiveJob,
        allotted: Option<&BTreeMap<u32, &MachineId>>,
        cache: &WatchCache,
    ) -> Self {
        let spec = &job.spec;
        let mut constraint = Self {
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
            tasks_by_zone: BTreeMap::new(),
        };
        if constraint.is_constrained() {
            let placed = job.placed.values().map(|placement| &placement.machine);
            let allotted = allotted.iter().flat_map(|a| a.values().copied());
            for machine in placed.chain(allotted) {
                if let Some(machine) = cache.machines.get(machine) {
                    constraint.add_task(&machine.record.zone);
                }
            }
        }
        constraint
    }

    /// The zone of a job that must stay in one: that of its other tasks, else the one with the
    /// most free capacity on machines that the job may use. Capacity of other machines must not
    /// count: it would draw the job away from the only zone that it can run in.
    pub(super) fn required_zone(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        free: impl Fn(usize) -> Resources,
    ) -> Option<Zone> {
        if !self.one_zone {
            return None;
        }
        if let Some(zone) = self.tasks_by_zone.keys().next() {
            return Some(zone.clone());
        }
        let mut tasks_that_fit: BTreeMap<&Zone, u64> = BTreeMap::new();
        for (at, candidate) in candidates.iter().enumerate() {
            if candidate.is_allowed(spec) {
                let sum = tasks_that_fit.entry(candidate.zone).or_default();
                *sum = sum.saturating_add(spec.need().fit_count(free(at)));
            }
        }
        let most = tasks_that_fit.into_iter().max_by_key(|(_, tasks)| *tasks);
        most.map(|(zone, _)| zone.clone())
    }

    /// Whether the zone of one of the job's tasks depends on those of the others.
    pub(super) fn is_constrained(&self) -> bool {
        self.one_zone || self.max_per_zone.is_some()
    }

    /// Whether one more task may run in a zone.
    pub(super) fn allows(&self, zone: &Zone) -> bool {
        let here = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        let elsewhere = self.tasks_by_zone.keys().any(|z| z != zone);
        !(self.one_zone && elsewhere) && self.max_per_zone.is_none_or(|max| here < max)
    }

    /// Counts one more task in a zone.
    pub(super) fn add_task(&mut self, zone: &Zone) {
        if self.is_constrained() {
            *self.tasks_by_zone.entry(zone.clone()).or_default() += 1;
        }
    }
}
