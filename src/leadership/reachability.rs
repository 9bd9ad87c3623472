//! Shard owners that hear nothing of machines which others hear. A controller that is cut off from
//! its workers alone keeps its lease and its shards; its machines ask the others, are sent back, and
//! lose all their work when their leases run out. Shards of such an owner are given to others, which
//! only costs a rise of their fencing tokens.
//!
//! Silence alone says nothing of the sort: a zone may be cut off, and then nobody hears it.

use crate::config::Config;
use crate::ids::{MachineId, MemberId, Millis, MonotonicTime, ShardId};
use crate::peers::MachineHealth;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// Of a shard owner's machines, so many must be silent to it: one in this many.
const MIN_SILENT_DIVISOR: usize = 2;
/// And so many of those must be heard elsewhere.
const MIN_HEARD_DIVISOR: usize = 4;
/// One machine alone, heard elsewhere, proves nothing.
const MIN_HEARD: usize = 2;

/// Finds the shard owners that their machines can't reach, and quarantines them for a while.
pub(crate) struct ReachabilityMonitor {
    heartbeat_interval: Millis,
    /// How long a shard owner gets no shards back: what cut it off may last.
    quarantine_period: Millis,
    /// When a machine last sent its heartbeat to a controller that does not own it.
    misdirected: BTreeMap<MachineId, MonotonicTime>,
    /// Until when each owner is quarantined.
    quarantined: BTreeMap<MemberId, MonotonicTime>,
}

/// What a shard owner has reported of its machines.
#[derive(Clone, Copy, Debug, Default)]
struct OwnedMachines {
    all: usize,
    /// Those that don't reach it directly.
    silent: usize,
    /// Those of the silent ones that reach another controller.
    heard_elsewhere: usize,
}

impl OwnedMachines {
    fn is_owner_unreachable(self) -> bool {
        self.silent * MIN_SILENT_DIVISOR > self.all
            && self.heard_elsewhere * MIN_HEARD_DIVISOR > self.silent
            && self.heard_elsewhere >= MIN_HEARD
    }
}

impl ReachabilityMonitor {
    /// A monitor that has heard of no machine yet.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            heartbeat_interval: config.heartbeat_interval,
            quarantine_period: Millis(2 * config.worker_lease.0),
            misdirected: BTreeMap::new(),
            quarantined: BTreeMap::new(),
        }
    }

    /// Notes machines whose heartbeats have reached a controller that does not own them.
    pub(crate) fn on_misdirected_heartbeats(
        &mut self,
        now: MonotonicTime,
        machines: Vec<MachineId>,
    ) {
        self.misdirected
            .extend(machines.into_iter().map(|id| (id, now)));
    }

    /// Owners that get no shards at present.
    pub(crate) fn quarantined(&self) -> BTreeSet<MemberId> {
        self.quarantined.keys().cloned().collect()
    }

    /// Quarantines the owners that are unreachable by what they last reported of their machines.
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
        let controllers = cache.members.len();
        for (member, machines) in self.count_by_owner(shards, health, cache) {
            let others_remain = self.quarantined.len() + 1 < controllers;
            if machines.is_owner_unreachable()
                && others_remain
                && !self.quarantined.contains_key(member)
            {
                self.quarantine(now, member, machines);
            }
        }
    }

    fn count_by_owner<'a, 'b>(
        &self,
        shards: u32,
        health: impl Iterator<Item = &'a MachineHealth>,
        cache: &'b WatchCache,
    ) -> BTreeMap<&'b MemberId, OwnedMachines> {
        let patience = self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000);
        let mut owners: BTreeMap<&MemberId, OwnedMachines> = BTreeMap::new();
        for last in health {
            let shard: ShardId = last.machine.shard(shards);
            let Some(shard_record) = cache.shards.get(&shard) else {
                continue;
            };
            if shard_record.revision != last.fence {
                continue;
            }
            let machines = owners.entry(&shard_record.value.owner).or_default();
            machines.all += 1;
            // An owner may hear of all its machines through others, and still can't command them.
            if last.unresponsive_for.max(last.since_direct_heartbeat) >= patience {
                machines.silent += 1;
                let heard_elsewhere = self.misdirected.contains_key(&last.machine);
                machines.heard_elsewhere += usize::from(heard_elsewhere);
            }
        }
        owners
    }

    fn quarantine(&mut self, now: MonotonicTime, member: &MemberId, machines: OwnedMachines) {
        tracing::info!(
            %member,
            all = machines.all,
            silent = machines.silent,
            heard = machines.heard_elsewhere,
            "shard owner quarantined: heartbeats of its machines reach only others"
        );
        let until = now + self.quarantine_period;
        self.quarantined.insert(member.clone(), until);
    }
}

#[cfg(test)]
mod tests;
