//! Proof that the tasks of cancelled jobs are gone.

use super::ShardOwner;
use crate::ids::{JobId, MachineId, ShardFence, ShardId, TaskAttempt};
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeSet;

impl ShardOwner {
    /// Returns the owned shards in which all tasks of a cancelled job are proved gone, including
    /// shards without tasks of the job. Tasks on deleted machines are ignored. If
    /// `cancellation_known` is set, this shard owner knows of the cancellation, so for each machine
    /// it is enough that the machine obeys the current token of this shard owner.
    pub(crate) fn cleared_shards(
        &self,
        job: &JobId,
        cancellation_known: bool,
        deleted: impl Fn(&MachineId) -> bool,
        cache: &WatchCache,
    ) -> Vec<ShardFence> {
        let unsettled: BTreeSet<ShardId> = cache
            .machines_with_job(job)
            .filter(|id| !deleted(id) && !self.is_cleared(id, job, cancellation_known, cache))
            .map(|id| id.shard(self.shards))
            .collect();
        let owned = cache.shards.keys().filter_map(|shard| {
            let fence = self.fence(cache, *shard)?;
            (!unsettled.contains(shard)).then_some(ShardFence {
                shard: *shard,
                fence,
            })
        });
        owned.collect()
    }

    /// Returns whether all tasks of a cancelled job are proved gone from the machine. If
    /// `cancellation_known` is set, it is enough that the machine obeys the current token.
    fn is_cleared(
        &self,
        id: &MachineId,
        job: &JobId,
        cancellation_known: bool,
        cache: &WatchCache,
    ) -> bool {
        let (Some(tracker), Some(machine)) = (self.trackers.get(id), cache.machines.get(id)) else {
            return false;
        };
        let mut attempts = machine
            .record
            .attempts()
            .filter(|(attempt, _)| attempt.task.job == *job);
        (cancellation_known && tracker.is_token_current())
            || attempts.all(|(attempt, _)| tracker.is_gone(&attempt))
    }

    /// Returns whether the attempt is proved gone and was reported to the leader as ended, while
    /// its end is not written yet.
    pub(crate) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        let mut trackers = self.trackers.values();
        trackers.any(|tracker| tracker.placements().is_reported(attempt))
    }
}
