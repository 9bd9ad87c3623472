//! Detection of machines to decommission: those that failed, never booted, or are unresponsive.

use super::Autoscaler;
use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::placement::Scheduler;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// The maximum age of a shard owner's health report that counts as evidence that a machine is silent.
const HEALTH_REPORT_EXPIRY: Millis = Millis(3000);
/// A heartbeat counts as missed after 1.25 heartbeat intervals plus this margin.
const MISSED_HEARTBEAT_MARGIN_MS: u64 = 500;
/// The unresponsive timeout is at least 1.25 heartbeat intervals plus this margin.
const SILENCE_MARGIN_MS: u64 = 2500;
/// After this multiple of the unresponsive timeout, a machine is decommissioned even if its shard owner is
/// suspect. The machine may really have failed, and its tasks would otherwise wait forever.
const SUSPECT_OWNER_TIMEOUT_FACTOR: u64 = 4;

impl Autoscaler {
    /// Returns the time after which an unresponsive machine is decommissioned.
    pub(crate) fn unresponsive_timeout(&self, cache: &WatchCache) -> Millis {
        Millis::from_secs(cache.settings().silent_s)
            .max(self.interval_with_margin(SILENCE_MARGIN_MS))
    }

    /// Returns 1.25 heartbeat intervals plus a margin.
    fn interval_with_margin(&self, margin_ms: u64) -> Millis {
        let interval = self.config.heartbeat_interval;
        interval + Millis(interval.0 / 4 + margin_ms)
    }

    /// Returns the machines that failed, never booted or are unresponsive. Their confirmed deletion also
    /// proves that their tasks no longer run.
    pub(super) fn machines_to_decommission(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        let mut machines: Vec<MachineId> = self.failed_machines.iter().cloned().collect();
        machines.extend(self.boots.failed_machines(now, cache));
        machines.extend(self.silent_machines(now, cache, scheduler));
        machines
    }

    /// Returns the machines that recent health reports show to be unresponsive for at least the timeout.
    /// Machines of a suspect shard owner have a longer timeout, because the owner itself may be failing to
    /// receive heartbeats.
    fn silent_machines(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        let timeout = self.unresponsive_timeout(cache);
        let by_owner = self.heartbeats_by_owner(now, cache, scheduler);
        let all = by_owner
            .values()
            .fold(HeartbeatCounts::default(), |all, owner| all + owner.counts);
        let mut machines = Vec::new();
        for owner in by_owner.into_values() {
            let is_suspect = owner.is_owner_suspect(all - owner.counts);
            let unresponsive = owner.silent_machines.into_iter().filter(|id| {
                let unresponsive_for = scheduler.health[*id].report.unresponsive_for;
                !is_suspect || unresponsive_for >= Millis(SUSPECT_OWNER_TIMEOUT_FACTOR * timeout.0)
            });
            machines.extend(unresponsive.cloned());
        }
        machines
    }

    /// Returns for each shard owner how many machines it reports, how many of these missed a heartbeat, and
    /// which are silent. Machines that it no longer owns are left out.
    fn heartbeats_by_owner<'a>(
        &self,
        now: MonotonicTime,
        cache: &'a WatchCache,
        scheduler: &'a Scheduler,
    ) -> BTreeMap<&'a str, OwnerHeartbeats<'a>> {
        let timeout = self.unresponsive_timeout(cache);
        let missed_after = self.interval_with_margin(MISSED_HEARTBEAT_MARGIN_MS);
        let mut by_owner: BTreeMap<&str, OwnerHeartbeats<'_>> = BTreeMap::new();
        for (id, health) in &scheduler.health {
            let shard = cache.shards.get(&id.shard(self.config.shard_count()));
            let Some(shard) = shard.filter(|s| s.revision == health.report.fence) else {
                continue;
            };
            let owner = by_owner.entry(shard.value.owner.as_str()).or_default();
            owner.counts.machines += 1;
            owner.counts.missed += usize::from(health.report.unresponsive_for >= missed_after);
            let is_recent = now.since(health.received_at) < HEALTH_REPORT_EXPIRY;
            if health.report.unresponsive_for >= timeout && is_recent {
                owner.silent_machines.push(id);
            }
        }
        by_owner
    }
}

/// The number of machines in a group, and how many of them have missed a heartbeat.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeartbeatCounts {
    /// The number of machines.
    pub(super) machines: usize,
    /// The number of machines whose next heartbeat is overdue.
    pub(super) missed: usize,
}

impl Add for HeartbeatCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            machines: self.machines + other.machines,
            missed: self.missed + other.missed,
        }
    }
}

impl Sub for HeartbeatCounts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            machines: self.machines - other.machines,
            missed: self.missed - other.missed,
        }
    }
}

/// The heartbeat counts and the silent machines of one shard owner, according to its health reports.
#[derive(Debug, Default)]
pub(super) struct OwnerHeartbeats<'a> {
    /// The counts over all of its machines.
    pub(super) counts: HeartbeatCounts,
    /// The machines that have been silent for longer than the unresponsive timeout.
    pub(super) silent_machines: Vec<&'a MachineId>,
}

impl OwnerHeartbeats<'_> {
    /// Returns whether the shard owner itself probably fails to receive heartbeats. This is assumed if more
    /// than half of its machines, and more than one, are silent, or if the share of its machines that missed
    /// a heartbeat is far larger than that of the other owners' machines. Shards are spread evenly over zones
    /// and machine types, so a real outage affects all owners alike.
    ///
    /// Missed heartbeats are compared because machines reach the unresponsive timeout one after another. If
    /// silent machines were compared instead, many healthy machines would be deleted before the owner becomes
    /// suspect.
    ///
    /// `others` are the counts over the machines of all other shard owners.
    pub(super) fn is_owner_suspect(&self, others: HeartbeatCounts) -> bool {
        let HeartbeatCounts { machines, missed } = self.counts;
        let majority_is_silent = self.silent_machines.len() > 1.max(machines / 2);
        // More than 1/8 of this owner's machines, and more than 3 machines, missed a heartbeat, and that
        // share is more than 3 times the share among the other owners' machines.
        let far_more_than_others = 8 * missed > machines
            && missed > 3
            && missed * others.machines > 3 * others.missed * machines;
        majority_is_silent || (far_more_than_others && others.machines > 0)
    }
}
