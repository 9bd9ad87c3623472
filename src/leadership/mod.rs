//! Who leads, and who holds which shard: decided by compare-and-set on the key-value store, with
//! records that go when their writer's lease goes.

mod lease;
mod reachability;

pub(crate) use lease::keep_lease;
pub(crate) use reachability::ReachabilityMonitor;

use crate::config::Config;
use crate::ids::{Incarnation, LeaseId, Member, Millis, MonotonicTime, Revision, ShardId};
use crate::protocol::store::Txn;
use crate::store::records::{LeaderRecord, ShardRecord};
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use std::collections::{BTreeMap, BTreeSet};

const RETRY_DELAY: Millis = Millis(300);

pub(crate) struct Leadership {
    member: Member,
    incarnation: Incarnation,
    shards: u32,
    txn_ops: usize,
    lease: Option<LeaseId>,
    in_flight: bool,
    retry_at: MonotonicTime,
    retry_revision: Revision,
    /// The leader's record that was ours under a lease which has ended since.
    ended_term: Revision,
    /// Who is given no shards, while there is somebody else.
    pub quarantined: BTreeSet<Member>,
}

impl Leadership {
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            member: config.member.clone(),
            incarnation,
            shards: config.shards(),
            txn_ops: config.state.txn_ops,
            lease: None,
            in_flight: false,
            retry_at: MonotonicTime::default(),
            retry_revision: Revision(0),
            ended_term: Revision(0),
            quarantined: BTreeSet::new(),
        }
    }

    #[cfg(test)]
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// A term ends with the lease it was claimed under. After a long stand the watch cache still shows
    /// it when the next lease is there already: a leader that went on then deleted a third of the
    /// fleet, silent only to itself (Tramite fleet, apart).
    pub(crate) fn set_lease(&mut self, lease: Option<LeaseId>, cache: &WatchCache) {
        if self.lease != lease
            && let Some(term) = self.term(cache)
        {
            self.ended_term = term;
        }
        self.lease = lease;
    }

    /// The term, if this process leads as far as the watch cache knows. A leader that has been
    /// replaced without knowing does no harm: its shard writes need the leader's record, and
    /// its allotments fail at the shards' fences.
    pub(crate) fn term(&self, cache: &WatchCache) -> Option<Revision> {
        let leader = cache.leader.as_ref()?;
        let mine =
            leader.value.member == self.member && leader.value.incarnation == self.incarnation;
        (mine && leader.revision > self.ended_term).then_some(leader.revision)
    }

    /// The term, once every shard was rewritten in it: then the watch cache holds every placement
    /// that any earlier term can have committed.
    pub(crate) fn settled_term(&self, cache: &WatchCache) -> Option<Revision> {
        let term = self.term(cache)?;
        let all = (0..self.shards).all(|b| {
            cache
                .shards
                .get(&ShardId(b))
                .is_some_and(|r| r.value.term == term)
        });
        all.then_some(term)
    }

    /// The next transaction that leadership needs, if any.
    pub(crate) fn step(&mut self, now: MonotonicTime, cache: &WatchCache) -> Option<Txn> {
        let lease = self.lease?;
        if self.in_flight || now < self.retry_at {
            return None;
        }
        if cache.revision < self.retry_revision && now < self.retry_at + Millis(2000) {
            return None;
        }
        let txn = match (&cache.leader, self.term(cache)) {
            (None, _) => self.claim(lease),
            (Some(_), Some(term)) => self.assign_shards(term, cache)?,
            (Some(_), None) => return None,
        };
        self.in_flight = true;
        Some(txn)
    }

    pub(crate) fn on_txn(&mut self, now: MonotonicTime, outcome: &TxnOutcome) {
        self.in_flight = false;
        match outcome {
            TxnOutcome::Committed(revision) => {
                self.retry_revision = *revision;
                self.retry_at = now;
            }
            TxnOutcome::Failed(_, revision) => {
                self.retry_revision = *revision;
                self.retry_at = now + Millis(20);
            }
            TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                self.retry_at = now + RETRY_DELAY;
            }
        }
    }

    fn claim(&self, lease: LeaseId) -> Txn {
        let mut txn = Txn::default();
        txn.require(keys::LEADER, Revision(0));
        let record = LeaderRecord {
            member: self.member.clone(),
            incarnation: self.incarnation,
        };
        txn.put(keys::LEADER, &record, Some(lease));
        txn
    }

    /// Rewrites shards that are of an earlier term, have lost their shard owner, or would be better
    /// held elsewhere. Owners that live keep what they hold.
    fn assign_shards(&self, term: Revision, cache: &WatchCache) -> Option<Txn> {
        let rests = |m: &Member| self.quarantined.contains(m) && cache.members.len() > 1;
        let able = cache.members.keys().filter(|m| !rests(m));
        let mut loads: BTreeMap<&Member, usize> = able.map(|m| (m, 0)).collect();
        if loads.is_empty() {
            return None;
        }
        let owner = |b: &ShardId| -> Option<&Member> {
            let record = &cache.shards.get(b)?.value;
            let (member, live) = cache.members.get_key_value(&record.owner)?;
            (live.incarnation == record.incarnation && !rests(member)).then_some(member)
        };
        let all: Vec<ShardId> = (0..self.shards).map(ShardId).collect();
        for member in all.iter().filter_map(owner) {
            *loads.entry(member).or_default() += 1;
        }
        let mut wanted: BTreeMap<ShardId, &Member> = BTreeMap::new();
        // Those without a shard owner first: dealing them out mostly balances the loads, and no shard
        // changes hands for that.
        let (held, orphaned): (Vec<_>, Vec<_>) = all.iter().partition(|b| owner(b).is_some());
        for shard in orphaned.into_iter().chain(held) {
            let current = owner(shard);
            let old_term = cache.shards.get(shard).is_none_or(|r| r.value.term != term);
            let least = loads
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(m, n)| (*m, *n))?;
            match current {
                None => {
                    *loads.entry(least.0).or_default() += 1;
                    wanted.insert(*shard, least.0);
                }
                Some(member) => {
                    let load = loads.get(member).copied().unwrap_or(0);
                    if load >= least.1 + 2 {
                        *loads.entry(member).or_default() -= 1;
                        *loads.entry(least.0).or_default() += 1;
                        wanted.insert(*shard, least.0);
                    } else if old_term {
                        wanted.insert(*shard, member);
                    }
                }
            }
        }
        if wanted.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        for (shard, member) in wanted.into_iter().take(self.txn_ops) {
            let live = cache.members.get(member)?;
            let record = ShardRecord {
                owner: member.clone(),
                incarnation: live.incarnation,
                term,
            };
            let revision = cache.shards.get(&shard).map_or(Revision(0), |r| r.revision);
            txn.require(keys::shard(shard), revision);
            txn.put(keys::shard(shard), &record, Some(live.lease));
        }
        Some(txn)
    }

    /// Rewrites a shard as it stands, to raise its token. Its shard owner may, and its leader.
    pub(crate) fn renew_shard(&self, shard: ShardId, cache: &WatchCache) -> Option<Txn> {
        let record = cache.shards.get(&shard)?;
        let live = cache.members.get(&record.value.owner)?;
        if live.incarnation != record.value.incarnation {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::shard(shard), record.revision);
        txn.put(keys::shard(shard), &record.value, Some(live.lease));
        Some(txn)
    }
}

#[cfg(test)]
mod tests;
