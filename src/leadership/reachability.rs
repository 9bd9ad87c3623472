//! Owners that hear nothing of machines which others hear. A controller that is cut off from its
//! workers alone keeps its lease and its shards; its machines ask the others, are sent back, and
//! lose all their work when their leases run out (Tramite fleet, apart: 0.94 of the replicas in the
//! worst 30 s). Shards of such a shard owner are leased to others, which only costs a token.
//!
//! Silence alone says nothing of the sort: a zone may be cut off, and then nobody hears it.

use crate::config::Config;
use crate::ids::{MachineId, Member, Millis, MonotonicTime, ShardId};
use crate::peers::MachineHealth;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// Of a shard owner's machines, so many must be silent to it: one in this many.
const MIN_SILENT_DIVISOR: usize = 2;
/// And so many of those must be heard elsewhere.
const MIN_HEARD_DIVISOR: usize = 4;

pub(crate) struct ReachabilityMonitor {
    heartbeat_interval: Millis,
    /// How long a shard owner gets no shards back: what cut it off may last.
    quarantine_period: Millis,
    /// When a machine last reported to a controller that does not hold it.
    misdirected: BTreeMap<MachineId, MonotonicTime>,
    quarantined: BTreeMap<Member, MonotonicTime>,
}

impl ReachabilityMonitor {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            heartbeat_interval: config.heartbeat_interval,
            quarantine_period: Millis(2 * config.worker_lease.0),
            misdirected: BTreeMap::new(),
            quarantined: BTreeMap::new(),
        }
    }

    pub(crate) fn on_misdirected_heartbeats(
        &mut self,
        now: MonotonicTime,
        machines: Vec<MachineId>,
    ) {
        self.misdirected
            .extend(machines.into_iter().map(|id| (id, now)));
    }

    /// Owners that get no shards at present.
    pub(crate) fn quarantined(&self) -> BTreeSet<Member> {
        self.quarantined.keys().cloned().collect()
    }

    /// Judges all owners by what they said last of their machines.
    pub(crate) fn evaluate<'a>(
        &mut self,
        now: MonotonicTime,
        shards: u32,
        health: impl Iterator<Item = &'a MachineHealth>,
        cache: &WatchCache,
    ) {
        let fresh = Millis(2 * self.heartbeat_interval.0);
        self.misdirected.retain(|_, at| now.since(*at) < fresh);
        self.quarantined.retain(|_, until| now < *until);
        let patience = self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000);
        let mut owners: BTreeMap<&Member, (usize, usize, usize)> = BTreeMap::new();
        for last in health {
            let shard: ShardId = last.machine.shard(shards);
            let Some(shard_record) = cache.shards.get(&shard) else {
                continue;
            };
            if shard_record.revision != last.fence {
                continue;
            }
            let counts = owners.entry(&shard_record.value.owner).or_default();
            counts.0 += 1;
            // Through others a shard owner may hear them all: its commands get nowhere for all that
            // (Savannah fleet, apart: 0.83 to 0.73 while only silence counted).
            if last.silent.max(last.since_direct_heartbeat) >= patience {
                counts.1 += 1;
                counts.2 += usize::from(self.misdirected.contains_key(&last.machine));
            }
        }
        let others = cache.members.len();
        for (member, (all, silent, heard)) in owners {
            let deaf = silent * MIN_SILENT_DIVISOR > all
                && heard * MIN_HEARD_DIVISOR > silent
                && heard > 1;
            if deaf && self.quarantined.len() + 1 < others && !self.quarantined.contains_key(member)
            {
                tracing::info!(%member, all, silent, heard, "shard owner quarantined: it misses machines whose heartbeats reach others");
                self.quarantined
                    .insert(member.clone(), now + self.quarantine_period);
            }
        }
    }
}

#[cfg(test)]
mod tests;
