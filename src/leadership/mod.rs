//! Who leads, and who holds which block: decided by compare-and-set on the state service, with
//! records that go when their writer's grant goes.

mod grants;
mod hearing;

pub use grants::keep_grant;
pub use hearing::Hearing;

use crate::config::Config;
use crate::ids::{BlockId, GrantId, Incarnation, Member, Revision, Span, Time};
use crate::store::records::{BlockRecord, LeaderRecord};
use crate::store::replica::Replica;
use crate::store::{TxnOutcome, keys};
use crate::wire::state::Txn;
use std::collections::{BTreeMap, BTreeSet};

const RETRY: Span = Span(300);

pub struct Leadership {
    me: Member,
    incarnation: Incarnation,
    blocks: u32,
    txn_ops: usize,
    grant: Option<GrantId>,
    in_flight: bool,
    retry_at: Time,
    retry_revision: Revision,
    /// The leader's record that was ours under a grant which has ended since.
    lost: Revision,
    /// Who is given no blocks, while there is somebody else.
    pub resting: BTreeSet<Member>,
}

impl Leadership {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            me: config.member.clone(),
            incarnation,
            blocks: config.blocks(),
            txn_ops: config.state.txn_ops,
            grant: None,
            in_flight: false,
            retry_at: Time::default(),
            retry_revision: Revision(0),
            lost: Revision(0),
            resting: BTreeSet::new(),
        }
    }

    #[cfg(test)]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// A term ends with the grant it was claimed under. After a long stand the mirror still shows
    /// it when the next grant is there already: a leader that went on then deleted a third of the
    /// fleet, silent only to itself (Tramite fleet, apart).
    pub fn set_grant(&mut self, grant: Option<GrantId>, replica: &Replica) {
        if self.grant != grant
            && let Some(term) = self.term(replica)
        {
            self.lost = term;
        }
        self.grant = grant;
    }

    /// The term, if this process leads as far as the mirror knows. A leader that has been
    /// replaced without knowing does no harm: its block writes need the leader's record, and
    /// its allotments fail at the blocks' fences.
    pub fn term(&self, replica: &Replica) -> Option<Revision> {
        let leader = replica.leader.as_ref()?;
        let mine = leader.value.member == self.me && leader.value.incarnation == self.incarnation;
        (mine && leader.revision > self.lost).then_some(leader.revision)
    }

    /// The term, once every block was rewritten in it: then the mirror holds every placement
    /// that any earlier term can have committed.
    pub fn settled_term(&self, replica: &Replica) -> Option<Revision> {
        let term = self.term(replica)?;
        let all = (0..self.blocks).all(|b| {
            replica
                .blocks
                .get(&BlockId(b))
                .is_some_and(|r| r.value.term == term)
        });
        all.then_some(term)
    }

    /// The next transaction that leadership needs, if any.
    pub fn drive(&mut self, now: Time, replica: &Replica) -> Option<Txn> {
        let grant = self.grant?;
        if self.in_flight || now < self.retry_at {
            return None;
        }
        if replica.revision < self.retry_revision && now < self.retry_at + Span(2000) {
            return None;
        }
        let txn = match (&replica.leader, self.term(replica)) {
            (None, _) => self.claim(grant),
            (Some(_), Some(term)) => self.lease_blocks(term, replica)?,
            (Some(_), None) => return None,
        };
        self.in_flight = true;
        Some(txn)
    }

    pub fn on_txn(&mut self, now: Time, outcome: &TxnOutcome) {
        self.in_flight = false;
        match outcome {
            TxnOutcome::Committed(revision) => {
                self.retry_revision = *revision;
                self.retry_at = now;
            }
            TxnOutcome::Failed(_, revision) => {
                self.retry_revision = *revision;
                self.retry_at = now + Span(20);
            }
            TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                self.retry_at = now + RETRY;
            }
        }
    }

    fn claim(&self, grant: GrantId) -> Txn {
        let mut txn = Txn::default();
        txn.require(keys::LEADER, Revision(0));
        let record = LeaderRecord {
            member: self.me.clone(),
            incarnation: self.incarnation,
        };
        txn.put(keys::LEADER, &record, Some(grant));
        txn
    }

    /// Rewrites blocks that are of an earlier term, have lost their holder, or would be better
    /// held elsewhere. Holders that live keep what they hold.
    fn lease_blocks(&self, term: Revision, replica: &Replica) -> Option<Txn> {
        let rests = |m: &Member| self.resting.contains(m) && replica.members.len() > 1;
        let able = replica.members.keys().filter(|m| !rests(m));
        let mut loads: BTreeMap<&Member, usize> = able.map(|m| (m, 0)).collect();
        if loads.is_empty() {
            return None;
        }
        let holder = |b: &BlockId| -> Option<&Member> {
            let record = &replica.blocks.get(b)?.value;
            let (member, live) = replica.members.get_key_value(&record.holder)?;
            (live.incarnation == record.incarnation && !rests(member)).then_some(member)
        };
        let all: Vec<BlockId> = (0..self.blocks).map(BlockId).collect();
        for member in all.iter().filter_map(holder) {
            *loads.entry(member).or_default() += 1;
        }
        let mut wanted: BTreeMap<BlockId, &Member> = BTreeMap::new();
        // Those without a holder first: dealing them out mostly balances the loads, and no block
        // changes hands for that.
        let (held, orphaned): (Vec<_>, Vec<_>) = all.iter().partition(|b| holder(b).is_some());
        for block in orphaned.into_iter().chain(held) {
            let current = holder(block);
            let old_term = replica
                .blocks
                .get(block)
                .is_none_or(|r| r.value.term != term);
            let least = loads
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(m, n)| (*m, *n))?;
            match current {
                None => {
                    *loads.entry(least.0).or_default() += 1;
                    wanted.insert(*block, least.0);
                }
                Some(member) => {
                    let load = loads.get(member).copied().unwrap_or(0);
                    if load >= least.1 + 2 {
                        *loads.entry(member).or_default() -= 1;
                        *loads.entry(least.0).or_default() += 1;
                        wanted.insert(*block, least.0);
                    } else if old_term {
                        wanted.insert(*block, member);
                    }
                }
            }
        }
        if wanted.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        for (block, member) in wanted.into_iter().take(self.txn_ops) {
            let live = replica.members.get(member)?;
            let record = BlockRecord {
                holder: member.clone(),
                incarnation: live.incarnation,
                term,
            };
            let revision = replica
                .blocks
                .get(&block)
                .map_or(Revision(0), |r| r.revision);
            txn.require(keys::block(block), revision);
            txn.put(keys::block(block), &record, Some(live.grant));
        }
        Some(txn)
    }

    /// Rewrites a block as it stands, to raise its token. Its holder may, and its leader.
    pub fn renew_block(&self, block: BlockId, replica: &Replica) -> Option<Txn> {
        let record = replica.blocks.get(&block)?;
        let live = replica.members.get(&record.value.holder)?;
        if live.incarnation != record.value.incarnation {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::block(block), record.revision);
        txn.put(keys::block(block), &record.value, Some(live.grant));
        Some(txn)
    }
}

#[cfg(test)]
mod tests;
