//! The leader's clean-up: records of machines that are gone, machines without a record that nobody
//! reports any more, counters that grow long, and records that ended jobs left behind.

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

/// The deletion of a machine's record is tried again after this.
const DELETION_RETRY_INTERVAL: Millis = Millis(1000);
/// For so long at the most a machine's record waits for the jobs whose tasks are counted there.
const MAX_COUNTED_WAIT: Millis = Millis(60_000);
/// A machine without a record is forgotten once no shard owner has reported it for so long.
const UNREPORTED_MACHINE_TIMEOUT: Millis = Millis(10_000);
/// Jobs whose counters are brought up to date in one step.
const MAX_COUNTERS_FOLDED: usize = 4;

/// Records whose deletion is under way, and machines that are about to be forgotten.
#[derive(Debug, Default)]
pub(super) struct RecordCleanup {
    /// When the deletion of a machine's record was asked for.
    deletions: BTreeMap<MachineId, MonotonicTime>,
    /// Since when machines are gone whose records still stand.
    gone_since: BTreeMap<MachineId, MonotonicTime>,
    /// Since when no shard owner has reported a machine without a record.
    unreported_since: BTreeMap<MachineId, MonotonicTime>,
}

impl RecordCleanup {
    /// Forgets machines without a record that no shard owner has reported for a while: what is
    /// there will be found again. Not at once: an owner reports a new machine only after a moment,
    /// and one that was forgotten before that was never used (simulated seed 557).
    pub(super) fn forget_unreported(
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

    /// Deletes the record of a machine that is gone.
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
        if self.deletions.contains_key(id) || self.waits_for_jobs(now, id, scheduler, cache) {
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

    /// Whether the record of a machine that is gone waits for the jobs that it still counts tasks
    /// of: once they are over it goes with a single change, and those are scarce.
    fn waits_for_jobs(
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
        let mut counted = record.done.iter();
        let counts_live_job = counted.any(|done| cache.jobs.contains_key(&done.job));
        counts_live_job
            && record.jobs.is_empty()
            && now.since(since) < MAX_COUNTED_WAIT
            && scheduler.is_write_budget_low(now)
    }
}

/// Deletes a machine's record once all tasks that it counts stand in their jobs' own counters: a
/// leader that reads everything anew would run them again. If the shard owner has written the record
/// meanwhile the transaction fails, and is built anew.
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
            all_folded &= completion_counter::fold(&mut txn, &done.job, job, layout, max_changes);
        }
    }
    if all_folded {
        txn.delete(keys::machine(id));
    }
    txn
}

/// Moves what machines' records count into the jobs' own counters where a record grows long.
/// Elsewhere the counts cost nothing, and go when their jobs end.
pub(super) fn fold_counters(cache: &WatchCache, config: &Config, effects: &mut Vec<Effect>) {
    let value_bytes = config.store_limits.value_bytes;
    let records = cache.machines.values().map(|m| &m.record);
    let full = records.filter(|r| r.done_size() > value_bytes / 4 && r.size() > value_bytes / 2);
    let jobs: BTreeSet<&JobId> = full.flat_map(|r| r.done.iter().map(|d| &d.job)).collect();
    let layout = CounterLayout::new(config);
    for id in jobs.into_iter().take(MAX_COUNTERS_FOLDED) {
        let mut txn = Txn::default();
        if let Some(job) = cache.jobs.get(id) {
            completion_counter::fold(&mut txn, id, job, &layout, config.store_limits.txn_ops);
        }
        if !txn.changes.is_empty() {
            effects.push(Effect::unattended_txn(RequestClass::Place, txn));
        }
    }
}

/// Deletes records that ended jobs left behind.
pub(super) fn delete_orphans(cache: &WatchCache, config: &Config) -> Option<Effect> {
    let mut txn = Txn::default();
    for key in cache.orphaned_keys(config.store_limits.txn_ops) {
        txn.delete(key);
    }
    let found = !txn.changes.is_empty();
    found.then(|| Effect::unattended_txn(RequestClass::Record, txn))
}
