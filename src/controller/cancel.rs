//! Cancellations: telling the others, saying when all is gone, and giving up what can't be stopped.

use super::*;

impl Controller {
    /// Tells everybody of a cancellation that is committed; [`Self::is_settled`] says when its
    /// user may hear of it.
    pub(crate) fn announce_cancellation(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
    ) -> (RoundId, Vec<Effect>) {
        let mut effects = Vec::new();
        self.learn_cancelled(now, job, revision, age, &mut effects);
        let round = self.rounds.open(job, revision);
        effects.extend(self.run_due_work(now));
        effects.extend(self.ask_round(now, round));
        (round, effects)
    }

    /// Asks the others, once more if need be: what they answered first was perhaps not proved yet.
    pub(crate) fn ask_round(&self, now: MonotonicTime, round: RoundId) -> Vec<Effect> {
        let Some((job, revision)) = self.rounds.pending_cancellation(round) else {
            return Vec::new();
        };
        let age = self
            .cancellation_deadlines
            .age(now, job)
            .unwrap_or_default();
        let message = Message::Cancelled {
            round,
            job: job.clone(),
            revision,
            age,
        };
        let peers = self.config.peers.keys();
        peers
            .map(|peer| Effect::Peer(peer.clone(), message.clone()))
            .collect()
    }

    pub(crate) fn is_settled(&mut self, now: MonotonicTime, round: RoundId) -> bool {
        let Some(job) = self
            .rounds
            .pending_cancellation(round)
            .map(|(job, _)| job.clone())
        else {
            return false;
        };
        let settled = self.settled(now, &job);
        self.rounds
            .on_acknowledged(round, &job, &self.config.member, settled);
        let machines_with_job = self.cache.machines_with_job(&job).map(|id| {
            let shard = id.shard(self.config.shards());
            let shard_record = self.cache.shards.get(&shard);
            (shard, shard_record.map(|l| l.revision))
        });
        let view = CacheView {
            revision: self.cache.revision,
            shards_with_job: machines_with_job.collect(),
        };
        self.rounds.is_settled(round, &view)
    }

    /// The shards held here in which a cancelled job's tasks are proved gone. Where neither a stop
    /// nor a deletion was answered for as long as users allow, it has to do that this shard owner
    /// knows: a user is not left without an answer for longer.
    pub(super) fn settled(&self, now: MonotonicTime, job: &JobId) -> Vec<ShardFence> {
        let age = self.cancellation_deadlines.age(now, job);
        let long = age.is_some_and(|a| a >= self.config.cancel);
        let gone = |id: &MachineId| self.autoscaler.is_deleted(id);
        self.shard_owner
            .cleared_shards(job, long, gone, &self.cache)
    }

    pub(crate) fn close_round(&mut self, round: RoundId) {
        self.rounds.close(round);
    }

    /// Acts on a cancellation as the stream would: its tasks are stopped and none is started.
    pub(super) fn learn_cancelled(
        &mut self,
        now: MonotonicTime,
        job: &JobId,
        revision: Revision,
        age: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.cache.cancel(job, revision);
        let machines_with_job = self.cache.machines_with_job(job).cloned().collect();
        self.cancellation_deadlines.cancelled(now, job, age);
        let mut out = Vec::new();
        self.shard_owner
            .on_changed(now, &machines_with_job, &self.cache, &mut out);
        self.apply_owner_effects(now, out, effects);
        self.needs_scheduling = true;
    }

    /// Gives up machines on which a cancelled job's tasks could not be stopped in time.
    pub(super) fn decommission_overdue(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let patience = self.autoscaler.patience(&self.cache);
        let silent = |id: &MachineId| self.scheduler.is_silent(now, id, patience, &self.cache);
        let freed = |attempt: &TaskAttempt| self.scheduler.is_freed(attempt);
        let due =
            self.cancellation_deadlines
                .due(now, self.config.cancel, &self.cache, silent, freed);
        effects.extend(due.unknown_outcomes.into_iter().map(Effect::QueryOutcome));
        if !due.decommission.is_empty() {
            tracing::info!(machines = ?due.decommission, "machines are deleted: tasks of a cancelled job did not stop in time");
            self.autoscaler.decommission(now, due.decommission);
            self.next_autoscaler_step = now;
        }
    }

    /// The same by a shard owner that does not lead, or does not know that it still does: a deletion
    /// needs the cloud and no fence. In an outage of the key-value store nobody leads for certain.
    pub(super) fn decommission_owned(
        &mut self,
        now: MonotonicTime,
        due: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !due {
            return;
        }
        let patience = self.autoscaler.patience(&self.cache);
        let shard_owner = &self.shard_owner;
        let silent = |id: &MachineId| shard_owner.is_silent(now, id, patience);
        let freed = |attempt: &TaskAttempt| shard_owner.is_gone(attempt);
        let due =
            self.cancellation_deadlines
                .due(now, self.config.cancel, &self.cache, silent, freed);
        self.decommissioning
            .retain(|_, at| now.since(*at) < DECOMMISSION_RETRY_INTERVAL);
        let (asked, autoscaler) = (&self.decommissioning, &self.autoscaler);
        let new = |id: &MachineId| !asked.contains_key(id) && !autoscaler.is_deleted(id);
        let ids: Vec<MachineId> = due.decommission.into_iter().filter(new).collect();
        if !ids.is_empty() {
            tracing::info!(machines = ?ids, "owned machines are deleted: tasks of a cancelled job did not stop in time");
            self.decommissioning
                .extend(ids.iter().map(|id| (id.clone(), now)));
            effects.push(Effect::Delete(ids));
        }
    }
}
