//! Logs changes of leadership and shard ownership that appear in the watch cache: the leader and
//! its term, and the owner of each shard and its fence.

use crate::ids::{MemberId, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The leader and the shard owners that were logged last.
#[derive(Default)]
pub(super) struct MembershipLog {
    leader: Option<Leader>,
    owners: BTreeMap<ShardId, Owner>,
}

#[derive(Clone, PartialEq)]
struct Leader {
    member: MemberId,
    term: Revision,
}

#[derive(Clone, PartialEq)]
struct Owner {
    member: MemberId,
    fence: Revision,
}

fn shard_owners(cache: &WatchCache) -> BTreeMap<ShardId, Owner> {
    let shards = cache.shards.iter();
    shards
        .map(|(shard, record)| {
            let owner = Owner {
                member: record.value.owner.clone(),
                fence: record.revision,
            };
            (*shard, owner)
        })
        .collect()
}

impl MembershipLog {
    /// Logs the changes since the last call. `local_member` is this controller.
    pub(super) fn update(&mut self, cache: &WatchCache, local_member: &MemberId) {
        let leader = cache.leader.as_ref().map(|record| Leader {
            member: record.value.member.clone(),
            term: record.revision,
        });
        if leader != self.leader {
            self.log_leader(leader.as_ref(), cache.revision, local_member);
            self.leader = leader;
        }
        if !self.has_same_shard_owners(cache) {
            let owners = shard_owners(cache);
            self.log_owners(&owners, cache.revision);
            self.owners = owners;
        }
    }

    /// Returns whether no shard's owner or fence has changed, which is the case after nearly every
    /// watch event.
    fn has_same_shard_owners(&self, cache: &WatchCache) -> bool {
        let fences = cache
            .shards
            .iter()
            .map(|(shard, record)| (shard, record.revision));
        fences.eq(self
            .owners
            .iter()
            .map(|(shard, owner)| (shard, owner.fence)))
    }

    fn log_leader(&self, leader: Option<&Leader>, revision: Revision, local_member: &MemberId) {
        if let Some(last) = &self.leader
            && last.member == *local_member
        {
            tracing::info!(term = %last.term, %revision, "leadership ended");
        }
        match leader {
            Some(leader) if leader.member == *local_member => {
                tracing::info!(term = %leader.term, %revision, "elected leader");
            }
            Some(leader) => {
                tracing::info!(leader = %leader.member, term = %leader.term, %revision, "leader changed");
            }
            None => tracing::info!(%revision, "no leader"),
        }
    }

    fn log_owners(&self, owners: &BTreeMap<ShardId, Owner>, revision: Revision) {
        for (shard, owner) in owners {
            // Also logged if only the fence differs: a new leader rewrites all shard records, and a
            // fence can be raised.
            if self.owners.get(shard) != Some(owner) {
                tracing::info!(%shard, owner = %owner.member, fence = %owner.fence, %revision, "shard owner changed");
            }
        }
        for shard in self.owners.keys() {
            if !owners.contains_key(shard) {
                tracing::info!(%shard, %revision, "shard has no owner");
            }
        }
    }
}
