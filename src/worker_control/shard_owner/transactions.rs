//! Handling of the outcomes of machine record transactions.

use super::{Effect, RecordWrite, ShardOwner};
use crate::ids::{MachineId, MachineTypeName, Millis, MonotonicTime, Revision};
use crate::peers::{EndedAttempt, Message};
use crate::store::TxnOutcome;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{EndedPlacement, MachineTracker, PendingTxn};

impl ShardOwner {
    /// Handles the outcome of a write of a machine's record.
    pub(crate) fn on_txn_outcome(
        &mut self,
        now: MonotonicTime,
        write: &RecordWrite,
        outcome: &TxnOutcome,
        cache: &mut WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let id = &write.machine;
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        let Some(pending) = tracker.writes_mut().finish(write.id) else {
            return;
        };
        match outcome {
            TxnOutcome::Committed(revision) => {
                on_committed(now, id, tracker, pending, *revision, cache, out);
            }
            TxnOutcome::Failed(_, revision) => tracker.writes_mut().on_conflict(*revision, now),
            TxnOutcome::Refused(_) => tracker.writes_mut().retry_later(now),
            TxnOutcome::Invalid => {
                // The store rejected the transaction with status 400. The size of the record is
                // only the most likely cause. `bytes` is that size.
                let bytes = pending.record.size();
                tracing::info!(machine = %id, bytes, "machine record is too large for the key-value store");
                tracker.writes_mut().on_too_large(now);
            }
            TxnOutcome::Unknown => {
                // A transaction under an earlier fence can't be applied any more.
                if tracker.fence() == pending.fence {
                    let revision = cache.machines.get(id).map(|machine| machine.revision);
                    tracker.writes_mut().set_uncertain(revision);
                }
                tracker.writes_mut().retry_later(now);
            }
        }
        self.process_machine(now, id, cache, out);
        self.flush(now, cache, out);
    }
}

/// Puts the written record into the watch cache and reports the ended attempts to the leader.
fn on_committed(
    now: MonotonicTime,
    id: &MachineId,
    tracker: &mut MachineTracker,
    pending: PendingTxn,
    revision: Revision,
    cache: &mut WatchCache,
    out: &mut Vec<Effect>,
) {
    let written = WrittenRecord {
        machine: id,
        type_name: pending.record.type_name.clone(),
        revision,
    };
    cache.put_machine(id.clone(), pending.record, revision);
    if let Some(machine) = cache.machines.get(id) {
        tracker.placements_mut().drop_committed(&machine.record);
    }
    for ended in pending.ended {
        tracker.on_end_written(&ended.attempt);
        let started = tracker.running_since(&ended.attempt);
        let ran = started.map(|at| now.since(at));
        let ended = written.ended_attempt(ended, ran, cache);
        out.push(Effect::ToLeader(Message::EndedAttempt(ended)));
    }
}

/// Identity and revision of a machine record that was written.
struct WrittenRecord<'a> {
    machine: &'a MachineId,
    type_name: MachineTypeName,
    revision: Revision,
}

impl WrittenRecord<'_> {
    /// Returns the report for a placement that was removed from the record. `ran` is the time since
    /// the task was first seen running.
    fn ended_attempt(
        &self,
        ended: EndedPlacement,
        ran: Option<Millis>,
        cache: &WatchCache,
    ) -> EndedAttempt {
        let job = cache.jobs.get(&ended.attempt.task.job);
        EndedAttempt {
            machine: self.machine.clone(),
            revision: self.revision,
            type_name: self.type_name.clone(),
            estimate_s: job.map_or(0.0, |job| job.spec.estimate_s),
            pipeline: job.map(|job| job.spec.pipeline.clone()),
            outcome: ended.outcome,
            run_time: ran,
            attempt: ended.attempt,
        }
    }
}
