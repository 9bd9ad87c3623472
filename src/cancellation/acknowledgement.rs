//! The decision: rounds of telling the others, and what their answers amount to.

use crate::ids::{JobId, Member, Revision, ShardId};
use crate::peers::ShardFence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names a round among those of one controller's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RoundId(pub u64);

/// What the watch cache of the controller that asks shows.
#[derive(Debug)]
pub(crate) struct CacheView {
    pub revision: Revision,
    /// The shards with machines on whose records the job stands, and the fence of each, if it is
    /// held at present.
    pub machines_with_job: BTreeMap<ShardId, Option<Revision>>,
}

/// The telling of one cancellation, and who has answered.
#[derive(Debug)]
struct CancellationRound {
    job: JobId,
    /// The change that cancelled it.
    cancelled: Revision,
    answers: BTreeMap<Member, BTreeMap<ShardId, Revision>>,
}

#[derive(Debug, Default)]
pub(crate) struct CancellationRounds {
    next: u64,
    open: BTreeMap<RoundId, CancellationRound>,
}

impl CancellationRounds {
    pub(crate) fn open(&mut self, job: &JobId, cancelled: Revision) -> RoundId {
        self.next += 1;
        let id = RoundId(self.next);
        let round = CancellationRound {
            job: job.clone(),
            cancelled,
            answers: BTreeMap::new(),
        };
        self.open.insert(id, round);
        id
    }

    pub(crate) fn close(&mut self, id: RoundId) {
        self.open.remove(&id);
    }

    /// The job, and the change that cancelled it.
    pub(crate) fn pending_cancellation(&self, id: RoundId) -> Option<(&JobId, Revision)> {
        self.open.get(&id).map(|r| (&r.job, r.cancelled))
    }

    /// `from` knows of the cancellation. It names the shards that it holds, with their fences, in
    /// which all of the job's tasks are proved gone: they never start again, so an answer can only
    /// gain by a later one. One to an earlier life of this process may name another job under the
    /// same number.
    pub(crate) fn on_acknowledged(
        &mut self,
        id: RoundId,
        job: &JobId,
        from: &Member,
        settled: Vec<ShardFence>,
    ) {
        if let Some(round) = self.open.get_mut(&id).filter(|r| r.job == *job) {
            let known = round.answers.entry(from.clone()).or_default();
            for ShardFence { shard, fence } in settled {
                let highest = known.entry(shard).or_default();
                *highest = fence.max(*highest);
            }
        }
    }

    /// Whether all tasks are gone. After the cancellation nothing more of the job is committed, so
    /// a watch cache that has come so far shows every shard in which any of it can be; and whoever
    /// holds such a shard under that record, or a later one, has seen all that was placed there.
    pub(crate) fn is_settled(&self, id: RoundId, view: &CacheView) -> bool {
        let Some(round) = self.open.get(&id) else {
            return false;
        };
        let gone = |shard: &ShardId, fence: &Revision| {
            let mut answers = round.answers.values();
            answers.any(|named| named.get(shard).is_some_and(|f| f >= fence))
        };
        let mut machines_with_job = view.machines_with_job.iter();
        view.revision >= round.cancelled
            && machines_with_job
                .all(|(shard, fence)| fence.as_ref().is_some_and(|f| gone(shard, f)))
    }
}
