//! The health of machines as reported by their shard owners.

use super::Scheduler;
use crate::ids::{MachineId, Millis, MonotonicTime};
use crate::peers::MachineHealth;
use crate::placement::reported_health::ReportedHealth;
use crate::store::watch_cache::WatchCache;

/// The age from which a health report is ignored. A machine without a newer report is not used.
const MAX_REPORT_AGE: Millis = Millis(5000);
/// The delay beyond the heartbeat interval after which a machine with a late heartbeat receives no
/// new tasks.
const HEARTBEAT_TOLERANCE: Millis = Millis(2000);

impl Scheduler {
    /// Stores a shard owner's reports on its machines. An owner that has lost only its connection
    /// to the key-value store keeps reporting machines as unresponsive after their shards have
    /// moved to other owners. Reports with an outdated fencing token are therefore ignored.
    pub(crate) fn on_health(
        &mut self,
        now: MonotonicTime,
        health: Vec<MachineHealth>,
        cache: &WatchCache,
    ) {
        let shards = self.config.shard_count();
        for report in health {
            let shard_record = cache.shards.get(&report.machine.shard(shards));
            if shard_record.is_some_and(|shard| shard.revision > report.fence) {
                continue;
            }
            self.gangs.on_health(&report);
            let reported = ReportedHealth {
                received_at: now,
                report,
            };
            self.health
                .insert(reported.report.machine.clone(), reported);
        }
    }

    /// Returns whether a shard owner has reported on a machine within `MAX_REPORT_AGE`.
    pub(crate) fn has_recent_health(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let reported = self.health.get(id);
        reported.is_some_and(|r| now.since(r.received_at) < MAX_REPORT_AGE)
    }

    /// Returns whether a machine's current shard owner has reported within `MAX_REPORT_AGE` that
    /// the machine has been unresponsive for at least `timeout`.
    pub(crate) fn is_unresponsive(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        timeout: Millis,
        cache: &WatchCache,
    ) -> bool {
        let shard_record = cache.shards.get(&id.shard(self.config.shard_count()));
        self.health.get(id).is_some_and(|reported| {
            shard_record.is_some_and(|shard| shard.revision == reported.report.fence)
                && reported.report.unresponsive_for >= timeout
                && now.since(reported.received_at) < MAX_REPORT_AGE
        })
    }

    /// Returns whether a machine can be given tasks: its current shard owner has reported within
    /// `MAX_REPORT_AGE` that the machine obeys the owner's fencing token and that its heartbeat is
    /// not late, and the machine has no interruption notice, quarantine or drain.
    pub(crate) fn is_usable(&self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) -> bool {
        let shard = id.shard(self.config.shard_count());
        let fence = cache.shards.get(&shard).map(|record| record.revision);
        let is_healthy = self.health.get(id).is_some_and(|reported| {
            Some(reported.report.fence) == fence
                && reported.report.token_confirmed
                && !self.is_interrupted_or_late(&reported.report)
                && now.since(reported.received_at) < MAX_REPORT_AGE
        });
        is_healthy && !self.is_cordoned(now, id)
    }

    /// Returns whether a machine counts as capacity: it has no interruption notice, quarantine or
    /// drain, and its heartbeat is not late. A machine whose shard has just changed owners is
    /// briefly unusable, but it still counts: otherwise the autoscaler would rent a replacement. So
    /// does a machine that has not been reported yet.
    pub(crate) fn counts_as_capacity(&self, now: MonotonicTime, id: &MachineId) -> bool {
        let reported = self.health.get(id);
        let is_interrupted_or_late =
            reported.is_some_and(|r| self.is_interrupted_or_late(&r.report));
        !is_interrupted_or_late && !self.is_cordoned(now, id)
    }

    /// Returns whether a machine is about to be interrupted or its heartbeat is late.
    fn is_interrupted_or_late(&self, health: &MachineHealth) -> bool {
        health.until_interruption.is_some()
            || health.unresponsive_for >= self.config.heartbeat_interval + HEARTBEAT_TOLERANCE
    }

    /// Returns whether the leader withholds new tasks from a machine because it is quarantined or
    /// draining.
    fn is_cordoned(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.faults.is_quarantined(now, id) || self.draining.contains(id)
    }
}
