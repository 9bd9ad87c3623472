//! Acknowledgement rounds: each asks the other controllers about one cancellation, and decides from
//! their answers and the watch cache whether all of the job's tasks are gone.

use crate::ids::{CancellationRoundId, JobId, MemberId, Revision, ShardFence, ShardId};
use std::collections::BTreeMap;

/// What the watch cache of the asking controller shows.
#[derive(Debug)]
pub(crate) struct CacheView {
    /// The revision that the cache has reached.
    pub revision: Revision,
    /// The shards with machines on whose records the job is placed, and the fence of each, if it
    /// is owned at present.
    pub shards_with_job: BTreeMap<ShardId, Option<Revision>>,
}

/// The cancellation that a round asks about, and who has answered.
#[derive(Debug)]
struct CancellationRound {
    job: JobId,
    /// The change that cancelled it.
    cancelled: Revision,
    /// The shards that each controller has said to be clear of the job, and the highest fence
    /// under which it said so.
    answers: BTreeMap<MemberId, BTreeMap<ShardId, Revision>>,
}

/// The rounds of one controller that are not closed yet.
#[derive(Debug, Default)]
pub(crate) struct CancellationRounds {
    /// The number of the last round.
    last: u64,
    open: BTreeMap<CancellationRoundId, CancellationRound>,
}

impl CancellationRounds {
    /// Opens a round for a job that the change `cancelled` has cancelled.
    pub(crate) fn open(&mut self, job: &JobId, cancelled: Revision) -> CancellationRoundId {
        self.last += 1;
        let id = CancellationRoundId(self.last);
        let round = CancellationRound {
            job: job.clone(),
            cancelled,
            answers: BTreeMap::new(),
        };
        self.open.insert(id, round);
        id
    }

    /// Forgets a round; later answers to it count for nothing.
    pub(crate) fn close(&mut self, id: CancellationRoundId) {
        self.open.remove(&id);
    }

    /// The job, and the change that cancelled it.
    pub(crate) fn pending_cancellation(
        &self,
        id: CancellationRoundId,
    ) -> Option<(&JobId, Revision)> {
        self.open.get(&id).map(|r| (&r.job, r.cancelled))
    }

    /// Takes the answer of `from`, which knows of the cancellation. `cleared` names the shards that
    /// it owns, with their fences, in which all of the job's tasks are proved gone. They never start
    /// again, so a later answer can only add to an earlier one. An answer to an earlier process of
    /// this controller may name another job under the same number, and is ignored.
    pub(crate) fn on_acknowledged(
        &mut self,
        id: CancellationRoundId,
        job: &JobId,
        from: &MemberId,
        cleared: Vec<ShardFence>,
    ) {
        if let Some(round) = self.open.get_mut(&id).filter(|r| r.job == *job) {
            let known = round.answers.entry(from.clone()).or_default();
            for ShardFence { shard, fence } in cleared {
                let highest = known.entry(shard).or_default();
                *highest = fence.max(*highest);
            }
        }
    }

    /// Whether all tasks are gone. After the cancellation nothing more of the job is committed, so
    /// a watch cache that has reached it shows every shard in which any task can be; and whoever
    /// owns such a shard under that record, or a later one, has seen all that was placed there.
    pub(crate) fn is_complete(&self, id: CancellationRoundId, view: &CacheView) -> bool {
        let Some(round) = self.open.get(&id) else {
            return false;
        };
        let gone = |shard: &ShardId, fence: &Revision| {
            let mut answers = round.answers.values();
            answers.any(|cleared| cleared.get(shard).is_some_and(|f| f >= fence))
        };
        let mut shards = view.shards_with_job.iter();
        view.revision >= round.cancelled
            && shards.all(|(shard, fence)| fence.as_ref().is_some_and(|f| gone(shard, f)))
    }
}
