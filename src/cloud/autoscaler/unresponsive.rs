//! Machines of which nothing is hoped for any more.

use super::*;

/// Past this many boot times a machine will not come up any more.
const FAILED_BOOT_FACTOR: f64 = 4.0;
/// Seconds that a boot counts as at least.
const MIN_BOOT_S: f64 = 10.0;

impl Autoscaler {
    /// Machines that failed, never came up, or have been silent for too long. Deleting them is
    /// also the proof that their tasks are gone.
    pub(super) fn machines_to_decommission(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        let mut list: Vec<MachineId> = self.failed.iter().cloned().collect();
        list.extend(self.failed_to_boot(now, cache));
        list.extend(self.silent(now, cache, scheduler));
        list
    }

    /// Machines that have taken far too long to boot.
    fn failed_to_boot(&self, now: MonotonicTime, cache: &WatchCache) -> Vec<MachineId> {
        let limit = |boot: &Boot| {
            let boot_time = self.boot_time(&boot.type_name, cache);
            Millis::from_secs(FAILED_BOOT_FACTOR * boot_time.max(MIN_BOOT_S))
        };
        let late = self
            .booting
            .iter()
            .filter(|(_, boot)| now.since(boot.rented) > limit(boot));
        late.map(|(id, _)| id.clone()).collect()
    }

    /// Machines of which nothing has been heard for too long, but for those where it is rather
    /// the shard owner that hears nothing.
    fn silent(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        let mut list = Vec::new();
        let patience = self.patience(cache);
        let overdue =
            self.config.heartbeat_interval + Millis(self.config.heartbeat_interval.0 / 4 + 500);
        let mut by_owner: BTreeMap<&str, OwnerSilence<'_>> = BTreeMap::new();
        for (id, health) in &scheduler.health {
            let shard_record = cache.shards.get(&id.shard(self.config.shards()));
            let Some(shard_record) = shard_record.filter(|l| l.revision == health.last.fence)
            else {
                continue;
            };
            let entry = by_owner
                .entry(shard_record.value.owner.as_str())
                .or_default();
            entry.count += 1;
            entry.overdue += usize::from(health.last.silent >= overdue);
            if health.last.silent >= patience && now.since(health.at) < Millis(3000) {
                entry.silent.push(id);
            }
        }
        let all = by_owner.values().fold((0, 0), |(count, overdue), q| {
            (count + q.count, overdue + q.overdue)
        });
        for quiet in by_owner.into_values() {
            let rest = (all.0 - quiet.count, all.1 - quiet.overdue);
            let doubtful = quiet.is_owner_suspect(rest);
            let silent = quiet.silent;
            // But most may really be gone: after a while they are given up all the same, or
            // their work would wait for ever (simulated seed 45).
            let machines_to_decommission = silent.into_iter().filter(|id| {
                !doubtful || scheduler.health[*id].last.silent >= Millis(4 * patience.0)
            });
            list.extend(machines_to_decommission.cloned());
        }
        list
    }
}

/// What a shard owner says of its machines.
#[derive(Debug, Default)]
pub(super) struct OwnerSilence<'a> {
    pub count: usize,
    /// A heartbeat of theirs should have come by now.
    pub overdue: usize,
    /// Silent for so long that they would be given up.
    pub silent: Vec<&'a MachineId>,
}

impl OwnerSilence<'_> {
    /// Whether it is rather the shard owner that hears nothing: most of its machines are silent, or far
    /// more than of all others, `rest`, though shards are dealt out over zones and types alike. The
    /// first of them are silent for long while the most have a moment left: what is overdue counts
    /// (Tramite fleet, apart: a hundred healthy machines were deleted before it was clear).
    pub(super) fn is_owner_suspect(&self, rest: (usize, usize)) -> bool {
        let most = self.silent.len() > 1.max(self.count / 2);
        let (others, overdue) = rest;
        // More than an eighth, and more than three times the others' part.
        let far_more = 8 * self.overdue > self.count
            && self.overdue > 3
            && self.overdue * others > 3 * overdue * self.count;
        most || (far_more && others > 0)
    }
}
