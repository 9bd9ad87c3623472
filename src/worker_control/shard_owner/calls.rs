//! Handling of the outcomes of direct calls.

use super::health::machine_health;
use super::{DirectCallOutcome, Effect, SentCall, ShardOwner};
use crate::ids::{Millis, MonotonicTime};
use crate::peers::Message;
use crate::protocol::Heartbeat;
use crate::store::machine_record::MachineRecord;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{DirectLaunch, MachineTracker, StatusSource};

/// Delay after a call that was not sent or not answered, and between two probes of an unresponsive
/// machine.
pub(super) const CALL_RETRY_DELAY: Millis = Millis(700);
/// Delay after a call that the worker rejected.
const REJECTED_CALL_DELAY: Millis = Millis(50);

impl ShardOwner {
    /// Handles the outcome of a call.
    pub(crate) fn on_direct_call_outcome(
        &mut self,
        now: MonotonicTime,
        call: &SentCall,
        outcome: DirectCallOutcome,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let id = &call.machine;
        let outcome = outcome.of_machine(id);
        let Some(tracker) = self.trackers.get_mut(id) else {
            if let DirectCallOutcome::Done(heartbeat) = &outcome {
                self.report_discovered(call, heartbeat, cache, out);
            }
            return;
        };
        let was_confirmed = tracker.is_confirmed();
        apply_outcome(tracker, call, outcome, now);
        if tracker.is_confirmed() && !was_confirmed {
            let message = Message::Health(vec![machine_health(id, tracker, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.process_machine(now, id, cache, out);
        self.flush(now, cache, out);
    }

    /// Handles a probe's answer from a machine without a record.
    fn report_discovered(
        &self,
        call: &SentCall,
        heartbeat: &Heartbeat,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let id = &call.machine;
        let owned = self.fence(cache, id.shard(self.shards)) == Some(call.token.fence());
        if owned && !cache.machines.contains_key(id) {
            let record = MachineRecord::new(
                &heartbeat.addr,
                &heartbeat.type_name,
                &heartbeat.zone,
                heartbeat.spot,
            );
            out.push(Effect::MachineDiscovered(id.clone(), record));
        }
    }
}

/// Records a call's outcome in the machine's tracker. If the token has changed since the call, the
/// outcome says nothing about the tracker's launches. Of the outcome of a call that an earlier tracker
/// has sent, only the worker's status counts.
fn apply_outcome(
    tracker: &mut MachineTracker,
    call: &SentCall,
    outcome: DirectCallOutcome,
    now: MonotonicTime,
) {
    let Some(commands) = tracker.calls_mut().finish(call.id) else {
        if let Some(heartbeat) = status_of(&outcome) {
            apply_answer(tracker, heartbeat, now);
        }
        return;
    };
    let launches = match &outcome {
        DirectCallOutcome::Done(_) => DirectLaunch::Answered,
        DirectCallOutcome::Rejected(_) | DirectCallOutcome::NotSent => DirectLaunch::NotExecuted,
        DirectCallOutcome::Unknown => DirectLaunch::Unknown,
    };
    if tracker.token() == call.token {
        tracker.record_launch_outcomes(&commands, launches);
    }
    match outcome {
        DirectCallOutcome::Done(_) => {}
        DirectCallOutcome::Rejected(_) => {
            tracker.calls_mut().set_next(now + REJECTED_CALL_DELAY);
        }
        DirectCallOutcome::NotSent | DirectCallOutcome::Unknown => {
            tracker.on_failed_call();
            tracker.calls_mut().set_next(now + CALL_RETRY_DELAY);
        }
    }
    if let Some(heartbeat) = status_of(&outcome) {
        apply_answer(tracker, heartbeat, now);
    }
}

/// Returns the worker's status in the outcome of a call.
fn status_of(outcome: &DirectCallOutcome) -> Option<&Heartbeat> {
    match outcome {
        DirectCallOutcome::Done(heartbeat) => Some(heartbeat),
        DirectCallOutcome::Rejected(heartbeat) => heartbeat.as_ref(),
        DirectCallOutcome::NotSent | DirectCallOutcome::Unknown => None,
    }
}

fn apply_answer(tracker: &mut MachineTracker, heartbeat: &Heartbeat, now: MonotonicTime) {
    tracker.mark_reached(now);
    tracker.apply_heartbeat(heartbeat, StatusSource::CallAnswer, now);
}
