//! Replicas that wait for a place where their image is.

use super::SchedulingPass;
use super::request::TaskRequest;
use crate::ids::{Millis, Resources, TaskAttempt};
use crate::placement::queue_turns::QueueTurn;
use crate::placement::unmet_demand::UnmetDemand;
use crate::placement::victims::select_victims;
use crate::store::records::PlacedJob;

/// A replica starts at once where fetching its image takes no longer than this.
const MAX_QUICK_FETCH_S: f64 = 0.8;
/// How long a replica waits for the place that is being made where its image is.
pub(in crate::placement) const IMAGE_WAIT_LIMIT: Millis = Millis(1200);

impl<'a> SchedulingPass<'a, '_> {
    /// Whether a service waits: a replica that would have to fetch its image rather takes the place
    /// of lower work where the image is, and waits a moment for that.
    pub(super) fn waits_for_image(
        &mut self,
        turn: QueueTurn<'a>,
        request: &TaskRequest,
        ranked: &[usize],
    ) -> bool {
        let QueueTurn { id, job, .. } = turn;
        let best = ranked.first().map(|at| &self.candidates[*at]);
        if best.is_none_or(|c| c.fetch_seconds(&job.spec) <= MAX_QUICK_FETCH_S) {
            return false;
        }
        let now = self.input.now;
        if let Some(since) = self.state.awaiting_image.get(id) {
            return now.since(*since) < IMAGE_WAIT_LIMIT;
        }
        let can_be_made = self.has_victims_with_image(turn);
        if can_be_made {
            self.state.awaiting_image.insert(id.clone(), now);
            self.image_demands.push(UnmetDemand {
                requires_cached_image: true,
                ..UnmetDemand::for_job(id, job, request.indices.len() as u64)
            });
        }
        can_be_made
    }

    /// Whether lower work can be stopped for one of a job's tasks on a machine that has its image.
    fn has_victims_with_image(&self, turn: QueueTurn<'a>) -> bool {
        let spec = &turn.job.spec;
        let cache = self.input.cache;
        let lower = |attempt: &TaskAttempt, _: &PlacedJob| {
            let victim = cache.jobs.get(&attempt.task.job)?.priority();
            (victim < turn.job.priority()).then_some(victim)
        };
        let mut candidates = self.candidates.iter().filter(|c| c.has_image(spec));
        candidates.any(|c| select_victims(c, spec, Resources::default(), 1, cache, lower).is_some())
    }
}
