//! The leader's record of changes that the watch cache does not show yet: allotments in flight, and
//! placements that have been freed but are still on their machines' records.

use super::pending_usage::PendingUsage;
use super::quota_usage::QuotaUsage;
use super::record_capacity::ESTIMATED_JOB_BYTES;
use crate::ids::{
    JobId, MachineId, Millis, MonotonicTime, Resources, Revision, ShardId, TaskAttempt, TeamId,
};
use crate::peers::{EndedAttempt, FreedAttempt};
use crate::protocol::JobKind;
use crate::store::machine_record::size;
use crate::store::records::PlacedJob;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// The time after which an unanswered allotment is voided by rewriting its shard's record. A shard
/// owner that cannot write a placement refuses it well before that.
const ANSWER_TIMEOUT: Millis = Millis(8000);

/// A task that was allotted and is not on record yet.
pub(super) struct AllottedTask {
    /// The shard that it was allotted to.
    pub shard: ShardId,
    /// The fencing token of the shard's owner at the time of the allotment.
    pub fence: Revision,
    /// The machine on which the task's resources are counted.
    pub machine: MachineId,
    /// The team whose quota the task is charged to.
    pub team: TeamId,
    /// The resources of the task.
    pub need: Resources,
    /// The time of the allotment.
    pub allotted_at: MonotonicTime,
}

/// The allotted tasks of each job: the index of each task and its machine.
pub(super) type AllottedTasks<'a> = BTreeMap<&'a JobId, BTreeMap<u32, &'a MachineId>>;

/// Allotments in flight, and placements that have been freed but are still on record.
#[derive(Default)]
pub(super) struct AllotmentLedger {
    allotted: BTreeMap<TaskAttempt, AllottedTask>,
    /// The freed attempts, with the machines whose records still hold them.
    freed: BTreeMap<TaskAttempt, MachineId>,
    /// The shards whose records were rewritten because of an unanswered allotment, with the time of
    /// the rewrite.
    fence_raised_at: BTreeMap<ShardId, MonotonicTime>,
}

impl AllotmentLedger {
    /// Adds a task that is being allotted.
    pub(super) fn add(&mut self, attempt: TaskAttempt, task: AllottedTask) {
        self.allotted.insert(attempt, task);
    }

    /// Adds placements that a shard owner has freed.
    pub(super) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        let attempts = attempts.into_iter();
        self.freed
            .extend(attempts.map(|freed| (freed.attempt, freed.machine)));
    }

    /// Removes attempts that a shard owner refuses to place, if they were allotted under the
    /// fencing token `fence`.
    pub(super) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        for attempt in attempts {
            if self.allotted.get(attempt).is_some_and(|a| a.fence == fence) {
                self.allotted.remove(attempt);
            }
        }
    }

    /// Removes an attempt that has ended.
    pub(super) fn on_ended(&mut self, ended: &EndedAttempt, cache: &WatchCache) {
        // A lost task of a gang is replaced under the same attempt number. If the watch cache
        // already shows the end, the ledger's entry for the attempt belongs to the replacement, and
        // removing it would start the task twice.
        let job = cache.jobs.get(&ended.attempt.task.job);
        let reuses_attempt = job.is_some_and(|j| j.spec.kind == JobKind::Gang);
        let machine = cache.machines.get(&ended.machine);
        let end_is_cached = machine.is_none_or(|m| m.revision >= ended.revision);
        if !(reuses_attempt && end_is_cached) {
            self.allotted.remove(&ended.attempt);
        }
    }

    /// Clears the ledger for a new term. Allotments of an earlier term were either rejected by the
    /// shards' fencing tokens or are in the watch cache.
    pub(super) fn begin_term(&mut self) {
        self.allotted.clear();
        self.freed.clear();
    }

    /// Removes allotments that the watch cache shows as placed and those that can no longer be
    /// placed. Returns the shards whose records must be rewritten because allotments to them are
    /// unanswered.
    pub(super) fn reconcile(&mut self, now: MonotonicTime, cache: &WatchCache) -> Vec<ShardId> {
        let mut timed_out_shards = BTreeSet::new();
        self.allotted.retain(|attempt, task| {
            // Placements under the old fencing token were committed before the shard's new record,
            // so the watch cache has them.
            let is_fenced = cache
                .shards
                .get(&task.shard)
                .is_none_or(|shard| shard.revision != task.fence);
            if now.since(task.allotted_at) >= ANSWER_TIMEOUT {
                timed_out_shards.insert(task.shard);
            }
            !is_fenced && !is_placed(attempt, cache)
        });
        let fence_raised_at = &self.fence_raised_at;
        let is_recently_raised = |shard: &ShardId| {
            fence_raised_at
                .get(shard)
                .is_some_and(|at| now.since(*at) < ANSWER_TIMEOUT)
        };
        let shards_to_fence: Vec<ShardId> = timed_out_shards
            .into_iter()
            .filter(|s| !is_recently_raised(s))
            .collect();
        self.fence_raised_at
            .extend(shards_to_fence.iter().map(|shard| (*shard, now)));
        self.freed.retain(|attempt, machine| {
            let machine = cache.machines.get(machine);
            machine.is_some_and(|m| m.record.holds(attempt))
        });
        shards_to_fence
    }

    /// Returns the allotted tasks of each job.
    pub(super) fn allotted_tasks(&self) -> AllottedTasks<'_> {
        let mut tasks = AllottedTasks::new();
        for (attempt, task) in &self.allotted {
            let of_job = tasks.entry(&attempt.task.job).or_default();
            of_job.insert(attempt.task.index, &task.machine);
        }
        tasks
    }

    /// Charges allotted tasks that are not on record yet to their teams, and credits freed tasks
    /// that are still on record.
    pub(super) fn adjust_quota_usage(&self, quota_usage: &mut QuotaUsage<'_>, cache: &WatchCache) {
        for task in self.allotted.values() {
            quota_usage.charge(&task.team, task.need);
        }
        for (attempt, machine) in &self.freed {
            if let Some(placed) = placed_job(attempt, machine, cache) {
                quota_usage.credit(&placed.team, placed.need);
            }
        }
    }

    /// Returns the machine usage that the watch cache does not show yet.
    pub(super) fn pending_usage(&self, cache: &WatchCache) -> PendingUsage<'_> {
        let mut pending = PendingUsage::default();
        let mut last_jobs: BTreeMap<&MachineId, &JobId> = BTreeMap::new();
        for (attempt, task) in &self.allotted {
            let job = &attempt.task.job;
            let same_job = last_jobs.insert(&task.machine, job) == Some(job);
            let job_bytes = if same_job { 0 } else { ESTIMATED_JOB_BYTES };
            pending.add_allotted(&task.machine, task.need, size::MAX_TASK_BYTES + job_bytes);
        }
        for (attempt, machine) in &self.freed {
            if let Some(placed) = placed_job(attempt, machine, cache) {
                let task_bytes = size::task(attempt.task.index, attempt.number);
                pending.add_freed(machine, placed.need, task_bytes);
            }
        }
        pending
    }

    /// Returns whether a placement has been freed and is still on record.
    pub(super) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.freed.contains_key(attempt)
    }

    /// Returns whether an allotment that was sent to a shard at or before a time is still in
    /// flight.
    pub(super) fn has_in_flight_allotment_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotted
            .values()
            .any(|task| task.shard == shard && task.allotted_at <= at)
    }

    /// Returns the number of tasks that are allotted but not yet on record.
    pub(super) fn in_flight_task_count(&self) -> usize {
        self.allotted.len()
    }
}

/// Returns the entry of an attempt's job on a machine's record.
fn placed_job<'a>(
    attempt: &TaskAttempt,
    machine: &MachineId,
    cache: &'a WatchCache,
) -> Option<&'a PlacedJob> {
    let record = &cache.machines.get(machine)?.record;
    record.jobs.iter().find(|p| p.job == attempt.task.job)
}

/// Returns whether the watch cache shows a task as placed under this attempt.
fn is_placed(attempt: &TaskAttempt, cache: &WatchCache) -> bool {
    let job = cache.jobs.get(&attempt.task.job);
    let placed = job.and_then(|j| j.placed.get(&attempt.task.index));
    placed.is_some_and(|p| p.attempt == attempt.number)
}
