//! Which machines a job prefers.

use super::candidates::Candidate;
use super::fault_tracking::FaultTracker;
use super::zone_constraint::ZoneConstraint;
use crate::ids::{JobId, MachineId, Resources, Zone};
use crate::protocol::{JobKind, JobSpec};
use crate::store::watch_cache::LiveJob;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Numbers of tasks that a machine takes at once are compared in steps of so many: a few tasks
/// more or less don't outweigh an image that has to be fetched.
const TASKS_PER_STEP: u64 = 4;
/// How many machines of a shard its owner may choose from.
const MAX_PREFERRED_MACHINES: usize = 6;

/// Where, and how, a job looks for free capacity.
pub(super) struct CandidateSearch<'a> {
    /// How many tasks the job has, while changes of machines' records are scarce: machines that
    /// take most of them at once are preferred.
    pub tasks_at_once: Option<u64>,
    /// The candidates to look at; `None`: all.
    pub among: Option<&'a [usize]>,
    /// Resources that are reserved for others, by candidate.
    pub reserve: Option<&'a [Resources]>,
    /// Only machines that have the job's image.
    pub cached_only: bool,
}

/// A job that machines are searched for.
struct Applicant<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    need: Resources,
    /// The machines of its placement group.
    group: BTreeSet<&'a MachineId>,
    /// The only zone that it may use; `None`: any.
    zone: Option<Zone>,
}

impl CandidateSearch<'_> {
    fn reserved(&self, at: usize) -> Resources {
        self.reserve
            .map_or(Resources::default(), |reserve| reserve[at])
    }

    fn free(&self, candidates: &[Candidate<'_>], at: usize) -> Resources {
        match self.reserve {
            Some(reserve) => candidates[at].free - reserve[at],
            None => candidates[at].free,
        }
    }

    /// The machines that a job may use, best first.
    pub(super) fn ranked(
        &self,
        id: &JobId,
        job: &LiveJob,
        zones: &ZoneConstraint,
        faults: &FaultTracker,
        candidates: &[Candidate<'_>],
    ) -> Vec<usize> {
        let spec = &job.spec;
        let applicant = Applicant {
            id,
            spec,
            need: spec.need(),
            group: job.plan.iter().flat_map(|p| p.machines.iter()).collect(),
            zone: zones.required_zone(spec, candidates, |at| self.free(candidates, at)),
        };
        let all: Vec<usize>;
        let among = match self.among {
            Some(among) => among,
            None => {
                all = (0..candidates.len()).collect();
                &all
            }
        };
        let mut ranked: Vec<(_, usize)> = among
            .iter()
            .copied()
            .filter(|at| self.is_feasible(&applicant, faults, candidates, *at))
            .map(|at| (self.rank(&applicant, &candidates[at], at), at))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// Whether a job may use a machine, and at least one of its tasks fits.
    fn is_feasible(
        &self,
        applicant: &Applicant<'_>,
        faults: &FaultTracker,
        candidates: &[Candidate<'_>],
        at: usize,
    ) -> bool {
        let candidate = &candidates[at];
        let spec = applicant.spec;
        applicant.need.fits(self.free(candidates, at))
            && candidate.record_capacity.tasks_that_fit(spec) > 0
            && (!self.cached_only || candidate.has_image(spec))
            && candidate.is_allowed(spec)
            && !faults.is_excluded(applicant.id, candidate.id)
            && applicant.zone.as_ref().is_none_or(|z| z == candidate.zone)
    }

    /// The key that machines are sorted by: the smallest is the best.
    fn rank(
        &self,
        applicant: &Applicant<'_>,
        candidate: &Candidate<'_>,
        at: usize,
    ) -> impl Ord + use<> {
        let spec = applicant.spec;
        // Machines with GPUs are few, and gangs wait for whole ones.
        let wastes_gpus = applicant.need.milli_gpus == 0 && candidate.capacity.milli_gpus > 0;
        let steps_at_once = self.tasks_at_once.map(|tasks| {
            let fitting = candidate.tasks_that_fit(spec, self.reserved(at));
            Reverse(fitting.min(tasks) / TASKS_PER_STEP)
        });
        // Whole seconds, so that small differences don't scatter the work.
        let fetch_s = candidate.fetch_seconds(spec).ceil() as u64;
        // Replicas gather on few machines, so that the others can empty.
        let replicas = match spec.kind {
            JobKind::Service => Reverse(candidate.replicas),
            JobKind::Array | JobKind::Gang => Reverse(0),
        };
        // What may run on spot machines goes there first.
        let is_on_demand = !candidate.spot;
        let is_outside_group = !applicant.group.contains(candidate.id);
        // Bin packing: the fullest first, so that others empty and can be returned.
        let free_cpus = candidate.free.milli_cpus;
        (
            wastes_gpus,
            steps_at_once,
            fetch_s,
            replicas,
            is_on_demand,
            is_outside_group,
            free_cpus,
        )
    }
}

/// The machines among which the owner of a candidate's shard chooses: the candidate first, then
/// the shard's others in the job's order. With `only_candidate` it has no choice: where the zones
/// of the job's tasks depend on one another, only the leader sees them all.
pub(super) fn preferred_machines(
    candidate: &Candidate<'_>,
    ranked: &[usize],
    candidates: &[Candidate<'_>],
    only_candidate: bool,
) -> Vec<MachineId> {
    let others = ranked
        .iter()
        .map(|at| &candidates[*at])
        .filter(|c| !only_candidate && c.shard == candidate.shard && c.id != candidate.id)
        .map(|c| c.id.clone());
    std::iter::once(candidate.id.clone())
        .chain(others)
        .take(MAX_PREFERRED_MACHINES)
        .collect()
}
