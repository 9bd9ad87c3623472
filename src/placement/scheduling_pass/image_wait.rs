//! Replicas that wait for capacity on a machine that has their image.

use super::SchedulingPass;
use super::request::TaskRequest;
use crate::ids::{Millis, Resources, TaskAttempt};
use crate::placement::queue_turns::QueueTurn;
use crate::placement::unmet_demand::UnmetDemand;
use crate::placement::victims::select_victims;
use crate::store::records::PlacedJob;

/// The longest image fetch, in seconds, for which a replica starts at once instead of waiting for a
/// machine that has its image.
const MAX_QUICK_FETCH_S: f64 = 0.8;
/// How long a replica waits for preemption to free capacity on a machine that has its image.
pub(in crate::placement) const IMAGE_WAIT_LIMIT: Millis = Millis(1200);

impl<'a> SchedulingPass<'a, '_> {
    /// Returns whether a service waits for a machine that has its image. This is the case if
    /// fetching the image to the best machine takes more than `MAX_QUICK_FETCH_S`, and tasks of
    /// lower priority can be stopped on a machine that has the image. The service then demands
    /// their preemption and waits up to `IMAGE_WAIT_LIMIT` for their resources.
    pub(super) fn waits_for_image(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        ranked: &[usize],
    ) -> bool {
        let QueueTurn { id, job, .. } = turn;
        let best = ranked
            .first()
            .map(|candidate_index| &self.candidates[*candidate_index]);
        if best.is_none_or(|c| c.fetch_seconds(&job.spec) <= MAX_QUICK_FETCH_S) {
            return false;
        }
        let now = self.input.now;
        if let Some(since) = self.state.awaiting_image.get(id) {
            return now.since(*since) < IMAGE_WAIT_LIMIT;
        }
        let has_victims = self.has_victims_with_image(turn);
        if has_victims {
            self.state.awaiting_image.insert(id.clone(), now);
            self.image_demands.push(UnmetDemand {
                requires_cached_image: true,
                ..UnmetDemand::for_job(id, job, request.indices.len() as u64)
            });
        }
        has_victims
    }

    /// Returns whether tasks of lower priority can be stopped for one of a job's tasks on a machine
    /// that has the job's image.
    fn has_victims_with_image(&self, turn: QueueTurn<'a>) -> bool {
        let spec = &turn.job.spec;
        let cache = self.input.cache;
        let lower_priority = |attempt: &TaskAttempt, _: &PlacedJob| {
            let victim = cache.jobs.get(&attempt.task.job)?.priority();
            (victim < turn.job.priority()).then_some(victim)
        };
        let mut candidates = self.candidates.iter().filter(|c| c.has_image(spec));
        candidates.any(|c| {
            select_victims(c, spec, Resources::default(), 1, cache, lower_priority).is_some()
        })
    }
}
