//! Finds shard owners that get no heartbeats from machines whose heartbeats reach other controllers. A
//! controller that is cut off only from its workers keeps its lease and its shards. Its machines contact
//! the other controllers, are redirected to the owner, and lose all their tasks when their worker leases
//! expire. So the shards of this owner are assigned to other controllers. This costs little: only the
//! shards' fencing tokens are raised.
//!
//! Missing heartbeats alone do not show this: a whole zone may be cut off, so that its heartbeats reach no
//! controller.

use crate::config::Config;
use crate::ids::{MachineId, MemberId, Millis, MonotonicTime, ShardId};
use crate::peers::MachineHealth;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// An owner counts as unreachable only if more than 1 in 2 of its machines are silent to it.
const SILENT_SHARE_DIVISOR: usize = 2;
/// An owner counts as unreachable only if more than 1 in 4 of its silent machines reach other controllers.
const REACHABLE_ELSEWHERE_SHARE_DIVISOR: usize = 4;
/// At least 2 silent machines must reach other controllers: a single machine may have a fault of its own.
const MIN_REACHABLE_ELSEWHERE: usize = 2;

/// Finds the shard owners that their machines can't reach, and quarantines them for a limited time.
pub(crate) struct ReachabilityMonitor {
    heartbeat_interval: Millis,
    /// How long an unreachable owner gets no shards.
    quarantine_period: Millis,
    /// When each machine last sent a heartbeat to a controller that does not own it.
    misdirected_at: BTreeMap<MachineId, MonotonicTime>,
    /// The end of each owner's quarantine.
    quarantined_until: BTreeMap<MemberId, MonotonicTime>,
}

/// Counts of a shard owner's machines, by its own health reports.
#[derive(Clone, Copy, Debug, Default)]
struct OwnedMachineCounts {
    total: usize,
    /// Machines that are unresponsive, or from which the owner gets no direct heartbeats.
    silent: usize,
    /// Silent machines whose heartbeats reach another controller.
    reachable_elsewhere: usize,
}

impl OwnedMachineCounts {
    fn is_owner_unreachable(self) -> bool {
        self.silent * SILENT_SHARE_DIVISOR > self.total
            && self.reachable_elsewhere * REACHABLE_ELSEWHERE_SHARE_DIVISOR > self.silent
            && self.reachable_elsewhere >= MIN_REACHABLE_ELSEWHERE
    }
}

impl ReachabilityMonitor {
    /// Creates a monitor without any observations.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            heartbeat_interval: config.heartbeat_interval,
            quarantine_period: Millis(2 * config.worker_lease.0),
            misdirected_at: BTreeMap::new(),
            quarantined_until: BTreeMap::new(),
        }
    }

    /// Records machines whose heartbeats have reached a controller that does not own them.
    pub(crate) fn on_misdirected_heartbeats(
        &mut self,
        now: MonotonicTime,
        machines: Vec<MachineId>,
    ) {
        self.misdirected_at
            .extend(machines.into_iter().map(|id| (id, now)));
    }

    /// Returns the owners that get no shards at present.
    pub(crate) fn quarantined(&self) -> BTreeSet<MemberId> {
        self.quarantined_until.keys().cloned().collect()
    }

    /// Quarantines the owners that are unreachable by their latest health reports and by the heartbeats that
    /// reached other controllers. At least one controller always stays out of quarantine.
    pub(crate) fn evaluate<'a>(
        &mut self,
        now: MonotonicTime,
        shards: u32,
        health: impl Iterator<Item = &'a MachineHealth>,
        cache: &WatchCache,
    ) {
        let max_age = Millis(2 * self.heartbeat_interval.0);
        self.misdirected_at.retain(|_, at| now.since(*at) < max_age);
        self.quarantined_until.retain(|_, until| now < *until);
        let controllers = cache.members.len();
        for (member, machines) in self.count_by_owner(shards, health, cache) {
            let others_remain = self.quarantined_until.len() + 1 < controllers;
            if machines.is_owner_unreachable()
                && others_remain
                && !self.quarantined_until.contains_key(member)
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
    ) -> BTreeMap<&'b MemberId, OwnedMachineCounts> {
        let silence_timeout =
            self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000);
        let mut owners: BTreeMap<&MemberId, OwnedMachineCounts> = BTreeMap::new();
        for report in health {
            let shard: ShardId = report.machine.shard(shards);
            let Some(shard_record) = cache.shards.get(&shard) else {
                continue;
            };
            if shard_record.revision != report.fence {
                continue;
            }
            let machines = owners.entry(&shard_record.value.owner).or_default();
            machines.total += 1;
            // Relayed heartbeats don't count: an owner that gets only these can't send commands.
            if report.unresponsive_for.max(report.since_direct_heartbeat) >= silence_timeout {
                machines.silent += 1;
                let reachable_elsewhere = self.misdirected_at.contains_key(&report.machine);
                machines.reachable_elsewhere += usize::from(reachable_elsewhere);
            }
        }
        owners
    }

    fn quarantine(&mut self, now: MonotonicTime, member: &MemberId, machines: OwnedMachineCounts) {
        tracing::info!(
            %member,
            all = machines.total,
            silent = machines.silent,
            heard = machines.reachable_elsewhere,
            "shard owner quarantined: heartbeats of its machines reach only other controllers"
        );
        let until = now + self.quarantine_period;
        self.quarantined_until.insert(member.clone(), until);
    }
}

#[cfg(test)]
mod tests;
