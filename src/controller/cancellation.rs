//! Cancellations: telling the other controllers, saying when all tasks are gone, and deleting
//! machines on which tasks can't be stopped.

use super::Controller;
use super::effects::Effect;
use crate::cancellation::{CacheView, CancellationDeadlines, CancellationRounds};
use crate::ids::{
    CancellationRoundId, JobId, MachineId, Millis, MonotonicTime, Revision, ShardFence, TaskAttempt,
};
use crate::peers::Message;
use std::collections::BTreeMap;

/// The deletion of a machine that was asked for without leading, and not executed, is asked for again
/// after this.
const DELETION_RETRY_INTERVAL: Millis = Millis(3000);

/// What a controller keeps of cancellations.
#[derive(Debug, Default)]
pub(super) struct CancellationDuty {
    /// Until when the tasks of cancelled jobs have to be gone.
    pub(super) deadlines: CancellationDeadlines,
    /// The rounds in which this controller tells the others of a cancellation.
    pub(super) rounds: CancellationRounds,
    /// Machines whose deletion was asked for without leading, and when.
    requested_deletions: BTreeMap<MachineId, MonotonicTime>,
}

impl Controller {
    /// Tells all controllers of a cancellation that is committed;
    /// [`Self::is_cancellation_complete`] says when its user may hear of it.
    pub(crate) fn announce_cancellation(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
    ) -> (CancellationRoundId, Vec<Effect>) {
        let mut effects = Vec::new();
        self.learn_cancelled(now, job, revision, age, &mut effects);
        let round = self.cancellation.rounds.open(job, revision);
        effects.extend(self.run_due_work(now));
        effects.extend(self.send_cancellation(now, round));
        (round, effects)
    }

    /// Asks the other controllers, once more if need be: what they answered first was perhaps not
    /// proved yet.
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

    /// Whether all tasks of a round's job are proved gone.
    pub(crate) fn is_cancellation_complete(
        &mut self,
        now: MonotonicTime,
        round: CancellationRoundId,
    ) -> bool {
        let pending = self.cancellation.rounds.pending_cancellation(round);
        let Some(job) = pending.map(|(job, _)| job.clone()) else {
            return false;
        };
        let cleared = self.cleared_shards(now, &job);
        let member = &self.config.member;
        let rounds = &mut self.cancellation.rounds;
        rounds.on_acknowledged(round, &job, member, cleared);
        let carriers = self.cache.machines_with_job(&job).map(|id| {
            let shard = id.shard(self.config.shard_count());
            let record = self.cache.shards.get(&shard);
            (shard, record.map(|record| record.revision))
        });
        let view = CacheView {
            revision: self.cache.revision,
            shards_with_job: carriers.collect(),
        };
        self.cancellation.rounds.is_complete(round, &view)
    }

    /// The owned shards in which a cancelled job's tasks are proved gone. Where neither a stop nor a
    /// deletion was answered for as long as users allow, it suffices that this owner knows of the
    /// cancellation: a user is not left without an answer for longer.
    pub(super) fn cleared_shards(&self, now: MonotonicTime, job: &JobId) -> Vec<ShardFence> {
        let age = self.cancellation.deadlines.age(now, job);
        let late = age.is_some_and(|age| age >= self.config.cancellation_timeout);
        let deleted = |id: &MachineId| self.autoscaler.is_deleted(id);
        self.shard_owner
            .cleared_shards(job, late, deleted, &self.cache)
    }

    /// Ends a round, whatever has come of it.
    pub(crate) fn close_cancellation_round(&mut self, round: CancellationRoundId) {
        self.cancellation.rounds.close(round);
    }

    /// Acts on a cancellation before the store's events bring it: tasks are stopped, none is started.
    pub(super) fn learn_cancelled(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.cache.apply_cancellation(job, revision);
        let machines = self.cache.machines_with_job(job).cloned().collect();
        self.cancellation.deadlines.cancelled(now, job, age);
        let mut out = Vec::new();
        self.shard_owner
            .on_machines_changed(now, &machines, &self.cache, &mut out);
        self.apply_owner_effects(now, out, effects);
        self.timers.schedule.request();
    }

    /// Looks for jobs that are over and still have tasks on record. Returns whether that was due.
    pub(super) fn scan_cancellations(&mut self, now: MonotonicTime) -> bool {
        let due = self.timers.cancellation_scan.take_due(now);
        if due {
            self.cancellation.deadlines.scan(now, &self.cache);
        }
        due
    }

    /// As the leader, deletes machines on which a cancelled job's tasks did not stop in time.
    pub(super) fn decommission_overdue(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let patience = self.autoscaler.unresponsive_timeout(&self.cache);
        let silent = |id: &MachineId| {
            self.scheduler
                .is_unresponsive(now, id, patience, &self.cache)
        };
        let freed = |attempt: &TaskAttempt| self.scheduler.is_freed(attempt);
        let deadlines = &mut self.cancellation.deadlines;
        let due = deadlines.due(
            now,
            self.config.cancellation_timeout,
            &self.cache,
            silent,
            freed,
        );
        effects.extend(
            due.unknown_outcomes
                .into_iter()
                .map(Effect::QueryJobOutcome),
        );
        if !due.decommission.is_empty() {
            tracing::info!(machines = ?due.decommission, "machines are deleted: tasks of a cancelled job did not stop in time");
            self.autoscaler.decommission(now, due.decommission);
            self.timers.autoscaler.expedite(now);
        }
    }

    /// The same by an owner that does not lead, or does not know whether it still does: a deletion
    /// needs the cloud and no fence. In an outage of the store nobody leads for certain.
    pub(super) fn decommission_owned(
        &mut self,
        now: MonotonicTime,
        due: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !due {
            return;
        }
        let patience = self.autoscaler.unresponsive_timeout(&self.cache);
        let shard_owner = &self.shard_owner;
        let silent = |id: &MachineId| shard_owner.is_unresponsive(now, id, patience);
        let freed = |attempt: &TaskAttempt| shard_owner.is_freed(attempt);
        let CancellationDuty {
            deadlines,
            requested_deletions,
            ..
        } = &mut self.cancellation;
        let due = deadlines.due(
            now,
            self.config.cancellation_timeout,
            &self.cache,
            silent,
            freed,
        );
        requested_deletions.retain(|_, at| now.since(*at) < DELETION_RETRY_INTERVAL);
        let autoscaler = &self.autoscaler;
        let is_new =
            |id: &MachineId| !requested_deletions.contains_key(id) && !autoscaler.is_deleted(id);
        let ids: Vec<MachineId> = due.decommission.into_iter().filter(is_new).collect();
        if !ids.is_empty() {
            tracing::info!(machines = ?ids, "owned machines are deleted: tasks of a cancelled job did not stop in time");
            requested_deletions.extend(ids.iter().map(|id| (id.clone(), now)));
            effects.push(Effect::DeleteMachines(ids));
        }
    }
}
