//! Detection of changes that are not yet written to the machines' records.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::peers::{AttemptOutcome, Message};
use crate::protocol::{ExitReason, JobKind};
use crate::store::watch_cache::{LiveMachine, WatchCache};
use crate::worker_control::machine_tracker::{
    EndedPlacement, MachineTracker, TaskPresence, UnwrittenChanges,
};

/// A pending placement that could not be written within this time is refused, unless a write of the
/// machine's record is in flight. Without an answer, the leader would rewrite the shard's
/// record, which voids this placement and everything else in progress in the shard.
const PLACEMENT_EXPIRY: Millis = Millis(5000);

impl ShardOwner {
    /// Updates the unwritten changes of a machine: placements that are proved gone, pending
    /// placements, and completed tasks. Also reports rejected placements to the leader, unless a
    /// transaction could still place them. Does neither while a write of the machine's record is in
    /// flight.
    pub(super) fn update_unwritten(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            self.write_queue.remove(id);
            return;
        };
        tracker.writes_mut().resolve_uncertainty(machine.revision);
        settle_placements(now, tracker, machine, cache);
        if tracker.writes().is_in_flight() {
            self.write_queue.remove(id);
            return;
        }
        if !tracker.writes().is_uncertain() && tracker.placements().has_rejected() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: tracker.fence(),
                attempts: tracker.placements_mut().take_rejected(),
            }));
        }
        let unwritten = unwritten_changes(tracker, machine, cache, now);
        if let Some(unwritten) = &unwritten {
            self.write_queue.insert(id.clone());
            let urgent = unwritten.is_urgent() && tracker.writes().is_retry_due(now);
            self.write_queue.add_urgency(urgent);
        } else {
            self.write_queue.remove(id);
        }
        tracker.writes_mut().set_unwritten(unwritten);
    }
}

/// Drops pending placements that were committed, and rejects those that expired or whose job has
/// changed. No placement expires while a write of the machine's record is in flight.
fn settle_placements(
    now: MonotonicTime,
    tracker: &mut MachineTracker,
    machine: &LiveMachine,
    cache: &WatchCache,
) {
    let may_expire = !tracker.writes().is_in_flight();
    let placements = tracker.placements_mut();
    placements.drop_committed(&machine.record);
    placements.drop_committed_rejections(&machine.record);
    placements.reject_unless(|placement| {
        let expired = may_expire && now.since(placement.assigned_at) >= PLACEMENT_EXPIRY;
        let job = cache.jobs.get(&placement.attempt.task.job);
        !expired && job.is_some_and(|job| job.revision == placement.job_revision)
    });
}

/// Returns the outcome of a placement once its end is proved. Returns `None` for an absent attempt
/// that is still to be launched.
pub(super) fn attempt_outcome(
    tracker: &MachineTracker,
    attempt: &TaskAttempt,
    cache: &WatchCache,
) -> Option<AttemptOutcome> {
    match tracker.presence(attempt) {
        TaskPresence::Exited(ExitReason::Done) => Some(AttemptOutcome::Done),
        TaskPresence::Exited(exit_reason) => Some(AttemptOutcome::Exited(exit_reason)),
        TaskPresence::Absent => {
            let to_be_launched = !tracker.is_stop_requested(attempt)
                && tracker.placements().is_launchable(attempt)
                && cache.jobs.contains_key(&attempt.task.job);
            (!to_be_launched).then_some(AttemptOutcome::Absent)
        }
        _ => None,
    }
}

/// Returns whether the record must be written even if its content is unchanged. The write voids a
/// transaction with an unknown outcome, so that the rejections can be reported.
pub(super) fn needs_touch(tracker: &MachineTracker) -> bool {
    tracker.writes().is_uncertain() && tracker.placements().has_rejected()
}

/// Returns whether users or other decisions wait for single tasks of this job kind. Record writes
/// for these tasks are urgent.
fn is_awaited(kind: JobKind) -> bool {
    kind != JobKind::Array
}

/// Returns the changes that are missing from a machine's record, or `None` if it is up to date.
fn unwritten_changes(
    tracker: &MachineTracker,
    machine: &LiveMachine,
    cache: &WatchCache,
    now: MonotonicTime,
) -> Option<UnwrittenChanges> {
    let placements = tracker.placements();
    let since = tracker.writes().unwritten().map_or(now, |u| u.since());
    let mut unwritten = UnwrittenChanges::new(since, placements.pending_count());
    let touch = needs_touch(tracker);
    let awaited = placements.pending().any(|p| is_awaited(p.spec.kind));
    unwritten.add_urgency(touch || awaited);
    for (attempt, placed) in machine.record.attempts() {
        let Some(outcome) = attempt_outcome(tracker, &attempt, cache) else {
            continue;
        };
        if let Some(job) = cache.jobs.get(&attempt.task.job) {
            // A failed attempt waits to be retried on another machine.
            unwritten.add_urgency(is_awaited(job.spec.kind) || outcome != AttemptOutcome::Done);
        }
        unwritten.add_ended(EndedPlacement { attempt, outcome }, placed.need);
    }
    unwritten.detect_idle(machine.record.attempts().count());
    (touch || !unwritten.is_empty()).then_some(unwritten)
}
