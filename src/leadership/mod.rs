//! Leader election and shard assignment, by compare-and-swap transactions on the key-value store. Records
//! are written under a lease, and are removed when it expires.

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

/// The pause after a transaction that was refused or whose outcome is unknown.
const RETRY_DELAY: Millis = Millis(300);
/// The pause after a transaction whose conditions did not hold.
const CONFLICT_RETRY_DELAY: Millis = Millis(20);
/// How long to wait for the watch cache to show the last transaction before the next one is sent anyway.
const CACHE_WAIT_TIMEOUT: Millis = Millis(2000);

/// This controller's part in the leader election and, while it is the leader, in shard assignment.
pub(crate) struct Leadership {
    member: MemberId,
    incarnation: Incarnation,
    /// The number of shards in the cluster.
    shard_count: u32,
    /// The largest number of changes in a transaction.
    max_txn_ops: usize,
    lease: Option<LeaseId>,
    /// Whether a transaction is in flight.
    in_flight: bool,
    /// The earliest time of the next transaction.
    retry_at: MonotonicTime,
    /// The revision that the watch cache must show before the next transaction, for at most
    /// [`CACHE_WAIT_TIMEOUT`] after `retry_at`.
    retry_revision: Revision,
    /// The latest term in which this process was the leader and that ended because the process lost its
    /// lease. The watch cache may still show the term; it is then ignored.
    ended_term: Revision,
    /// Controllers that are assigned no shards while there are others.
    quarantined: BTreeSet<MemberId>,
}

impl Leadership {
    /// Creates the state without a lease. No transaction is sent before there is one.
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            member: config.member.clone(),
            incarnation,
            shard_count: config.shard_count(),
            max_txn_ops: config.store_limits.txn_ops,
            lease: None,
            in_flight: false,
            retry_at: MonotonicTime::default(),
            retry_revision: Revision(0),
            ended_term: Revision(0),
            quarantined: BTreeSet::new(),
        }
    }

    /// Returns the incarnation of this process.
    #[cfg(test)]
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the lease that this process holds. A term ends with the lease under which it was claimed. The
    /// watch cache may still show the term when the next lease has begun; a leader that continued then would
    /// judge machines by outdated state.
    pub(crate) fn set_lease(&mut self, lease: Option<LeaseId>, cache: &WatchCache) {
        if self.lease != lease
            && let Some(term) = self.term(cache)
        {
            self.ended_term = term;
        }
        self.lease = lease;
    }

    /// Returns the term if this process is the leader according to the watch cache and has not lost the lease
    /// of that term. A leader that was replaced without knowing does no harm: its shard writes have a
    /// condition on the leader's record, and shard owners reject its allotments because of their outdated
    /// fences.
    pub(crate) fn term(&self, cache: &WatchCache) -> Option<Revision> {
        let leader = cache.leader.as_ref()?;
        let is_current_process =
            leader.value.member == self.member && leader.value.incarnation == self.incarnation;
        (is_current_process && leader.revision > self.ended_term).then_some(leader.revision)
    }

    /// Returns the term if this process is the leader and every shard record has been rewritten in the term.
    /// The watch cache then contains every placement that was committed in earlier terms.
    pub(crate) fn established_term(&self, cache: &WatchCache) -> Option<Revision> {
        let term = self.term(cache)?;
        let all_rewritten = (0..self.shard_count).all(|shard| {
            let record = cache.shards.get(&ShardId(shard));
            record.is_some_and(|r| r.value.term == term)
        });
        all_rewritten.then_some(term)
    }

    /// Returns the next transaction for the election or the shard assignment, if any.
    pub(crate) fn step(&mut self, now: MonotonicTime, cache: &WatchCache) -> Option<Txn> {
        let lease = self.lease?;
        if self.in_flight || now < self.retry_at {
            return None;
        }
        if cache.revision < self.retry_revision && now < self.retry_at + CACHE_WAIT_TIMEOUT {
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

    /// Sets the controllers that are assigned no shards while there are others.
    pub(crate) fn set_quarantined(&mut self, members: BTreeSet<MemberId>) {
        self.quarantined = members;
    }

    /// Handles the outcome of the last transaction of [`Self::step`].
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

    /// Returns the transaction that rewrites shards which are of an earlier term, have no eligible owner, or
    /// move to another owner to balance the load. At most `max_txn_ops` shards are rewritten; the others
    /// follow in later transactions. Returns `None` if no shard has to be rewritten.
    fn assign_shards(&self, term: Revision, cache: &WatchCache) -> Option<Txn> {
        let owners =
            shard_assignment::required_owners(self.shard_count, term, cache, &self.quarantined);
        if owners.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        for (shard, member) in owners.into_iter().take(self.max_txn_ops) {
            let owner_record = cache.members.get(member)?;
            let record = ShardRecord {
                owner: member.clone(),
                incarnation: owner_record.incarnation,
                term,
            };
            let revision = cache.shards.get(&shard).map_or(Revision(0), |r| r.revision);
            txn.require(keys::shard(shard), revision);
            txn.put(keys::shard(shard), &record, Some(owner_record.lease));
        }
        Some(txn)
    }

    /// Returns the transaction that rewrites a shard's record unchanged, which raises its fencing token. Both
    /// the shard's owner and the leader may do so. Returns `None` if the shard has no owner or its owner's
    /// process has restarted.
    pub(crate) fn raise_shard_fence(&self, shard: ShardId, cache: &WatchCache) -> Option<Txn> {
        let record = cache.shards.get(&shard)?;
        let owner_record = cache.members.get(&record.value.owner)?;
        if owner_record.incarnation != record.value.incarnation {
            return None;
        }
        let mut txn = Txn::default();
        txn.require(keys::shard(shard), record.revision);
        txn.put(keys::shard(shard), &record.value, Some(owner_record.lease));
        Some(txn)
    }
}

#[cfg(test)]
mod tests;
