//! Which machines a job would rather have.

use super::candidates::Candidate;
use super::fault_tracking::Faults;
use super::zone_constraint::ZoneConstraint;
use crate::ids::{JobId, MachineId, Resources};
use crate::protocol::{JobKind, JobSpec};
use crate::store::watch_cache::LiveJob;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Steps in which the number of tasks that a machine takes at once counts.
const TOGETHER: u64 = 4;
/// Machines of a shard that its shard owner may choose from.
const CHOICES: usize = 6;

/// Where, and how, a job looks for room.
pub(super) struct CandidateSearch<'a> {
    /// How many tasks it has, while each machine that is used costs a change that is scarce.
    pub most: Option<u64>,
    pub among: Option<&'a [usize]>,
    /// Room that is kept from it, by candidate.
    pub reserve: Option<&'a [Resources]>,
    /// Only where nothing has to be fetched.
    pub cached_only: bool,
}

impl CandidateSearch<'_> {
    fn free(&self, candidates: &[Candidate<'_>], at: usize) -> Resources {
        match self.reserve {
            Some(reserve) => candidates[at].free - reserve[at],
            None => candidates[at].free,
        }
    }

    fn fitting(&self, candidate: &Candidate<'_>, at: usize, spec: &JobSpec) -> u64 {
        let kept = self.reserve.map_or(Resources::default(), |r| r[at]);
        candidate.tasks_that_fit(spec, kept)
    }

    /// The machines that a job may use, best first: its placement group, then those that have
    /// its image, then the fullest, so that others empty and can be returned. While changes are
    /// scarce, those that take most of its tasks at once.
    pub(super) fn order(
        &self,
        id: &JobId,
        job: &LiveJob,
        zones: &ZoneConstraint,
        faults: &Faults,
        candidates: &[Candidate<'_>],
    ) -> Vec<usize> {
        let spec = &job.spec;
        let need = spec.need();
        let group: BTreeSet<&MachineId> = job.plan.iter().flat_map(|p| p.machines.iter()).collect();
        let free = |at: usize| self.free(candidates, at);
        let zone = zones.choose(spec, candidates, free);
        let fits = |at: usize, c: &Candidate<'_>| {
            need.fits(free(at))
                && c.record.tasks(spec) > 0
                && (!self.cached_only || c.has_image(spec))
                && c.is_allowed(spec)
                && !faults.failed_on(id, c.id)
                && zone.as_ref().is_none_or(|z| z == c.zone)
        };
        let key = |at: usize, c: &Candidate<'_>| {
            // A few tasks more or less don't outweigh an image that has to be fetched.
            let together = self
                .most
                .map(|n| Reverse(self.fitting(c, at, spec).min(n) / TOGETHER));
            // Replicas gather on few machines, so that the others can empty.
            let company = match spec.kind {
                JobKind::Service => Reverse(c.replicas),
                _ => Reverse(0),
            };
            // Machines with cards are few, and gangs wait for whole ones.
            let wastes_cards = need.gpus == 0 && c.room.gpus > 0;
            (
                wastes_cards,
                together,
                // Whole seconds, so that small differences don't scatter the work.
                c.fetch_seconds(spec).ceil() as u64,
                company,
                // Work that may be lost goes to cheap machines.
                !c.spot,
                !group.contains(c.id),
                c.free.cpus,
            )
        };
        let all: Vec<usize>;
        let among = match self.among {
            Some(among) => among,
            None => {
                all = (0..candidates.len()).collect();
                &all
            }
        };
        let mut order: Vec<(_, usize)> = among
            .iter()
            .map(|at| (*at, &candidates[*at]))
            .filter(|(at, c)| fits(*at, c))
            .map(|(at, c)| (key(at, c), at))
            .collect();
        order.sort();
        order.into_iter().map(|(_, at)| at).collect()
    }
}

/// The machines among which the shard owner of a candidate's shard chooses: the candidate first, then
/// the shard's others in the job's order. Where the job's zones depend on one another, only the
/// leader sees them all, and the candidate stands alone.
pub(super) fn choices(
    candidate: &Candidate<'_>,
    listed: &[usize],
    candidates: &[Candidate<'_>],
    alone: bool,
) -> Vec<MachineId> {
    let others = listed
        .iter()
        .map(|at| &candidates[*at])
        .filter(|c| !alone && c.shard == candidate.shard && c.id != candidate.id)
        .map(|c| c.id.clone());
    std::iter::once(candidate.id.clone())
        .chain(others)
        .take(CHOICES)
        .collect()
}
