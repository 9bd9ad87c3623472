//! Machines that are given up: failed, never booted, or silent for too long.

use super::Autoscaler;
use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::placement::Scheduler;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// What is known of a machine's silence counts only if its owner has reported it so lately.
const HEALTH_REPORT_EXPIRY: Millis = Millis(3000);
/// The least time past a heartbeat's interval after which the next one is missed.
const MISSED_HEARTBEAT_MARGIN_MS: u64 = 500;
/// The least time past a heartbeat's interval for which a machine may be silent.
const SILENCE_MARGIN_MS: u64 = 2500;
/// After so many times the limit a machine is given up even if its owner is suspect: most may
/// really be gone, and their work would wait for ever.
const SUSPECT_OWNER_TIMEOUT_FACTOR: u64 = 4;

impl Autoscaler {
    /// How long a machine may be silent before it is given up.
    pub(crate) fn unresponsive_timeout(&self, cache: &WatchCache) -> Millis {
        Millis::from_secs(cache.settings().silent_s)
            .max(self.interval_with_margin(SILENCE_MARGIN_MS))
    }

    /// The heartbeat interval, a quarter of it, and a margin.
    fn interval_with_margin(&self, margin_ms: u64) -> Millis {
        let interval = self.config.heartbeat_interval;
        interval + Millis(interval.0 / 4 + margin_ms)
    }

    /// Machines that failed, never came up, or have been silent for too long. Deleting them is
    /// also the proof that their tasks are gone.
    pub(super) fn machines_to_decommission(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        let mut list: Vec<MachineId> = self.failed.iter().cloned().collect();
        list.extend(self.boots.failed(now, cache));
        list.extend(self.silent(now, cache, scheduler));
        list
    }

    /// Machines that sent no heartbeat for too long, but for those where it is rather the shard
    /// owner that receives none.
    fn silent(
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
        let mut list = Vec::new();
        for owner in by_owner.into_values() {
            let is_suspect = owner.is_owner_suspect(all - owner.counts);
            let unresponsive = owner.silent.into_iter().filter(|id| {
                let silent = scheduler.health[*id].report.unresponsive_for;
                !is_suspect || silent >= Millis(SUSPECT_OWNER_TIMEOUT_FACTOR * timeout.0)
            });
            list.extend(unresponsive.cloned());
        }
        list
    }

    /// What each shard owner reports of the machines that are still its own.
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
                owner.silent.push(id);
            }
        }
        by_owner
    }
}

/// How many of some machines have sent their heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeartbeatCounts {
    /// All of them.
    pub(super) machines: usize,
    /// Those whose next heartbeat should have come by now.
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

/// What a shard owner reports of its machines.
#[derive(Debug, Default)]
pub(super) struct OwnerHeartbeats<'a> {
    /// Of all its machines.
    pub(super) counts: HeartbeatCounts,
    /// Machines that are silent for so long that they would be given up.
    pub(super) silent: Vec<&'a MachineId>,
}

impl OwnerHeartbeats<'_> {
    /// Whether it is rather the shard owner that receives nothing: most of its machines are silent,
    /// or far more than of all others, though shards are dealt out over zones and types alike. The
    /// first of them are silent for long while the most have a moment left, so what is missed
    /// counts: otherwise many healthy machines would be deleted before it is clear.
    ///
    /// `others`: the machines of all other shard owners.
    pub(super) fn is_owner_suspect(&self, others: HeartbeatCounts) -> bool {
        let HeartbeatCounts { machines, missed } = self.counts;
        let majority_is_silent = self.silent.len() > 1.max(machines / 2);
        // More than an eighth, and more than three times the others' part.
        let far_more_than_others = 8 * missed > machines
            && missed > 3
            && missed * others.machines > 3 * others.missed * machines;
        majority_is_silent || (far_more_than_others && others.machines > 0)
    }
}
