//! Chooses the owner of each shard.

use crate::ids::{MemberId, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// A shard moves from its live owner only to a controller that owns at least this many shards fewer.
const MIN_IMBALANCE: usize = 2;

/// Returns the shards that have to be rewritten in this term, with the owner of each. These are shards that
/// are of an earlier term, have no eligible owner, or move to another owner to balance the load.
pub(super) fn required_owners<'a>(
    shards: u32,
    term: Revision,
    cache: &'a WatchCache,
    quarantined: &'a BTreeSet<MemberId>,
) -> BTreeMap<ShardId, &'a MemberId> {
    let mut balance = ShardBalance::new(cache, quarantined);
    let shard_ids: Vec<ShardId> = (0..shards).map(ShardId).collect();
    balance.count_owned(&shard_ids);
    // Shards without an owner come first: assigning them usually balances the load, so that no owned
    // shard has to move.
    let (owned, orphaned): (Vec<ShardId>, Vec<ShardId>) = shard_ids
        .into_iter()
        .partition(|shard| balance.current_owner(*shard).is_some());
    let mut owners = BTreeMap::new();
    for shard in orphaned.into_iter().chain(owned) {
        if let Some(owner) = balance.choose_owner(shard, term) {
            owners.insert(shard, owner);
        }
    }
    owners
}

/// The number of shards that each eligible controller owns, updated with each assignment.
struct ShardBalance<'a> {
    cache: &'a WatchCache,
    quarantined: &'a BTreeSet<MemberId>,
    shard_counts: BTreeMap<&'a MemberId, usize>,
}

impl<'a> ShardBalance<'a> {
    fn new(cache: &'a WatchCache, quarantined: &'a BTreeSet<MemberId>) -> Self {
        let mut balance = Self {
            cache,
            quarantined,
            shard_counts: BTreeMap::new(),
        };
        let eligible = cache.members.keys().filter(|m| balance.is_eligible(m));
        balance.shard_counts = eligible.map(|m| (m, 0)).collect();
        balance
    }

    /// Returns whether a controller may own shards. A quarantined one may only if it is the only controller.
    fn is_eligible(&self, member: &MemberId) -> bool {
        self.cache.members.len() <= 1 || !self.quarantined.contains(member)
    }

    /// Returns the shard's owner if it is live, eligible and has not restarted since it got the shard.
    fn current_owner(&self, shard: ShardId) -> Option<&'a MemberId> {
        let record = &self.cache.shards.get(&shard)?.value;
        let (member, member_record) = self.cache.members.get_key_value(&record.owner)?;
        let is_same_process = member_record.incarnation == record.incarnation;
        (is_same_process && self.is_eligible(member)).then_some(member)
    }

    fn count_owned(&mut self, shards: &[ShardId]) {
        for shard in shards {
            if let Some(owner) = self.current_owner(*shard) {
                self.add_shard(owner);
            }
        }
    }

    fn add_shard(&mut self, member: &'a MemberId) {
        *self.shard_counts.entry(member).or_default() += 1;
    }

    fn remove_shard(&mut self, member: &'a MemberId) {
        *self.shard_counts.entry(member).or_default() -= 1;
    }

    fn shard_count(&self, member: &MemberId) -> usize {
        self.shard_counts.get(member).copied().unwrap_or(0)
    }

    fn least_loaded(&self) -> Option<&'a MemberId> {
        let counts = self.shard_counts.iter();
        let least = counts.min_by_key(|(_, count)| **count);
        least.map(|(member, _)| *member)
    }

    /// Returns the owner to write into the shard's record, or `None` if the record needs no rewrite.
    fn choose_owner(&mut self, shard: ShardId, term: Revision) -> Option<&'a MemberId> {
        let least_loaded = self.least_loaded()?;
        let Some(owner) = self.current_owner(shard) else {
            self.add_shard(least_loaded);
            return Some(least_loaded);
        };
        if self.shard_count(owner) >= self.shard_count(least_loaded) + MIN_IMBALANCE {
            self.remove_shard(owner);
            self.add_shard(least_loaded);
            return Some(least_loaded);
        }
        let record = self.cache.shards.get(&shard);
        let is_current_term = record.is_some_and(|r| r.value.term == term);
        (!is_current_term).then_some(owner)
    }
}
