//! Outcomes of the transactions that write machines' records.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, MonotonicTime, Revision, TypeName};
use crate::peers::{EndedAttempt, Message};
use crate::store::TxnOutcome;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{EndedPlacement, MachineTracker, PendingTxn};

impl ShardOwner {
    /// Takes in what became of the transaction on a machine's record.
    pub(crate) fn on_txn(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        outcome: &TxnOutcome,
        cache: &mut WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        let Some(pending) = tracker.writes_mut().finish() else {
            return;
        };
        if let TxnOutcome::Committed(revision) = outcome {
            on_committed(tracker, now, id, pending, *revision, cache, out);
        } else {
            on_not_committed(tracker, now, id, &pending, outcome, cache);
        }
        self.step(now, id, cache, out);
        self.flush(now, cache, out);
    }
}

fn on_committed(
    tracker: &mut MachineTracker,
    now: MonotonicTime,
    id: &MachineId,
    pending: PendingTxn,
    revision: Revision,
    cache: &mut WatchCache,
    out: &mut Vec<Effect>,
) {
    let type_name = pending.record.type_name.clone();
    cache.put_machine(id.clone(), pending.record, revision);
    if let Some(machine) = cache.machines.get(id) {
        tracker.placements_mut().drop_committed(&machine.record);
    }
    for ended in pending.ended {
        tracker.on_end_written(&ended.attempt);
        let message = ended_attempt(tracker, now, id, &type_name, revision, ended, cache);
        out.push(Effect::ToLeader(Message::EndedAttempt(message)));
    }
}

fn ended_attempt(
    tracker: &MachineTracker,
    now: MonotonicTime,
    id: &MachineId,
    type_name: &TypeName,
    revision: Revision,
    ended: EndedPlacement,
    cache: &WatchCache,
) -> EndedAttempt {
    let ran = tracker.running_since(&ended.attempt);
    let job = cache.jobs.get(&ended.attempt.task.job);
    EndedAttempt {
        machine: id.clone(),
        revision,
        type_name: type_name.clone(),
        estimate_s: job.map_or(0.0, |job| job.spec.estimate_s),
        pipeline: job.map(|job| job.spec.pipeline.clone()),
        end: ended.outcome,
        ran: ran.map(|at| now.since(at)),
        attempt: ended.attempt,
    }
}

fn on_not_committed(
    tracker: &mut MachineTracker,
    now: MonotonicTime,
    id: &MachineId,
    pending: &PendingTxn,
    outcome: &TxnOutcome,
    cache: &WatchCache,
) {
    let fence = tracker.fence();
    let writes = tracker.writes_mut();
    match outcome {
        TxnOutcome::Committed(_) | TxnOutcome::Refused => writes.retry_later(now),
        TxnOutcome::Failed(_, revision) => writes.on_conflict(*revision, now),
        TxnOutcome::Invalid => {
            tracing::info!(machine = %id, bytes = pending.record.size(), "machine record is too large for the key-value store");
            writes.on_too_large(now);
        }
        TxnOutcome::Unknown => {
            // Under an earlier fence it can't be applied any more.
            if fence == pending.fence {
                writes.set_uncertain(cache.machines.get(id).map(|machine| machine.revision));
            }
            writes.retry_later(now);
        }
    }
}
