//! Acknowledgement rounds. A round sends one cancellation to the other controllers, and decides from their
//! acknowledgements and the watch cache whether all of the job's tasks are gone.

use crate::ids::{CancellationRoundId, JobId, MemberId, Revision, ShardFence, ShardId};
use std::collections::BTreeMap;

/// The contents of the watch cache that an acknowledgement round needs, in the controller that runs the
/// round.
#[derive(Debug)]
pub(crate) struct CacheView {
    /// The revision of the last event in the cache.
    pub revision: Revision,
    /// The shards with machines whose records list the job, and the fence of each. `None` if the shard has
    /// no owner.
    pub shards_with_job: BTreeMap<ShardId, Option<Revision>>,
}

/// A cancellation that was sent to the other controllers, and the acknowledgements received so far.
#[derive(Debug)]
struct CancellationRound {
    job: JobId,
    /// The revision of the transaction that cancelled the job.
    cancelled_revision: Revision,
    /// For each controller, the shards that it has acknowledged as cleared of the job's tasks, and the
    /// highest acknowledged fence of each shard.
    acknowledged_fences: BTreeMap<MemberId, BTreeMap<ShardId, Revision>>,
}

/// The open acknowledgement rounds of one controller.
#[derive(Debug, Default)]
pub(crate) struct CancellationRounds {
    /// The number of the round that was opened last.
    last_round: u64,
    open: BTreeMap<CancellationRoundId, CancellationRound>,
}

impl CancellationRounds {
    /// Opens a round for a job that was cancelled at `cancelled_revision`.
    pub(crate) fn open(
        &mut self,
        job: &JobId,
        cancelled_revision: Revision,
    ) -> CancellationRoundId {
        self.last_round += 1;
        let id = CancellationRoundId(self.last_round);
        let round = CancellationRound {
            job: job.clone(),
            cancelled_revision,
            acknowledged_fences: BTreeMap::new(),
        };
        self.open.insert(id, round);
        id
    }

    /// Closes a round. Later acknowledgements of it are ignored.
    pub(crate) fn close(&mut self, id: CancellationRoundId) {
        self.open.remove(&id);
    }

    /// Returns the job of an open round, and the revision at which it was cancelled.
    pub(crate) fn pending_cancellation(
        &self,
        id: CancellationRoundId,
    ) -> Option<(&JobId, Revision)> {
        self.open.get(&id).map(|r| (&r.job, r.cancelled_revision))
    }

    /// Records the acknowledgement of the controller `from`, which knows of the cancellation. `cleared` lists
    /// those of its shards, with their fences, in which all of the job's tasks are proved to be gone. The
    /// tasks never start again, so acknowledgements add up. An acknowledgement meant for an earlier process
    /// of this controller may have the same round number and another job; it is ignored.
    pub(crate) fn on_acknowledged(
        &mut self,
        id: CancellationRoundId,
        job: &JobId,
        from: &MemberId,
        cleared: Vec<ShardFence>,
    ) {
        if let Some(round) = self.open.get_mut(&id).filter(|r| r.job == *job) {
            let highest_fences = round.acknowledged_fences.entry(from.clone()).or_default();
            for ShardFence { shard, fence } in cleared {
                let highest = highest_fences.entry(shard).or_default();
                *highest = fence.max(*highest);
            }
        }
    }

    /// Returns whether all of these controllers know of the round's cancellation.
    pub(crate) fn is_acknowledged_by_all<'a>(
        &self,
        id: CancellationRoundId,
        mut members: impl Iterator<Item = &'a MemberId>,
    ) -> bool {
        let round = self.open.get(&id);
        round.is_some_and(|r| members.all(|m| r.acknowledged_fences.contains_key(m)))
    }

    /// Returns whether all tasks of a round's job are proved to be gone; `false` if the round is not open. No
    /// placement of the job is committed after the cancellation, so a watch cache that has reached the
    /// revision of the cancellation shows every shard that can have tasks of the job. An owner of such a
    /// shard under the cached fence, or a later one, knows every placement in the shard.
    pub(crate) fn is_complete(&self, id: CancellationRoundId, view: &CacheView) -> bool {
        let Some(round) = self.open.get(&id) else {
            return false;
        };
        let gone = |shard: &ShardId, fence: &Revision| {
            let mut acknowledged_fences = round.acknowledged_fences.values();
            acknowledged_fences.any(|cleared| cleared.get(shard).is_some_and(|f| f >= fence))
        };
        let mut shards = view.shards_with_job.iter();
        view.revision >= round.cancelled_revision
            && shards.all(|(shard, fence)| fence.as_ref().is_some_and(|f| gone(shard, f)))
    }
}
