//! Heartbeats of workers and their answers.

use super::health::machine_health;
use super::{DirectCall, Effect, HeartbeatAnswer, HeartbeatPath, ShardOwner};
use crate::ids::{FencingToken, MachineId, MemberId, Millis, MonotonicTime, Revision};
use crate::peers::Message;
use crate::protocol::Heartbeat;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::{CommandRoute, StatusSource};

impl ShardOwner {
    /// The longest interval between two heartbeats that come directly.
    pub(super) fn direct_heartbeat_timeout(&self) -> Millis {
        self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000)
    }

    /// Machines owned here whose direct heartbeats have been absent for too long.
    pub(crate) fn machines_without_direct_heartbeats(&self, now: MonotonicTime) -> Vec<MachineId> {
        let timeout = self.direct_heartbeat_timeout();
        let missing = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.is_missing(now, timeout));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a heartbeat that another controller relays is accepted: from machines that can't
    /// bring it here. Now and then they are made to try all the same.
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

    /// Answers a worker's heartbeat.
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
            self.probe_unknown(now, heartbeat, fence, out);
            None
        };
        answer.unwrap_or_else(|| {
            HeartbeatAnswer::Commands(token_at_least(fence, heartbeat), Vec::new())
        })
    }

    /// The fence under which a machine is owned here. The error: the controller that owns it
    /// instead, as far as it is known.
    fn fence_for(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &WatchCache,
    ) -> Result<Revision, Option<MemberId>> {
        let shard = heartbeat.machine.shard(self.shards);
        let Some(fence) = self.fence(cache, shard) else {
            let owner = cache.shards.get(&shard).map(|b| b.value.owner.clone());
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

    /// Answers for a machine with a record. `None`: it has no tracker, because the watch cache has
    /// just brought the shard or the machine. The tracker opens at once.
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
            || heartbeat.until_interruption_s.is_some() != tracker.notice().is_some();
        let newest = tracker.is_newer(heartbeat);
        tracker.apply_heartbeat(heartbeat, StatusSource::Heartbeat, now);
        if newest && path == HeartbeatPath::Direct {
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
        self.step(now, id, cache, out);
        self.flush(now, cache, out);
        Some(HeartbeatAnswer::Commands(token, commands))
    }

    /// A machine without a record: new, one that nobody expected, or one that is long deleted
    /// and of which a copy of a heartbeat has come late. Only a live one answers a probe.
    fn probe_unknown(
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
        out.push(Effect::CallWorker(DirectCall {
            machine: heartbeat.machine.clone(),
            addr: heartbeat.addr.clone(),
            token: token_at_least(fence, heartbeat),
            epoch: heartbeat.epoch,
            commands: Vec::new(),
        }));
    }
}

/// The token for a machine without a tracker: one that had a tracker of ours before may have seen
/// it raised, and drops what carries a lower one.
fn token_at_least(fence: Revision, heartbeat: &Heartbeat) -> FencingToken {
    let base = FencingToken::of(fence, 0);
    if heartbeat.token.fence() == fence {
        base.max(heartbeat.token)
    } else {
        base
    }
}
