//! The zones in which a job's tasks may run, given the zones of its other tasks.

use super::candidates::Candidate;
use crate::ids::{MachineId, Resources, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveJob, WatchCache};
use std::collections::BTreeMap;

/// The zone constraint of a job's specification: its tasks stay in one zone or are spread over
/// zones.
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// The largest number of the job's tasks in one zone; `None` without a limit.
    max_per_zone: Option<u32>,
    /// The number of the job's placed and allotted tasks in each zone. Empty for a job without a
    /// constraint.
    tasks_by_zone: BTreeMap<Zone, u32>,
}

impl ZoneConstraint {
    /// Creates the constraint of a job and counts its tasks that are placed or `allotted`.
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

    /// Returns the zone of a job that must stay in one zone: the zone of its other tasks or,
    /// without any, the zone in which the largest number of its tasks fits on machines that the job
    /// may use. Other machines are not counted, because their capacity could select a zone in which
    /// the job cannot run. Returns `None` for jobs that may use several zones.
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
        for (candidate_index, candidate) in candidates.iter().enumerate() {
            if candidate.is_allowed(spec) {
                let sum = tasks_that_fit.entry(candidate.zone).or_default();
                *sum = sum.saturating_add(spec.need().fit_count(free(candidate_index)));
            }
        }
        let most = tasks_that_fit.into_iter().max_by_key(|(_, tasks)| *tasks);
        most.map(|(zone, _)| zone.clone())
    }

    /// Returns whether the zone of one of the job's tasks depends on the zones of the others.
    pub(super) fn is_constrained(&self) -> bool {
        self.one_zone || self.max_per_zone.is_some()
    }

    /// Returns whether one more task may run in a zone.
    pub(super) fn allows(&self, zone: &Zone) -> bool {
        let tasks_here = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        let has_tasks_elsewhere = self.tasks_by_zone.keys().any(|z| z != zone);
        !(self.one_zone && has_tasks_elsewhere)
            && self.max_per_zone.is_none_or(|max| tasks_here < max)
    }

    /// Counts one more task in a zone, if the job has a constraint.
    pub(super) fn add_task(&mut self, zone: &Zone) {
        if self.is_constrained() {
            *self.tasks_by_zone.entry(zone.clone()).or_default() += 1;
        }
    }
}
