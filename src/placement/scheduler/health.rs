//! Health of machines, as their shard owners report it.

use super::Scheduler;
use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::peers::MachineHealth;
use crate::placement::reported_health::ReportedHealth;
use crate::store::watch_cache::WatchCache;

/// A report that is older says nothing of the present: the machine is not used.
const MAX_REPORT_AGE: Millis = Millis(5000);
/// A machine gets nothing new while its heartbeat is late by more than this.
const HEARTBEAT_TOLERANCE: Millis = Millis(2000);

impl Scheduler {
    /// Takes a shard owner's reports on its machines. An owner that only the key-value store does
    /// not reach goes on reporting machines whose shards have other owners since, as silent: such
    /// reports are left out.
    pub(crate) fn on_health(
        &mut self,
        now: MonotonicTime,
        health: Vec<MachineHealth>,
        cache: &WatchCache,
    ) {
        let shards = self.config.shard_count();
        for last in health {
            let shard_record = cache.shards.get(&last.machine.shard(shards));
            if shard_record.is_some_and(|shard| shard.revision > last.fence) {
                continue;
            }
            self.gangs.on_health(&last);
            let reported = ReportedHealth {
                received_at: now,
                report: last,
            };
            self.health
                .insert(reported.report.machine.clone(), reported);
        }
    }

    /// Whether a shard owner has reported on a machine lately.
    pub(crate) fn has_recent_health(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let reported = self.health.get(id);
        reported.is_some_and(|r| now.since(r.received_at) < MAX_REPORT_AGE)
    }

    /// Whether a machine's present shard owner reports that no heartbeat has come from it for so
    /// long.
    pub(crate) fn is_unresponsive(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        for_long: Millis,
        cache: &WatchCache,
    ) -> bool {
        let shard_record = cache.shards.get(&id.shard(self.config.shard_count()));
        self.health.get(id).is_some_and(|reported| {
            shard_record.is_some_and(|shard| shard.revision == reported.report.fence)
                && reported.report.unresponsive_for >= for_long
                && now.since(reported.received_at) < MAX_REPORT_AGE
        })
    }

    /// Whether a machine can take work: its shard owner tracks it, under the present fencing
    /// token, and there is no interruption notice, quarantine or drain.
    pub(crate) fn is_usable(&self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) -> bool {
        let shard = id.shard(self.config.shard_count());
        let fence = cache.shards.get(&shard).map(|record| record.revision);
        let is_healthy = self.health.get(id).is_some_and(|reported| {
            Some(reported.report.fence) == fence
                && reported.report.token_confirmed
                && !self.is_lost(&reported.report)
                && now.since(reported.received_at) < MAX_REPORT_AGE
        });
        is_healthy && !self.is_cordoned(now, id)
    }

    /// Whether a machine counts as capacity. One whose shard owner has just changed is not usable
    /// for a moment, but it is there: without it the autoscaler would rent another.
    pub(crate) fn counts_as_capacity(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let reported = self.health.get(id);
        let is_lost = reported.is_some_and(|r| self.is_lost(&r.report));
        !is_lost && !self.is_cordoned(now, id)
    }

    /// Whether a machine is reported to be interrupted, or its heartbeat is late.
    fn is_lost(&self, health: &MachineHealth) -> bool {
        health.until_interruption.is_some()
            || health.unresponsive_for >= self.config.heartbeat_interval + HEARTBEAT_TOLERANCE
    }

    /// Whether the leader itself gives a machine nothing new.
    fn is_cordoned(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.faults.is_quarantined(now, id) || self.draining.contains(id)
    }
}
