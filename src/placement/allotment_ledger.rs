//! The leader's account of what the watch cache does not show yet: allotments that are under way,
//! and placements that are known to be gone while they are still on their machines' records.

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

/// An allotment without an answer for so long is voided by rewriting its shard. Owners refuse
/// what they can't write well before that.
const ANSWER_TIMEOUT: Millis = Millis(8000);

/// One task that was allotted and is not on record.
pub(super) struct AllottedTask {
    /// The shard that it was allotted to.
    pub shard: ShardId,
    /// The fencing token of the shard's owner at that time.
    pub fence: Revision,
    /// The machine that its resources are counted on.
    pub machine: MachineId,
    /// The team whose quota it is charged to.
    pub team: TeamId,
    /// Its resources.
    pub need: Resources,
    /// When it was allotted.
    pub at: MonotonicTime,
}

/// The indices of the tasks of each job that are allotted, and their machines.
pub(super) type AllottedTasks<'a> = BTreeMap<&'a JobId, BTreeMap<u32, &'a MachineId>>;

/// Allotments under way, and placements that are gone and still on record.
#[derive(Default)]
pub(super) struct AllotmentLedger {
    allotted: BTreeMap<TaskAttempt, AllottedTask>,
    /// Known to be gone, and still on the record of this machine.
    freed: BTreeMap<TaskAttempt, MachineId>,
    /// Shards that were rewritten since an answer was missing, and when.
    renewed: BTreeMap<ShardId, MonotonicTime>,
}

impl AllotmentLedger {
    /// Enters a task that is being allotted.
    pub(super) fn add(&mut self, attempt: TaskAttempt, task: AllottedTask) {
        self.allotted.insert(attempt, task);
    }

    /// Enters placements that a shard owner knows to be gone.
    pub(super) fn on_freed(&mut self, attempts: Vec<FreedAttempt>) {
        let attempts = attempts.into_iter();
        self.freed
            .extend(attempts.map(|freed| (freed.attempt, freed.machine)));
    }

    /// Removes what a shard owner refuses to place, if it was allotted under this token.
    pub(super) fn on_refused(&mut self, fence: Revision, attempts: &[TaskAttempt]) {
        for attempt in attempts {
            if self.allotted.get(attempt).is_some_and(|a| a.fence == fence) {
                self.allotted.remove(attempt);
            }
        }
    }

    /// Removes an attempt that has ended.
    pub(super) fn on_ended(&mut self, ended: &EndedAttempt, cache: &WatchCache) {
        // A gang's lost member is replaced under the same attempt. Once the watch cache shows the
        // end, what is allotted under it is the replacement: without its entry the task would be
        // started twice.
        let job = cache.jobs.get(&ended.attempt.task.job);
        let reused = job.is_some_and(|j| j.spec.kind == JobKind::Gang);
        let machine = cache.machines.get(&ended.machine);
        let shown = machine.is_none_or(|m| m.revision >= ended.revision);
        if !(reused && shown) {
            self.allotted.remove(&ended.attempt);
        }
    }

    /// Begins another term: what was allotted in an earlier one failed at the shards' fences, or
    /// is in the watch cache.
    pub(super) fn begin_term(&mut self) {
        self.allotted.clear();
        self.freed.clear();
    }

    /// Removes what the watch cache shows as placed, or what can no longer be placed. Returns the
    /// shards that are to be rewritten, since allotments there have no answer.
    pub(super) fn reconcile(&mut self, now: MonotonicTime, cache: &WatchCache) -> Vec<ShardId> {
        let mut unanswered = BTreeSet::new();
        self.allotted.retain(|attempt, task| {
            // Placements under the old fence were committed before the shard's new record, so
            // the watch cache has them.
            let fenced = cache
                .shards
                .get(&task.shard)
                .is_none_or(|shard| shard.revision != task.fence);
            if now.since(task.at) >= ANSWER_TIMEOUT {
                unanswered.insert(task.shard);
            }
            !fenced && !is_placed(attempt, cache)
        });
        let renewed = &self.renewed;
        let is_recent = |shard: &ShardId| {
            renewed
                .get(shard)
                .is_some_and(|at| now.since(*at) < ANSWER_TIMEOUT)
        };
        let to_renew: Vec<ShardId> = unanswered.into_iter().filter(|s| !is_recent(s)).collect();
        self.renewed
            .extend(to_renew.iter().map(|shard| (*shard, now)));
        self.freed.retain(|attempt, machine| {
            let machine = cache.machines.get(machine);
            machine.is_some_and(|m| m.record.holds(attempt))
        });
        to_renew
    }

    /// The tasks that are allotted.
    pub(super) fn allotted_tasks(&self) -> AllottedTasks<'_> {
        let mut tasks = AllottedTasks::new();
        for (attempt, task) in &self.allotted {
            let of_job = tasks.entry(&attempt.task.job).or_default();
            of_job.insert(attempt.task.index, &task.machine);
        }
        tasks
    }

    /// Charges to the teams what the watch cache does not show as placed, and credits what it
    /// still shows.
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

    /// What the watch cache does not show of the machines' usage.
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

    /// Whether a placement is known to be gone, and still on record.
    pub(super) fn is_freed(&self, attempt: &TaskAttempt) -> bool {
        self.freed.contains_key(attempt)
    }

    /// Whether something that was allotted to a shard before a time is still under way.
    pub(super) fn has_in_flight_allotment_before(&self, shard: ShardId, at: MonotonicTime) -> bool {
        self.allotted
            .values()
            .any(|task| task.shard == shard && task.at <= at)
    }

    /// How many tasks are allotted and not on record.
    pub(super) fn in_flight_task_count(&self) -> usize {
        self.allotted.len()
    }
}

/// The entry of an attempt's job on the record of a machine.
fn placed_job<'a>(
    attempt: &TaskAttempt,
    machine: &MachineId,
    cache: &'a WatchCache,
) -> Option<&'a PlacedJob> {
    let record = &cache.machines.get(machine)?.record;
    record.jobs.iter().find(|p| p.job == attempt.task.job)
}

/// Whether the watch cache shows a task as placed under this attempt.
fn is_placed(attempt: &TaskAttempt, cache: &WatchCache) -> bool {
    let job = cache.jobs.get(&attempt.task.job);
    let placed = job.and_then(|j| j.placed.get(&attempt.task.index));
    placed.is_some_and(|p| p.attempt == attempt.number)
}
