//! Cancellations: announces them to the other controllers, decides when all tasks are gone, and deletes
//! machines on which tasks can't be stopped.

use super::Controller;
use super::effects::Effect;
use crate::cancellation::{CacheView, CancellationDeadlines, CancellationRounds};
use crate::ids::{
    CancellationRoundId, JobId, MachineId, Millis, MonotonicTime, Revision, ShardFence, TaskAttempt,
};
use crate::peers::Message;
use std::collections::BTreeMap;

/// How long a controller that is not the leader waits before it requests the deletion of the same machine
/// again.
const DELETION_RETRY_INTERVAL: Millis = Millis(3000);

/// One controller's state about cancellations.
#[derive(Debug, Default)]
pub(super) struct CancellationState {
    /// Jobs that have ended while tasks remain on record, and the time limits for stopping those tasks.
    pub(super) deadlines: CancellationDeadlines,
    /// The rounds in which this controller announces a cancellation to the others.
    pub(super) rounds: CancellationRounds,
    /// When this controller, not being the leader, last requested the deletion of each machine.
    requested_deletions: BTreeMap<MachineId, MonotonicTime>,
}

impl Controller {
    /// Announces a committed cancellation to all controllers. The user's request may be answered once
    /// [`Self::is_cancellation_complete`] returns `true`.
    pub(crate) fn announce_cancellation(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
    ) -> (CancellationRoundId, Vec<Effect>) {
        let mut effects = Vec::new();
        self.apply_cancellation(now, job, revision, age, &mut effects);
        let round = self.cancellation.rounds.open(job, revision);
        effects.extend(self.run_due_work(now));
        effects.extend(self.send_cancellation(now, round));
        (round, effects)
    }

    /// Sends the round's cancellation to the other controllers. It is repeated, because their first
    /// acknowledgements may come before they have proved that the tasks are gone.
    pub(crate) fn send_cancellation(
        &self,
        now: MonotonicTime,
        round: CancellationRoundId,
    ) -> Vec<Effect> {
        let Some((job, revision)) = self.cancellation.rounds.pending_cancellation(round) else {
            return Vec::new();
        };
        let age = self.cancellation.deadlines.age(now, job);
        let message = Message::Cancelled {
            round,
            job: job.clone(),
            revision,
            age: age.unwrap_or_default(),
        };
        let peers = self.config.peers.keys();
        peers
            .map(|peer| Effect::SendToPeer(peer.clone(), message.clone()))
            .collect()
    }

    /// Returns whether all tasks of the round's job are proved to be gone, and no controller can still
    /// answer that the job is live.
    pub(crate) fn is_cancellation_complete(
        &mut self,
        now: MonotonicTime,
        round: CancellationRoundId,
    ) -> bool {
        let pending = self.cancellation.rounds.pending_cancellation(round);
        let Some((job, revision)) = pending.map(|(job, revision)| (job.clone(), revision)) else {
            return false;
        };
        let cleared = self.cleared_shards(now, &job);
        let member = &self.config.member;
        let rounds = &mut self.cancellation.rounds;
        rounds.on_acknowledged(round, &job, member, cleared);
        let shards_with_job = self.cache.machines_with_job(&job).map(|id| {
            let shard = id.shard(self.config.shard_count());
            let record = self.cache.shards.get(&shard);
            (shard, record.map(|record| record.revision))
        });
        let view = CacheView {
            revision: self.cache.revision,
            shards_with_job: shards_with_job.collect(),
        };
        self.cancellation.rounds.is_complete(round, &view)
            && self.have_live_leases_ended(now, round, revision)
    }

    /// Returns the owned shards in which all tasks of a cancelled job are proved to be gone. Once the
    /// cancellation timeout has passed, it is enough that a machine with such tasks obeys the current fencing
    /// token of this owner, which knows of the cancellation. The user's request can then be answered.
    pub(super) fn cleared_shards(&self, now: MonotonicTime, job: &JobId) -> Vec<ShardFence> {
        let age = self.cancellation.deadlines.age(now, job);
        let is_overdue = age.is_some_and(|age| age >= self.config.cancellation_timeout);
        let is_deleted = |id: &MachineId| self.autoscaler.is_deleted(id);
        self.shard_owner
            .cleared_shards(job, is_overdue, is_deleted, &self.cache)
    }

    /// Closes a round, complete or not.
    pub(crate) fn close_cancellation_round(&mut self, round: CancellationRoundId) {
        self.cancellation.rounds.close(round);
    }

    /// Applies a cancellation before the store's events show it: the job's tasks are stopped, none is
    /// started, and no user is answered any more that the job is live.
    pub(super) fn apply_cancellation(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.cache.apply_cancellation(job, revision);
        self.read_leases.revoked.revoke(now, job);
        let machines = self.cache.machines_with_job(job).cloned().collect();
        self.cancellation
            .deadlines
            .record_cancellation(now, job, age);
        let mut out = Vec::new();
        self.shard_owner
            .on_machines_changed(now, &machines, &self.cache, &mut out);
        self.apply_owner_effects(now, out, effects);
        self.timers.schedule.request();
    }

    /// If a scan is due, updates the set of jobs that have ended and still have tasks on record. Returns
    /// whether it was due.
    pub(super) fn scan_cancellations(&mut self, now: MonotonicTime) -> bool {
        let is_scan_due = self.timers.cancellation_scan.take_due(now);
        if is_scan_due {
            self.cancellation.deadlines.scan(now, &self.cache);
        }
        is_scan_due
    }

    /// As the leader, deletes unresponsive machines on which tasks of a cancelled job did not stop in time.
    /// Requests reads of the final records of ended jobs whose outcome is not known.
    pub(super) fn decommission_overdue(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let unresponsive_timeout = self.autoscaler.unresponsive_timeout(&self.cache);
        let is_unresponsive = |id: &MachineId| {
            self.scheduler
                .is_unresponsive(now, id, unresponsive_timeout, &self.cache)
        };
        let is_freed = |attempt: &TaskAttempt| self.scheduler.is_freed(attempt);
        let deadlines = &mut self.cancellation.deadlines;
        let due = deadlines.due_actions(
            now,
            self.config.cancellation_timeout,
            &self.cache,
            is_unresponsive,
            is_freed,
        );
        effects.extend(
            due.unknown_outcomes
                .into_iter()
                .map(Effect::QueryJobOutcome),
        );
        if !due.decommission.is_empty() {
            tracing::info!(machines = ?due.decommission, "deleting machines: tasks of a cancelled job did not stop in time");
            self.autoscaler.decommission(now, due.decommission);
            self.timers.autoscaler.expedite(now);
        }
    }

    /// Deletes owned, unresponsive machines on which tasks of a cancelled job did not stop in time. Called
    /// while this controller can't be certain that it is the leader. During an outage of the store, that is
    /// true of every controller; a deletion needs only the cloud and no fencing token. Only jobs that this
    /// controller knows to be cancelled are considered; no final records are read.
    pub(super) fn decommission_owned(
        &mut self,
        now: MonotonicTime,
        due: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !due {
            return;
        }
        let unresponsive_timeout = self.autoscaler.unresponsive_timeout(&self.cache);
        let shard_owner = &self.shard_owner;
        let is_unresponsive =
            |id: &MachineId| shard_owner.is_unresponsive(now, id, unresponsive_timeout);
        let is_freed = |attempt: &TaskAttempt| shard_owner.is_freed(attempt);
        let CancellationState {
            deadlines,
            requested_deletions,
            ..
        } = &mut self.cancellation;
        let due = deadlines.due_actions(
            now,
            self.config.cancellation_timeout,
            &self.cache,
            is_unresponsive,
            is_freed,
        );
        requested_deletions.retain(|_, at| now.since(*at) < DELETION_RETRY_INTERVAL);
        let autoscaler = &self.autoscaler;
        let is_new =
            |id: &MachineId| !requested_deletions.contains_key(id) && !autoscaler.is_deleted(id);
        let ids: Vec<MachineId> = due.decommission.into_iter().filter(is_new).collect();
        if !ids.is_empty() {
            tracing::info!(machines = ?ids, "deleting owned machines: tasks of a cancelled job did not stop in time");
            requested_deletions.extend(ids.iter().map(|id| (id.clone(), now)));
            effects.push(Effect::DeleteMachines(ids));
        }
    }
}
