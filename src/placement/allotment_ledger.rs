//! The leader's books for what the watch cache doesn't show yet: allotments that are on their way, and
//! placements that are proved gone while their machines' records still stand.

use super::candidates::Pending;
use super::quota_usage::QuotaUsage;
use super::record_capacity::ANY_JOB;
use crate::ids::{
    JobId, MachineId, Millis, MonotonicTime, Resources, Revision, ShardId, TaskAttempt, TeamId,
};
use crate::peers::{EndedAttempt, FreedAttempt};
use crate::protocol::JobKind;
use crate::store::machine_record::size;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// An allotment without an answer for so long is voided by rewriting its shard. Owners give back
/// what they can't write well before that.
const ANSWER: Millis = Millis(8000);

/// One task that was allotted and is not on record.
pub(super) struct Allotted {
    pub shard: ShardId,
    pub fence: Revision,
    pub machine: MachineId,
    pub team: TeamId,
    pub need: Resources,
    pub at: MonotonicTime,
}

/// The tasks of each job that are allotted, and where.
pub(super) type AllottedTasks<'a> = BTreeMap<&'a JobId, BTreeMap<u32, &'a MachineId>>;

#[derive(Default)]
pub(super) struct AllotmentLedger {
    allotted: BTreeMap<TaskAttempt, Allotted>,
    /// Proved gone, though their machines' records still stand.
    freed: BTreeMap<TaskAttempt, MachineId>,
    /// Shards that were rewritten for want of an answer, and when.
    renewed: BTreeMap<ShardId, MonotonicTime>,
}

impl AllotmentLedger {
    pub(super) fn allot(&mut self, attempt: TaskAttempt, allotted: Allotted) {
        self.allotted.insert(attempt, allotted);
    }

    pub(super) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        let attempts = attempts.into_iter();
        self.freed
            .extend(attempts.map(|freed| (freed.attempt, freed.machine)));
    }

    pub(super) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        for attempt in attempts {
            if self.allotted.get(attempt).is_some_and(|a| a.fence == fence) {
                self.allotted.remove(attempt);
            }
        }
    }

    pub(super) fn on_ended(&mut self, ended: &EndedAttempt, cache: &WatchCache) {
        // A gang's lost member is replaced under the same attempt. Once the watch cache shows the end,
        // what is allotted under it is the replacement: taking that off the books started the
        // task twice (simulated seed 261 of the crowded days).
        let job = cache.jobs.get(&ended.attempt.task.job);
        let reused = job.is_some_and(|j| j.spec.kind == JobKind::Gang);
        let machine = cache.machines.get(&ended.machine);
        let shown = machine.is_none_or(|m| m.revision >= ended.revision);
        if !(reused && shown) {
            self.allotted.remove(&ended.attempt);
        }
    }

    /// Another term: what was allotted in an earlier one failed at the shards' fences, or is in
    /// the watch cache.
    pub(super) fn begin_term(&mut self) {
        self.allotted.clear();
        self.freed.clear();
    }

    /// Takes off the books what the watch cache shows as placed, or what can no longer be placed.
    /// Returns the shards that are to be rewritten, since allotments there have no answer.
    pub(super) fn reconcile(&mut self, now: MonotonicTime, cache: &WatchCache) -> Vec<ShardId> {
        let mut overdue = BTreeSet::new();
        self.allotted.retain(|attempt, a| {
            // Placements under the old fence were committed before the shard's new record, so
            // the watch cache has them.
            let fenced = cache
                .shards
                .get(&a.shard)
                .is_none_or(|b| b.revision != a.fence);
            if now.since(a.at) >= ANSWER {
                overdue.insert(a.shard);
            }
            !fenced && !is_placed(attempt, cache)
        });
        let renewed = &self.renewed;
        let recent = |b: &ShardId| renewed.get(b).is_some_and(|at| now.since(*at) < ANSWER);
        let due: Vec<ShardId> = overdue.into_iter().filter(|b| !recent(b)).collect();
        self.renewed.extend(due.iter().map(|b| (*b, now)));
        self.freed.retain(|attempt, machine| {
            let machine = cache.machines.get(machine);
            machine.is_some_and(|m| m.record.holds(attempt))
        });
        due
    }

    /// The tasks that are allotted.
    pub(super) fn tasks(&self) -> AllottedTasks<'_> {
        let mut tasks = AllottedTasks::new();
        for (attempt, a) in &self.allotted {
            let of_job = tasks.entry(&attempt.task.job).or_default();
            of_job.insert(attempt.task.index, &a.machine);
        }
        tasks
    }

    /// Books what the watch cache doesn't show on the teams' accounts, and sums it up by machine.
    pub(super) fn book(&self, quota_usage: &mut QuotaUsage<'_>, cache: &WatchCache) -> Pending<'_> {
        let mut pending = Pending::default();
        let mut last: BTreeMap<&MachineId, &JobId> = BTreeMap::new();
        for (attempt, a) in &self.allotted {
            quota_usage.charge(&a.team, a.need);
            let sum = pending.promised.entry(&a.machine).or_default();
            *sum = *sum + a.need;
            let known = last.insert(&a.machine, &attempt.task.job) == Some(&attempt.task.job);
            let bytes = pending.promised_bytes.entry(&a.machine).or_default();
            *bytes += size::LARGEST_TASK + if known { 0 } else { ANY_JOB };
        }
        for (attempt, machine) in &self.freed {
            let record = cache.machines.get(machine).map(|m| &m.record);
            let placed = record.and_then(|r| r.jobs.iter().find(|p| p.job == attempt.task.job));
            if let Some(placed) = placed {
                quota_usage.credit(&placed.team, placed.need);
                let sum = pending.freed.entry(machine).or_default();
                *sum = *sum + placed.need;
                let bytes = pending.freed_bytes.entry(machine).or_default();
                *bytes += size::task(attempt.task.index, attempt.number);
            }
        }
        pending
    }

    pub(super) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.freed.contains_key(attempt)
    }

    /// Whether something that was allotted to a shard before a time is still on its way.
    pub(super) fn allotted_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotted
            .values()
            .any(|a| a.shard == shard && a.at <= at)
    }

    pub(super) fn allotted_count(&self) -> usize {
        self.allotted.len()
    }
}

/// Whether the watch cache shows a task as placed under this attempt.
fn is_placed(attempt: &TaskAttempt, cache: &WatchCache) -> bool {
    let job = cache.jobs.get(&attempt.task.job);
    let placed = job.and_then(|j| j.placed.get(&attempt.task.index));
    placed.is_some_and(|p| p.attempt == attempt.number)
}
