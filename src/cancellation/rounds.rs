//! The decision: rounds of telling the others, and what their answers amount to.

use crate::ids::{BlockId, JobId, Member, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Names a round among those of one controller's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoundId(pub u64);

/// What the mirror of the controller that asks shows.
#[derive(Debug)]
pub struct View {
    pub revision: Revision,
    pub leader: Option<Member>,
    /// The blocks with machines on whose records the job stands, and the fence of each, if it is
    /// held at present.
    pub carriers: BTreeMap<BlockId, Option<Revision>>,
}

/// The telling of one cancellation, and who has answered.
#[derive(Debug)]
struct Round {
    job: JobId,
    /// The change that cancelled it.
    cancelled: Revision,
    answers: BTreeMap<Member, BTreeMap<BlockId, Revision>>,
}

#[derive(Debug, Default)]
pub struct Rounds {
    next: u64,
    open: BTreeMap<RoundId, Round>,
}

impl Rounds {
    pub fn open(&mut self, job: &JobId, cancelled: Revision) -> RoundId {
        self.next += 1;
        let id = RoundId(self.next);
        let round = Round {
            job: job.clone(),
            cancelled,
            answers: BTreeMap::new(),
        };
        self.open.insert(id, round);
        id
    }

    pub fn close(&mut self, id: RoundId) {
        self.open.remove(&id);
    }

    pub fn job(&self, id: RoundId) -> Option<&JobId> {
        self.open.get(&id).map(|r| &r.job)
    }

    /// `from` knows of the cancellation. It names the blocks that it holds, with their fences, in
    /// which nobody who held them before can keep a task of the job alive or start one. An answer
    /// can only gain by a later one of the same controller. One to an earlier life of this
    /// process may name another job under the same number.
    pub fn on_known(
        &mut self,
        id: RoundId,
        job: &JobId,
        from: &Member,
        settled: Vec<(BlockId, Revision)>,
    ) {
        if let Some(round) = self.open.get_mut(&id).filter(|r| r.job == *job) {
            let known = round.answers.entry(from.clone()).or_default();
            for (block, fence) in settled {
                let highest = known.entry(block).or_default();
                *highest = fence.max(*highest);
            }
        }
    }

    /// Whether nobody is left who could keep the job alive without knowing. Either every
    /// controller knows: then whoever holds a machine, now or still, does. Or the mirror shows all
    /// that was placed before the cancellation, the leader knows, and of each block in which the
    /// job stands its holder knows and has raised the machines above every earlier holder.
    pub fn is_known(&self, id: RoundId, all: &BTreeSet<Member>, view: &View) -> bool {
        let Some(round) = self.open.get(&id) else {
            return false;
        };
        if all.iter().all(|m| round.answers.contains_key(m)) {
            return true;
        }
        if view.revision < round.cancelled {
            return false;
        }
        if view.carriers.is_empty() {
            return true;
        }
        let leader = view.leader.as_ref();
        let settled = |block: &BlockId, fence: &Revision| {
            let mut answers = round.answers.values();
            answers.any(|named| named.get(block).is_some_and(|f| f >= fence))
        };
        leader.is_some_and(|l| round.answers.contains_key(l))
            && view
                .carriers
                .iter()
                .all(|(block, fence)| fence.as_ref().is_some_and(|f| settled(block, f)))
    }
}
