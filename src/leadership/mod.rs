//! Who leads, and who owns which shard: decided by compare-and-swap transactions on the key-value
//! store, with records that are removed when their writer's lease ends.

mod lease;
mod reachability;
mod shard_assignment;

pub(crate) use lease::keep_lease;
pub(crate) use reachability::ReachabilityMonitor;

use crate::config::Config;
use crate::ids::{Incarnation, LeaseId, MemberId, Millis, MonotonicTime, Revision, ShardId};
use crate::protocol::store::Txn;
use crate::store::records::{LeaderRecord, ShardRecord};
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;

/// The pause after a transaction that was not executed, or perhaps was.
const RETRY_DELAY: Millis = Millis(300);
/// The pause after a transaction whose conditions did not hold.
const CONFLICT_RETRY_DELAY: Millis = Millis(20);
/// How long to wait for the watch cache to show the last transaction.
const CACHE_WAIT: Millis = Millis(2000);

/// This controller's part in electing a leader and, where it leads, in assigning the shards.
pub(crate) struct Leadership {
    member: MemberId,
    incarnation: Incarnation,
    /// How many shards there are.
    shards: u32,
    /// The most changes that a transaction may have.
    txn_ops: usize,
    lease: Option<LeaseId>,
    /// Whether a transaction has no outcome yet.
    in_flight: bool,
    /// No transaction before this time,
    retry_at: MonotonicTime,
    /// nor before the watch cache shows this revision.
    retry_revision: Revision,
    /// The leader's record that was ours under a lease which has ended since.
    ended_term: Revision,
    /// Who is given no shards, while there is somebody else.
    quarantined: BTreeSet<MemberId>,
}

impl Leadership {
    /// Starts without a lease: nothing is written before there is one.
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            member: config.member.clone(),
            incarnation,
            shards: config.shard_count(),
            txn_ops: config.store_limits.txn_ops,
            lease: None,
            in_flight: false,
            retry_at: MonotonicTime::default(),
            retry_revision: Revision(0),
            ended_term: Revision(0),
            quarantined: BTreeSet::new(),
        }
    }

    /// The incarnation of this process.
    #[cfg(test)]
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the lease that this process holds. A term ends with the lease it was claimed under: the
    /// watch cache may still show it when the next lease is there already, and a leader that went
    /// on would judge machines by a state that is long past.
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
        let all = (0..self.shards).all(|shard| {
            let record = cache.shards.get(&ShardId(shard));
            record.is_some_and(|r| r.value.term == term)
        });
        all.then_some(term)
    }

    /// The next transaction that leadership needs, if any.
    pub(crate) fn step(&mut self, now: MonotonicTime, cache: &WatchCache) -> Option<Txn> {
        let lease = self.lease?;
        if self.in_flight || now < self.retry_at {
            return None;
        }
        if cache.revision < self.retry_revision && now < self.retry_at + CACHE_WAIT {
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

    /// Sets who is given no shards, while there is somebody else.
    pub(crate) fn set_quarantined(&mut self, members: BTreeSet<MemberId>) {
        self.quarantined = members;
    }

    /// Takes the outcome of the last transaction of [`Self::step`].
    pub(crate) fn on_txn_outcome(&mut self, now: MonotonicTime, outcome: &TxnOutcome) {
        self.in_flight = false;
        match outcome {
            TxnOutcome::Committed(revision) => {
                self.retry_revision = *revision;
                self.retry_at = now;
            }
            TxnOutcome::Failed(_, revision) => {
                self.retry_revision = *revision;
                self.retry_at = now + CONFLICT_RETRY_DELAY;
            }
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Unknown => {
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

    /// Rewrites shards that are of an earlier term, have lost their owner, or would balance the
    /// load better elsewhere; at most as many as a transaction may change.
    fn assign_shards(&self, term: Revision, cache: &WatchCache) -> Option<Txn> {
        let owners = shard_assignment::required_owners(self.shards, term, cache, &self.quarantined);
        if owners.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        for (shard, member) in owners.into_iter().take(self.txn_ops) {
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

    /// Rewrites a shard's record unchanged, to raise its fencing token. Its owner may, and the
    /// leader.
    pub(crate) fn raise_shard_fence(&self, shard: ShardId, cache: &WatchCache) -> Option<Txn> {
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
