//! Ranking of machines for a job.

use super::candidates::Candidate;
use super::fault_tracking::FaultTracker;
use super::zone_constraint::ZoneConstraint;
use crate::ids::{JobId, MachineId, Resources, Zone};
use crate::protocol::{JobKind, JobSpec};
use crate::store::watch_cache::LiveJob;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The number of tasks that a machine can take is compared in steps of this size, so that a
/// difference of a few tasks does not outweigh an image fetch.
const TASKS_PER_STEP: u64 = 4;
/// The largest number of a shard's machines among which its owner may choose.
const MAX_PREFERRED_MACHINES: usize = 6;

/// The parameters of a search for free capacity for a job.
pub(super) struct CandidateSearch<'a> {
    /// The number of tasks to place, set while record writes are scarce: machines that can take the
    /// largest number of these tasks are then preferred.
    pub tasks_to_pack: Option<u64>,
    /// The indices of the candidates to search; `None` means all.
    pub candidate_subset: Option<&'a [usize]>,
    /// The resources of each candidate that are reserved for others, by candidate index.
    pub reserve: Option<&'a [Resources]>,
    /// Whether only machines that have the job's image are searched.
    pub cached_only: bool,
}

/// The requirements of the job for which machines are sought.
struct JobRequirements<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    need: Resources,
    /// The machines of the job's placement group.
    placement_group: BTreeSet<&'a MachineId>,
    /// The only zone that the job may use; `None` means any zone.
    zone: Option<Zone>,
}

impl CandidateSearch<'_> {
    fn reserved(&self, candidate_index: usize) -> Resources {
        self.reserve
            .map_or(Resources::default(), |reserve| reserve[candidate_index])
    }

    fn free(&self, candidates: &[Candidate<'_>], candidate_index: usize) -> Resources {
        match self.reserve {
            Some(reserve) => candidates[candidate_index].free - reserve[candidate_index],
            None => candidates[candidate_index].free,
        }
    }

    /// Returns the indices of the candidates that a job may use, best first.
    pub(super) fn ranked(
        &self,
        id: &JobId,
        job: &LiveJob,
        zones: &ZoneConstraint,
        faults: &FaultTracker,
        candidates: &[Candidate<'_>],
    ) -> Vec<usize> {
        let spec = &job.spec;
        let requirements = JobRequirements {
            id,
            spec,
            need: spec.need(),
            placement_group: job.plan.iter().flat_map(|p| p.machines.iter()).collect(),
            zone: zones.required_zone(spec, candidates, |candidate_index| {
                self.free(candidates, candidate_index)
            }),
        };
        let all: Vec<usize>;
        let searched = match self.candidate_subset {
            Some(subset) => subset,
            None => {
                all = (0..candidates.len()).collect();
                &all
            }
        };
        let mut ranked: Vec<(_, usize)> = searched
            .iter()
            .copied()
            .filter(|candidate_index| {
                self.is_feasible(&requirements, faults, candidates, *candidate_index)
            })
            .map(|candidate_index| {
                (
                    self.rank(&requirements, &candidates[candidate_index], candidate_index),
                    candidate_index,
                )
            })
            .collect();
        ranked.sort();
        ranked
            .into_iter()
            .map(|(_, candidate_index)| candidate_index)
            .collect()
    }

    /// Returns whether a job may use a machine and at least one of its tasks fits there.
    fn is_feasible(
        &self,
        requirements: &JobRequirements<'_>,
        faults: &FaultTracker,
        candidates: &[Candidate<'_>],
        candidate_index: usize,
    ) -> bool {
        let candidate = &candidates[candidate_index];
        let spec = requirements.spec;
        requirements
            .need
            .fits(self.free(candidates, candidate_index))
            && candidate.record_capacity.tasks_that_fit(spec) > 0
            && (!self.cached_only || candidate.has_image(spec))
            && candidate.is_allowed(spec)
            && !faults.is_excluded(requirements.id, candidate.id)
            && requirements
                .zone
                .as_ref()
                .is_none_or(|z| z == candidate.zone)
    }

    /// Returns the sort key of a machine. The machine with the smallest key is the best.
    fn rank(
        &self,
        requirements: &JobRequirements<'_>,
        candidate: &Candidate<'_>,
        candidate_index: usize,
    ) -> impl Ord + use<> {
        let spec = requirements.spec;
        // Machines with GPUs are few, and gangs need whole ones.
        let wastes_gpus = requirements.need.milli_gpus == 0 && candidate.capacity.milli_gpus > 0;
        let fitting_steps = self.tasks_to_pack.map(|tasks| {
            let fitting = candidate.tasks_that_fit(spec, self.reserved(candidate_index));
            Reverse(fitting.min(tasks) / TASKS_PER_STEP)
        });
        // Fetch times are rounded up to whole seconds, so that small differences do not scatter the
        // tasks.
        let fetch_s = candidate.fetch_seconds(spec).ceil() as u64;
        // Replicas are concentrated on few machines, so that the others can become empty.
        let replicas = match spec.kind {
            JobKind::Service => Reverse(candidate.replicas),
            JobKind::Array | JobKind::Gang => Reverse(0),
        };
        // Jobs that may run on spot machines use those first.
        let is_on_demand = !candidate.spot;
        let is_outside_group = !requirements.placement_group.contains(candidate.id);
        // Bin packing: the fullest machine comes first, so that others become empty and can be
        // returned.
        let free_cpus = candidate.free.milli_cpus;
        (
            wastes_gpus,
            fitting_steps,
            fetch_s,
            replicas,
            is_on_demand,
            is_outside_group,
            free_cpus,
        )
    }
}

/// Returns the machines among which the owner of a candidate's shard may choose: the candidate
/// itself, then the shard's other machines in `ranked`, in that order, at most
/// `MAX_PREFERRED_MACHINES` in total. With `only_candidate` the owner has no choice, because only
/// the leader sees all zones when the zones of a job's tasks depend on one another.
pub(super) fn preferred_machines(
    candidate: &Candidate<'_>,
    ranked: &[usize],
    candidates: &[Candidate<'_>],
    only_candidate: bool,
) -> Vec<MachineId> {
    let others = ranked
        .iter()
        .map(|candidate_index| &candidates[*candidate_index])
        .filter(|c| !only_candidate && c.shard == candidate.shard && c.id != candidate.id)
        .map(|c| c.id.clone());
    std::iter::once(candidate.id.clone())
        .chain(others)
        .take(MAX_PREFERRED_MACHINES)
        .collect()
}
