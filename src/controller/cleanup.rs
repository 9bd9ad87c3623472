//! The leader's clean-up. It deletes the records of machines that are gone, removes from the watch cache
//! machines without a record that no shard owner reports any more, moves long lists of finished tasks into
//! the counters of their jobs, and deletes records left behind by jobs that have ended.

use super::effects::Effect;
use crate::config::Config;
use crate::ids::{JobId, MachineId, Millis, MonotonicTime, Revision};
use crate::placement::Scheduler;
use crate::planning::completion_counter::{self, CounterLayout};
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::{LiveMachine, WatchCache};
use std::collections::{BTreeMap, BTreeSet};

/// How long to wait before the deletion of a machine's record is tried again.
const DELETION_RETRY_INTERVAL: Millis = Millis(1000);
/// Longest time for which the deletion of a machine's record waits for the end of the jobs whose finished
/// tasks the record lists.
const MAX_DELETION_DEFERRAL: Millis = Millis(60_000);
/// How long a machine without a record stays in the watch cache after shard owners have stopped reporting
/// it.
const UNREPORTED_MACHINE_TIMEOUT: Millis = Millis(10_000);
/// Limits the number of jobs whose counters are updated in one clean-up pass. Further jobs follow in later
/// passes.
const MAX_JOBS_FOLDED_PER_PASS: usize = 4;

/// Deletions of machine records in flight or deferred, and machines without a record that may be removed from
/// the watch cache.
#[derive(Debug, Default)]
pub(super) struct RecordCleanup {
    /// When the deletion of each machine's record was last requested.
    deletions: BTreeMap<MachineId, MonotonicTime>,
    /// When each machine that still has a record was first seen to be gone.
    gone_since: BTreeMap<MachineId, MonotonicTime>,
    /// When each machine without a record was first seen without a recent report by a shard owner.
    unreported_since: BTreeMap<MachineId, MonotonicTime>,
}

impl RecordCleanup {
    /// Removes from the watch cache machines without a record that no shard owner has reported for
    /// [`UNREPORTED_MACHINE_TIMEOUT`]; a machine that still exists is discovered again. The wait is needed
    /// because an owner reports a new machine with a delay: a machine that was removed before its first
    /// report would never be used.
    pub(super) fn expire_unreported_machines(
        &mut self,
        now: MonotonicTime,
        scheduler: &Scheduler,
        cache: &mut WatchCache,
    ) {
        let machines = cache.machines.iter();
        let unreported: Vec<MachineId> = machines
            .filter(|(id, m)| m.revision == Revision(0) && !scheduler.has_recent_health(now, id))
            .map(|(id, _)| id.clone())
            .collect();
        self.unreported_since
            .retain(|id, _| unreported.contains(id));
        for id in unreported {
            let since = *self.unreported_since.entry(id.clone()).or_insert(now);
            if now.since(since) >= UNREPORTED_MACHINE_TIMEOUT {
                cache.remove_unrecorded_machine(&id);
            }
        }
    }

    /// Returns the transaction that deletes the record of a machine that is gone, unless the deletion is in
    /// flight or deferred. Removes a machine without a record from the watch cache.
    pub(super) fn delete_machine_record(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        config: &Config,
        scheduler: &mut Scheduler,
        cache: &mut WatchCache,
    ) -> Option<Effect> {
        self.deletions
            .retain(|_, at| now.since(*at) < DELETION_RETRY_INTERVAL);
        if self.deletions.contains_key(id) || self.should_defer_deletion(now, id, scheduler, cache)
        {
            return None;
        }
        let machine = cache.machines.get(id)?;
        if machine.revision == Revision(0) {
            cache.remove_unrecorded_machine(id);
            return None;
        }
        self.deletions.insert(id.clone(), now);
        let txn = record_deletion(id, machine, cache, &CounterLayout::new(config));
        Some(Effect::unattended_txn(RequestClass::Place, txn))
    }

    /// Returns whether to defer the deletion of a machine's record that lists finished tasks of live jobs.
    /// Once these jobs have ended, a single change deletes the record; before, the tasks must also be moved
    /// to the jobs' counters, and the store accepts few changes per second. The deletion is deferred only
    /// while the write budget is low, no task is placed on the machine, and the machine has been gone for
    /// less than [`MAX_DELETION_DEFERRAL`].
    fn should_defer_deletion(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        scheduler: &mut Scheduler,
        cache: &WatchCache,
    ) -> bool {
        let machines = &cache.machines;
        self.gone_since.retain(|id, _| machines.contains_key(id));
        let since = *self.gone_since.entry(id.clone()).or_insert(now);
        let Some(record) = machines.get(id).map(|m| &m.record) else {
            return false;
        };
        let mut done_records = record.done.iter();
        let counts_live_job = done_records.any(|done| cache.jobs.contains_key(&done.job));
        counts_live_job
            && record.jobs.is_empty()
            && now.since(since) < MAX_DELETION_DEFERRAL
            && scheduler.is_write_budget_low(now)
    }
}

/// Returns a transaction that moves the finished tasks in a machine's record to the counters of their jobs.
/// It also deletes the record if all of them fit into the transaction. If the record were deleted earlier, a
/// leader that loads a new snapshot would run the remaining tasks again. The transaction fails, and is built
/// again, if the shard owner has written the record in the meantime.
fn record_deletion(
    id: &MachineId,
    machine: &LiveMachine,
    cache: &WatchCache,
    layout: &CounterLayout,
) -> Txn {
    let mut txn = Txn::default();
    txn.require(keys::machine(id), machine.revision);
    let mut all_folded = true;
    for done in &machine.record.done {
        let max_changes = layout.txn_ops - 1 - txn.changes.len();
        if let Some(job) = cache.jobs.get(&done.job) {
            all_folded &= completion_counter::fold_into_segments(
                &mut txn,
                &done.job,
                job,
                layout,
                max_changes,
            );
        }
    }
    if all_folded {
        txn.delete(keys::machine(id));
    }
    txn
}

/// Moves finished tasks from large machine records into the counters of their jobs. A record is large if it
/// takes more than half of the largest value, and its finished tasks more than a quarter. In other records
/// finished tasks cost nothing, and are removed when their jobs end.
pub(super) fn fold_counters(cache: &WatchCache, config: &Config, effects: &mut Vec<Effect>) {
    let value_bytes = config.store_limits.value_bytes;
    let records = cache.machines.values().map(|m| &m.record);
    let large = records.filter(|r| r.done_size() > value_bytes / 4 && r.size() > value_bytes / 2);
    let jobs: BTreeSet<&JobId> = large.flat_map(|r| r.done.iter().map(|d| &d.job)).collect();
    let layout = CounterLayout::new(config);
    for id in jobs.into_iter().take(MAX_JOBS_FOLDED_PER_PASS) {
        let mut txn = Txn::default();
        if let Some(job) = cache.jobs.get(id) {
            completion_counter::fold_into_segments(
                &mut txn,
                id,
                job,
                &layout,
                config.store_limits.txn_ops,
            );
        }
        if !txn.changes.is_empty() {
            effects.push(Effect::unattended_txn(RequestClass::Place, txn));
        }
    }
}

/// Deletes records left behind by jobs that have ended.
pub(super) fn delete_orphans(cache: &WatchCache, config: &Config) -> Option<Effect> {
    let mut txn = Txn::default();
    for key in cache.orphaned_keys(config.store_limits.txn_ops) {
        txn.delete(key);
    }
    let has_orphans = !txn.changes.is_empty();
    has_orphans.then(|| Effect::unattended_txn(RequestClass::Record, txn))
}
