//! Which machines have trackers, and whose turn it is.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, MonotonicTime, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::MachineTracker;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Trackers that have their turn in one call of [`ShardOwner::reconcile`].
const TRACKERS_PER_BATCH: usize = 100;

impl ShardOwner {
    /// The number of machines that are tracked here, for display.
    pub(crate) fn tracked_count(&self) -> usize {
        self.trackers.len()
    }

    /// All trackers are to be compared with the watch cache: it was read anew, or a machine was
    /// discovered. Without a change of the cache, no event would open that machine's tracker.
    pub(crate) fn request_full_reconcile(&mut self) {
        self.compare_all = true;
    }

    /// After changes of the watch cache: only the machines they concern are looked at, the rest
    /// in their turn.
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
            self.step(now, id, cache, out);
        }
        self.flush(now, cache, out);
    }

    /// The trackers whose turn it is. Whatever comes from a machine or changes its record is dealt
    /// with at once; the turns are for what only time makes due, and one costs the same on any
    /// fleet.
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

    /// Opens trackers for machines that came, closes those of machines or shards that went, and
    /// resets those whose shard was rewritten. `changed`: the machines that are compared while
    /// the owned shards are the same.
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
