//! The log of what the watch cache shows of the cluster: who leads in which term, and who owns which
//! shard under which fence.

use crate::ids::{MemberId, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The leader and the shards' owners that were logged last.
#[derive(Default)]
pub(super) struct MembershipLog {
    leader: Option<Leader>,
    shards: BTreeMap<ShardId, Owner>,
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

fn owners(cache: &WatchCache) -> BTreeMap<ShardId, Owner> {
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
    /// Logs what has changed since the last call. `own`: this controller.
    pub(super) fn update(&mut self, cache: &WatchCache, own: &MemberId) {
        let leader = cache.leader.as_ref().map(|record| Leader {
            member: record.value.member.clone(),
            term: record.revision,
        });
        if leader != self.leader {
            self.log_leader(leader.as_ref(), cache.revision, own);
            self.leader = leader;
        }
        if !self.shows_owners_of(cache) {
            let owners = owners(cache);
            self.log_owners(&owners, cache.revision);
            self.shards = owners;
        }
    }

    /// Whether nothing has changed: so it is after nearly every event of the watch.
    fn shows_owners_of(&self, cache: &WatchCache) -> bool {
        let fences = cache
            .shards
            .iter()
            .map(|(shard, record)| (shard, record.revision));
        fences.eq(self
            .shards
            .iter()
            .map(|(shard, owner)| (shard, owner.fence)))
    }

    fn log_leader(&self, leader: Option<&Leader>, revision: Revision, own: &MemberId) {
        if let Some(last) = &self.leader
            && last.member == *own
        {
            tracing::info!(term = %last.term, %revision, "leadership ended");
        }
        match leader {
            Some(leader) if leader.member == *own => {
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
            if self.shards.get(shard) != Some(owner) {
                tracing::info!(%shard, owner = %owner.member, fence = %owner.fence, %revision, "shard owner changed");
            }
        }
        for shard in self.shards.keys() {
            if !owners.contains_key(shard) {
                tracing::info!(%shard, %revision, "shard has no owner");
            }
        }
    }
}
