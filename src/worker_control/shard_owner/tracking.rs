//! Creation and removal of machine trackers, and their processing in batches.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, MonotonicTime, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::MachineTracker;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum number of trackers processed in one call of [`ShardOwner::reconcile`].
const TRACKERS_PER_BATCH: usize = 100;

impl ShardOwner {
    /// Returns the number of tracked machines, for display.
    pub(crate) fn tracked_count(&self) -> usize {
        self.trackers.len()
    }

    /// Requests that the next comparison with the watch cache covers all trackers. It is needed
    /// after the cache was reloaded, and after a machine was discovered: without a change in the
    /// key-value store, no event creates that machine's tracker.
    pub(crate) fn request_full_reconcile(&mut self) {
        self.compare_all = true;
    }

    /// Processes the machines that changed in the watch cache. The other machines are processed in
    /// the batches of [`Self::reconcile`].
    pub(crate) fn on_machines_changed(
        &mut self,
        now: MonotonicTime,
        machines: &BTreeSet<MachineId>,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.track_machines(now, machines, cache);
        self.place_waiting(now, cache, out);
        for id in machines {
            self.process_machine(now, id, cache, out);
        }
        self.flush(now, cache, out);
    }

    /// Returns the machines of the next batch. Messages from a machine and changes of its record
    /// are handled immediately; the batches only handle timeouts. The batch size is limited so that
    /// a call costs the same for any number of machines.
    pub(super) fn next_batch(&mut self) -> Vec<MachineId> {
        let after = match &self.batch_end {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.trackers.range((after, Bound::Unbounded));
        let ids: Vec<MachineId> = rest
            .map(|(id, _)| id.clone())
            .take(TRACKERS_PER_BATCH)
            .collect();
        let full = ids.len() == TRACKERS_PER_BATCH;
        self.batch_end = ids.last().filter(|_| full).cloned();
        ids
    }

    /// Creates trackers for new machines, removes those of machines that are gone or whose shard is
    /// no longer owned, and resets those whose shard's record was rewritten. As long as the owned
    /// shards are unchanged, only the machines in `changed` are compared.
    pub(super) fn track_machines(
        &mut self,
        now: MonotonicTime,
        changed: &BTreeSet<MachineId>,
        cache: &WatchCache,
    ) {
        let owned: BTreeMap<ShardId, Revision> = cache
            .shards
            .keys()
            .filter_map(|shard| Some((*shard, self.fence(cache, *shard)?)))
            .collect();
        let all = std::mem::take(&mut self.compare_all) || owned != self.owned_shards;
        self.owned_shards = owned;
        if !all {
            for id in changed {
                self.track_machine(now, id, cache);
            }
            return;
        }
        let tracked: BTreeSet<MachineId> = self.trackers.keys().cloned().collect();
        let untracked = cache.machines.keys().filter(|id| !tracked.contains(*id));
        for id in tracked.iter().chain(untracked) {
            self.track_machine(now, id, cache);
        }
    }

    fn track_machine(&mut self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) {
        let fence = self.owned_shards.get(&id.shard(self.shards)).copied();
        let (Some(fence), Some(machine)) = (fence, cache.machines.get(id)) else {
            self.trackers.remove(id);
            self.write_queue.remove(id);
            return;
        };
        match self.trackers.get_mut(id) {
            None => {
                let tracker = MachineTracker::new(fence, &machine.record.addr, now);
                self.trackers.insert(id.clone(), tracker);
            }
            Some(tracker) if tracker.fence() != fence => tracker.reset(fence, now),
            Some(_) => {}
        }
    }
}
