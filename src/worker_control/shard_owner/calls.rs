//! Handling of the outcomes of direct calls.

use super::health::machine_health;
use super::{DirectCallOutcome, Effect, ShardOwner};
use crate::ids::{FencingToken, MachineId, Millis, MonotonicTime};
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
    /// Handles the outcome of a call that was sent under the given token.
    pub(crate) fn on_direct_call_outcome(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        token: FencingToken,
        outcome: DirectCallOutcome,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            if let DirectCallOutcome::Done(heartbeat) = &outcome {
                self.report_discovered(id, token, heartbeat, cache, out);
            }
            return;
        };
        let was_confirmed = tracker.is_confirmed();
        apply_outcome(tracker, token, outcome, now);
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
        id: &MachineId,
        token: FencingToken,
        heartbeat: &Heartbeat,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let owned = self.fence(cache, id.shard(self.shards)) == Some(token.fence());
        if owned && !cache.machines.contains_key(id) && heartbeat.machine == *id {
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
/// outcome says nothing about the tracker's launches.
fn apply_outcome(
    tracker: &mut MachineTracker,
    token: FencingToken,
    outcome: DirectCallOutcome,
    now: MonotonicTime,
) {
    let commands = tracker.calls_mut().finish();
    let launches = match &outcome {
        DirectCallOutcome::Done(_) => DirectLaunch::Answered,
        DirectCallOutcome::Rejected(_) | DirectCallOutcome::NotSent => DirectLaunch::NotExecuted,
        DirectCallOutcome::Unknown => DirectLaunch::Unknown,
    };
    if tracker.token() == token {
        tracker.record_launch_outcomes(&commands, launches);
    }
    match outcome {
        DirectCallOutcome::Done(heartbeat) => apply_answer(tracker, &heartbeat, now),
        DirectCallOutcome::Rejected(heartbeat) => {
            tracker.calls_mut().set_next(now + REJECTED_CALL_DELAY);
            if let Some(heartbeat) = heartbeat {
                apply_answer(tracker, &heartbeat, now);
            }
        }
        DirectCallOutcome::NotSent | DirectCallOutcome::Unknown => {
            tracker.on_failed_call();
            tracker.calls_mut().set_next(now + CALL_RETRY_DELAY);
        }
    }
}

fn apply_answer(tracker: &mut MachineTracker, heartbeat: &Heartbeat, now: MonotonicTime) {
    tracker.mark_reached(now);
    tracker.apply_heartbeat(heartbeat, StatusSource::CallAnswer, now);
}
