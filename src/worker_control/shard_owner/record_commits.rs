//! Scheduling of machine record writes, and the transactions that perform them.

use super::records::{attempt_outcome, needs_touch};
use super::{Effect, RecordWrite, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::peers::AttemptOutcome;
use crate::protocol::JobKind;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::machine_record::MachineRecord;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{EndedPlacement, MachineTracker, PendingTxn};

/// While the write budget is not ample, changes to a machine's record within this time share one
/// write.
const WRITE_BATCH_DELAY: Millis = Millis(200);
/// Priority of a write that the write budget does not delay.
const URGENT_PRIORITY: u64 = u64::MAX;

/// A machine whose record may be written now, and the priority of that write.
struct WriteCandidate {
    priority: u64,
    machine: MachineId,
}

impl ShardOwner {
    /// Writes machine records within the write budget, highest priority first. Urgent writes, which
    /// users or other decisions wait for, are sent even if the budget is exhausted.
    pub(super) fn flush(&mut self, now: MonotonicTime, cache: &WatchCache, out: &mut Vec<Effect>) {
        if !self.write_queue.begin_flush(now) {
            return;
        }
        let mut candidates = self.write_candidates(now, cache);
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.priority));
        for candidate in candidates {
            if candidate.priority < URGENT_PRIORITY && self.write_queue.is_exhausted(now) {
                break;
            }
            if self.commit(now, &candidate.machine, cache, out) {
                self.write_queue.spend();
            }
        }
    }

    /// Returns the machines whose records may be written now.
    fn write_candidates(&mut self, now: MonotonicTime, cache: &WatchCache) -> Vec<WriteCandidate> {
        let budget_exhausted = self.write_queue.is_exhausted(now);
        let ample_budget = self.write_queue.has_ample_budget(now);
        let mut candidates = Vec::new();
        for id in self.write_queue.machines() {
            let Some(tracker) = self.trackers.get(id) else {
                continue;
            };
            let writes = tracker.writes();
            let Some(unwritten) = writes.unwritten() else {
                continue;
            };
            let may_write = writes.may_write(now, cache.revision) && !tracker.is_superseded();
            let batch_delay_over =
                ample_budget || now.since(unwritten.since()) >= WRITE_BATCH_DELAY;
            let priority = if unwritten.is_urgent() {
                URGENT_PRIORITY
            } else {
                unwritten.write_priority(now)
            };
            let affordable = unwritten.is_urgent() || (!budget_exhausted && priority > 0);
            if may_write && batch_delay_over && affordable {
                candidates.push(WriteCandidate {
                    priority,
                    machine: id.clone(),
                });
            }
        }
        candidates
    }

    /// Builds one transaction under the fence that removes the placements proved gone, adds
    /// completed tasks to the done ranges, and adds the pending placements. Returns whether a
    /// transaction is sent.
    fn commit(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) -> bool {
        self.write_queue.remove(id);
        let request = self.next_request();
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return false;
        };
        let Some(unwritten) = tracker.writes_mut().take_unwritten() else {
            return false;
        };
        let mut txn = Txn::default();
        txn.require(keys::shard(id.shard(self.shards)), tracker.fence());
        txn.require(keys::machine(id), machine.revision);
        let mut record = machine.record.clone();
        remove_stored_done(&mut record, self.tasks_per_segment, cache);
        let ended = unwritten.ended().iter().map(|ended| &ended.attempt);
        let ended = remove_ended(&mut record, tracker, ended, cache);
        let placements = tracker.placements_mut();
        placements.add_to_record(&mut record, &mut txn, self.limits);
        let (size, value_bytes) = (record.size(), self.limits.value_bytes);
        if !tracker.writes_mut().accepts_size(size, value_bytes, now) {
            return false;
        }
        let placements = tracker.placements_mut();
        placements.retain_launchable(|attempt| record.holds(attempt));
        if record == machine.record && !needs_touch(tracker) {
            return false;
        }
        txn.put(keys::machine(id), &record, None);
        let fence = tracker.fence();
        tracker.writes_mut().begin(PendingTxn {
            id: request,
            record,
            ended,
            fence,
        });
        let write = RecordWrite {
            machine: id.clone(),
            id: request,
        };
        out.push(Effect::Txn { write, txn });
        true
    }
}

/// Removes done ranges that the completion counters of their jobs fully contain, and those of jobs
/// that are not in the watch cache any more.
fn remove_stored_done(record: &mut MachineRecord, tasks_per_segment: u32, cache: &WatchCache) {
    record.done.retain(|done| {
        let job = cache.jobs.get(&done.job);
        job.is_some_and(|job| job.has_tasks_outside_segments(done, tasks_per_segment))
    });
}

/// Removes placements that are proved gone from a record and adds the completed tasks to its done
/// ranges. Returns the removed placements.
fn remove_ended<'a>(
    record: &mut MachineRecord,
    tracker: &MachineTracker,
    attempts: impl Iterator<Item = &'a TaskAttempt>,
    cache: &WatchCache,
) -> Vec<EndedPlacement> {
    let mut ended = Vec::new();
    for attempt in attempts {
        let Some(outcome) = attempt_outcome(tracker, attempt, cache) else {
            continue;
        };
        let job = cache.jobs.get(&attempt.task.job);
        if let (AttemptOutcome::Done, Some(job)) = (outcome, job) {
            // The tasks of a gang complete together: when one is done, all are recorded as done. If
            // a machine is lost at that moment, the remaining tasks are not run again.
            match job.spec.kind {
                JobKind::Gang => record.add_done(&attempt.task.job, 0, job.spec.tasks - 1),
                _ => record.add_done(&attempt.task.job, attempt.task.index, attempt.task.index),
            }
        }
        record.remove(attempt);
        ended.push(EndedPlacement {
            attempt: attempt.clone(),
            outcome,
        });
    }
    ended
}
