//! Handling of worker heartbeats.

use super::health::machine_health;
use super::{DirectCall, Effect, HeartbeatAnswer, HeartbeatPath, SentCall, ShardOwner};
use crate::ids::{FencingToken, MachineId, MemberId, Millis, MonotonicTime, Revision};
use crate::peers::Message;
use crate::protocol::Heartbeat;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{CommandRoute, StatusSource};

impl ShardOwner {
    /// Returns the longest acceptable interval between two direct heartbeats of a machine.
    pub(super) fn direct_heartbeat_timeout(&self) -> Millis {
        self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000)
    }

    /// Returns the owned machines whose direct heartbeats are overdue.
    pub(crate) fn machines_without_direct_heartbeats(&self, now: MonotonicTime) -> Vec<MachineId> {
        let timeout = self.direct_heartbeat_timeout();
        let overdue_trackers = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.is_direct_heartbeat_overdue(now, timeout));
        overdue_trackers.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether to accept a heartbeat relayed by another controller. Relayed heartbeats are
    /// accepted from machines that can't send theirs here. They are rejected from time to time so
    /// that the machine tries the direct path again.
    pub(crate) fn try_accept_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
    ) -> bool {
        let timeout = self.direct_heartbeat_timeout();
        let worker_lease = self.worker_lease;
        let tracker = self.trackers.get_mut(id);
        tracker
            .is_some_and(|tracker| tracker.try_accept_relayed_heartbeat(now, timeout, worker_lease))
    }

    /// Handles a worker's heartbeat and returns the answer.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        path: HeartbeatPath,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) -> HeartbeatAnswer {
        let fence = match self.fence_for(heartbeat, cache) {
            Ok(fence) => fence,
            Err(owner) => return HeartbeatAnswer::Redirect(owner),
        };
        let answer = if cache.machines.contains_key(&heartbeat.machine) {
            self.answer_tracked(now, heartbeat, path, cache, out)
        } else {
            self.probe_unrecorded(now, heartbeat, fence, out);
            None
        };
        answer.unwrap_or_else(|| {
            HeartbeatAnswer::Commands(token_at_least(fence, heartbeat), Vec::new())
        })
    }

    /// Returns the fence under which this controller owns the machine, or as error the other
    /// controller that owns it, if known. A heartbeat whose token has a later fence also gives an
    /// error: the shard's record was rewritten, and the watch cache does not show it yet.
    fn fence_for(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &WatchCache,
    ) -> Result<Revision, Option<MemberId>> {
        let shard = heartbeat.machine.shard(self.shards);
        let Some(fence) = self.fence(cache, shard) else {
            let owner = cache
                .shards
                .get(&shard)
                .map(|record| record.value.owner.clone());
            self.misdirected.insert(heartbeat.machine.clone());
            return Err(owner.filter(|owner| *owner != self.member));
        };
        if heartbeat.token.fence() > fence {
            if let Some(tracker) = self.trackers.get_mut(&heartbeat.machine) {
                tracker.mark_superseded();
            }
            return Err(None);
        }
        Ok(fence)
    }

    /// Answers the heartbeat of a machine with a record. Returns `None` if the machine has no
    /// tracker because its shard or record has just arrived in the watch cache. The tracker is
    /// created as soon as that change is processed.
    fn answer_tracked(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        path: HeartbeatPath,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) -> Option<HeartbeatAnswer> {
        let id = &heartbeat.machine;
        let tracker = self.trackers.get_mut(id)?;
        let health_changes = !tracker.is_confirmed()
            || heartbeat.until_interruption_s.is_some() != tracker.interruption_at().is_some();
        let newest = tracker.is_newer(heartbeat);
        tracker.apply_heartbeat(heartbeat, StatusSource::Heartbeat, now);
        if newest && path == HeartbeatPath::DirectFromWorker {
            tracker.on_direct_heartbeat(now);
        }
        let token = tracker.token();
        let commands = if newest && !tracker.is_superseded() {
            self.due_commands(now, id, cache, CommandRoute::HeartbeatResponse)
        } else {
            Vec::new()
        };
        if health_changes && let Some(tracker) = self.trackers.get(id) {
            let message = Message::Health(vec![machine_health(id, tracker, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.process_machine(now, id, cache, out);
        self.flush(now, cache, out);
        Some(HeartbeatAnswer::Commands(token, commands))
    }

    /// Probes a machine without a record. The machine may be new or unexpected. It may also have
    /// been deleted long ago, and the heartbeat is a late copy: only a live machine answers the
    /// probe.
    fn probe_unrecorded(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        fence: Revision,
        out: &mut Vec<Effect>,
    ) {
        if self.probed.contains_key(&heartbeat.machine) {
            return;
        }
        self.probed.insert(heartbeat.machine.clone(), now);
        let sent = SentCall {
            machine: heartbeat.machine.clone(),
            id: self.next_request(),
            token: token_at_least(fence, heartbeat),
        };
        out.push(Effect::CallWorker(DirectCall {
            sent,
            addr: heartbeat.addr.clone(),
            epoch: heartbeat.epoch,
            commands: Vec::new(),
        }));
    }
}

/// Returns the token for a machine without a tracker. An earlier tracker under the same fence may
/// have raised the machine's token, and the worker drops commands with a lower one.
fn token_at_least(fence: Revision, heartbeat: &Heartbeat) -> FencingToken {
    let base = FencingToken::of(fence, 0);
    if heartbeat.token.fence() == fence {
        base.max(heartbeat.token)
    } else {
        base
    }
}
