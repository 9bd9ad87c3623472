//! Reports to the leader: machine health, placements that are proved gone, and misdirected
//! heartbeats.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, Revision, TaskAttempt};
use crate::peers::{AttemptOutcome, FreedAttempt, MachineHealth, Message};
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;
use crate::worker_control::machine_tracker::MachineTracker;

const HEALTH_REPORT_INTERVAL: Millis = Millis(1000);
/// Unresponsive time after which a machine without a stored record is dropped, since no task was
/// placed there. The machine is kept while a write of its record is in flight.
const UNRECORDED_MACHINE_TIMEOUT: Millis = Millis(30_000);
/// Subtracted from the unresponsive time of machines while controllers can't reach each other. It
/// gives a machine the time to find another controller that relays its heartbeats: two attempts
/// that time out, each followed by a pause of one second.
const RELAY_GRACE_PERIOD: Millis = Millis(10_000);

impl ShardOwner {
    /// Returns whether an owned machine has been unresponsive for at least `threshold`. A machine
    /// that obeys a higher token already belongs to another shard owner and only appears
    /// unresponsive here.
    pub(crate) fn is_unresponsive(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        threshold: Millis,
    ) -> bool {
        let tracker = self.trackers.get(id);
        tracker.is_some_and(|tracker| {
            !tracker.is_superseded() && tracker.unresponsive_for(now) >= threshold
        })
    }

    /// Reports the health of the machines and misdirected heartbeats to the leader once per
    /// [`HEALTH_REPORT_INTERVAL`].
    pub(super) fn report_health(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        if now < self.next_health_report {
            return;
        }
        self.next_health_report = now + HEALTH_REPORT_INTERVAL;
        let machines = self.trackers.iter();
        let health: Vec<MachineHealth> = machines
            .map(|(id, tracker)| self.health_under_partition(id, tracker, now, cache))
            .collect();
        if !health.is_empty() {
            out.push(Effect::ToLeader(Message::Health(health)));
        }
        let misdirected = std::mem::take(&mut self.misdirected);
        if !misdirected.is_empty() {
            let misdirected = Message::MisdirectedHeartbeats(misdirected.into_iter().collect());
            out.push(Effect::ToLeader(misdirected));
        }
    }

    fn health_under_partition(
        &self,
        id: &MachineId,
        tracker: &MachineTracker,
        now: MonotonicTime,
        cache: &WatchCache,
    ) -> MachineHealth {
        let mut health = machine_health(id, tracker, now, cache);
        if self.partitioned && !tracker.is_relayed() {
            health.unresponsive_for = Millis(
                health
                    .unresponsive_for
                    .0
                    .saturating_sub(RELAY_GRACE_PERIOD.0),
            );
        }
        health
    }

    /// Reports machines without a stored record that have been unresponsive for
    /// [`UNRECORDED_MACHINE_TIMEOUT`], unless a write of the record is in flight.
    pub(super) fn report_lost_machines(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let unrecorded = |id: &MachineId| {
            let machine = cache.machines.get(id);
            machine.is_some_and(|machine| machine.revision == Revision(0))
        };
        let lost = self.trackers.iter().filter(|(id, tracker)| {
            tracker.unresponsive_for(now) >= UNRECORDED_MACHINE_TIMEOUT
                && unrecorded(id)
                && !tracker.writes().is_in_flight()
        });
        out.extend(lost.map(|(id, _)| Effect::UnrecordedMachineLost(id.clone())));
    }

    /// Reports ended placements to the leader before their records are written. The leader can then
    /// reuse the capacity, so that one write covers both the end and the next placement, and a job
    /// whose tasks are all done completes without waiting for the writes. All ends are reported
    /// again to a new leader.
    pub(super) fn report_freed_placements(&mut self, cache: &WatchCache, out: &mut Vec<Effect>) {
        let leader = cache.leader.as_ref().map(|leader| leader.revision);
        if self.leader != leader {
            self.leader = leader;
            for tracker in self.trackers.values_mut() {
                tracker.placements_mut().clear_reported();
            }
        }
        let mut freed = Vec::new();
        for id in self.write_queue.machines() {
            if let Some(tracker) = self.trackers.get_mut(id) {
                freed.extend(newly_freed(id, tracker));
            }
        }
        if !freed.is_empty() {
            out.push(Effect::ToLeader(Message::Freed(freed)));
        }
    }
}

/// Returns the ended placements of a machine that were not reported yet, and marks them as
/// reported.
fn newly_freed(id: &MachineId, tracker: &mut MachineTracker) -> Vec<FreedAttempt> {
    let unwritten = tracker.writes().unwritten();
    let ended = unwritten.map_or_else(Vec::new, |unwritten| unwritten.ended().to_vec());
    let new = ended
        .into_iter()
        .filter(|ended| tracker.placements_mut().mark_reported(&ended.attempt));
    new.map(|ended| FreedAttempt {
        machine: id.clone(),
        attempt: ended.attempt,
        done: ended.outcome == AttemptOutcome::Done,
    })
    .collect()
}

/// Returns the health report of one machine.
pub(super) fn machine_health(
    id: &MachineId,
    tracker: &MachineTracker,
    now: MonotonicTime,
    cache: &WatchCache,
) -> MachineHealth {
    let is_gang = |attempt: &&TaskAttempt| {
        let job = cache.jobs.get(&attempt.task.job);
        job.is_some_and(|job| job.spec.kind == JobKind::Gang)
    };
    let unrecorded = cache
        .machines
        .get(id)
        .filter(|machine| machine.revision == Revision(0));
    MachineHealth {
        machine: id.clone(),
        fence: tracker.fence(),
        unresponsive_for: tracker.unresponsive_for(now),
        since_direct_heartbeat: tracker.since_direct_heartbeat(now),
        token_confirmed: tracker.is_token_current(),
        until_interruption: tracker.interruption_at().map(|at| at.since(now)),
        unstored_record: unrecorded.map(|machine| machine.record.clone()),
        gangs: tracker
            .seen_running()
            .filter(is_gang)
            .map(|attempt| (attempt.task.job.clone(), attempt.number))
            .collect(),
    }
}
