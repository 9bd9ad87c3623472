//! Routes messages from other controllers, and messages between this controller's own duties.

use super::Controller;
use super::effects::{Effect, TxnRequester};
use crate::cloud;
use crate::ids::{MachineId, MemberId, MonotonicTime, ShardId};
use crate::peers::{AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message};
use crate::placement;
use crate::store::rate_limiter::RequestClass;
use crate::worker_control;
use std::collections::VecDeque;

impl Controller {
    /// Handles a message from another controller.
    pub(crate) fn on_peer_message(
        &mut self,
        now: MonotonicTime,
        from: &MemberId,
        message: Message,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Cancelled {
                round,
                job,
                revision,
                age,
            } => {
                self.apply_cancellation(now, &job, revision, age, &mut effects);
                let cleared_shards = self.cleared_shards(now, &job);
                let acknowledgement = Message::CancellationAcknowledged {
                    round,
                    job,
                    cleared_shards,
                };
                effects.push(Effect::SendToPeer(from.clone(), acknowledgement));
            }
            Message::CancellationAcknowledged {
                round,
                job,
                cleared_shards,
            } => {
                let rounds = &mut self.cancellation.rounds;
                rounds.on_acknowledged(round, &job, from, cleared_shards);
            }
            message => self.dispatch(now, message, &mut effects),
        }
        effects.extend(self.run_due_work(now));
        effects
    }

    /// Passes a message to the duty that handles it. It may come from any controller, including this one.
    fn dispatch(&mut self, now: MonotonicTime, message: Message, effects: &mut Vec<Effect>) {
        match message {
            Message::Allot(allotment) => {
                let mut out = Vec::new();
                self.shard_owner
                    .on_allot(now, allotment, &self.cache, &mut out);
                self.apply_owner_effects(now, out, effects);
            }
            Message::Stop {
                machine,
                attempt,
                grace,
            } => {
                let mut out = Vec::new();
                self.shard_owner
                    .on_stop(now, &machine, attempt, grace, &self.cache, &mut out);
                self.apply_owner_effects(now, out, effects);
            }
            Message::Freed(attempts) => self.on_attempts_freed(attempts),
            Message::Refused { fence, attempts } => {
                self.scheduler.on_refused(fence, &attempts);
                self.timers.schedule.request();
            }
            Message::EndedAttempt(ended) => self.on_attempt_ended(now, &ended),
            Message::MisdirectedHeartbeats(machines) => {
                self.reachability.on_misdirected_heartbeats(now, machines);
            }
            Message::Health(health) => self.on_health(now, health),
            // Handled by the daemon, or by `on_peer_message`.
            Message::Hello { .. }
            | Message::PeerStatus { .. }
            | Message::Relay { .. }
            | Message::ForwardedRequest { .. }
            | Message::ForwardedResponse { .. }
            | Message::Cancelled { .. }
            | Message::CancellationAcknowledged { .. } => {}
        }
    }

    fn on_attempts_freed(&mut self, attempts: Vec<FreedAttempt>) {
        for freed in attempts.iter().filter(|freed| freed.done) {
            let task = &freed.attempt.task;
            if let Some(job) = self.cache.jobs.get_mut(&task.job) {
                job.report_done(task.index);
            }
        }
        self.scheduler.on_freed(attempts);
        self.timers.schedule.request();
    }

    fn on_attempt_ended(&mut self, now: MonotonicTime, ended: &EndedAttempt) {
        if ended.outcome == AttemptOutcome::Done
            && let (Some(pipeline), Some(ran)) = (&ended.pipeline, ended.run_time)
        {
            self.history
                .add(pipeline, &ended.type_name, ended.estimate_s, ran);
        }
        self.scheduler.on_ended(now, ended, &self.cache);
        self.timers.schedule.request();
    }

    fn on_health(&mut self, now: MonotonicTime, health: Vec<MachineHealth>) {
        // An owner reports a single machine only when its state has changed.
        let is_urgent = health.len() == 1;
        for machine in &health {
            if let Some(record) = &machine.unstored_record {
                self.cache
                    .insert_unrecorded_machine(machine.machine.clone(), record.clone());
            }
        }
        self.scheduler.on_health(now, health, &self.cache);
        if is_urgent {
            self.timers.schedule.request();
        }
    }

    /// Carries out the shard owner's effects: sends its messages for the leader, adds or removes machines
    /// without a record in the watch cache, and turns the other effects into effects of the controller.
    pub(super) fn apply_owner_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<worker_control::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let mut queue = VecDeque::from(out);
        while let Some(effect) = queue.pop_front() {
            match effect {
                worker_control::Effect::Txn { write, txn } => effects.push(Effect::Txn {
                    requester: TxnRequester::ShardOwner(write),
                    class: RequestClass::Place,
                    txn,
                }),
                worker_control::Effect::CallWorker(call) => effects.push(Effect::CallWorker(call)),
                worker_control::Effect::ToLeader(message) => {
                    self.send_to_leader(now, message, effects);
                }
                worker_control::Effect::MachineDiscovered(id, record) => {
                    self.cache.insert_unrecorded_machine(id, record);
                    self.shard_owner.request_full_reconcile();
                    self.timers.reconcile.expedite(now);
                }
                worker_control::Effect::UnrecordedMachineLost(id) => {
                    self.cache.remove_unrecorded_machine(&id)
                }
                worker_control::Effect::RaiseShardFence(shard) => {
                    self.raise_shard_fence(shard, effects)
                }
            }
        }
    }

    fn send_to_leader(&mut self, now: MonotonicTime, message: Message, effects: &mut Vec<Effect>) {
        if let Some(leader) = &self.cache.leader {
            let member = leader.value.member.clone();
            self.send(now, member, message, effects);
        }
    }

    fn send(
        &mut self,
        now: MonotonicTime,
        to: MemberId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if to == self.config.member {
            self.dispatch(now, message, effects);
        } else {
            effects.push(Effect::SendToPeer(to, message));
        }
    }

    fn raise_shard_fence(&self, shard: ShardId, effects: &mut Vec<Effect>) {
        if let Some(txn) = self.leadership.raise_shard_fence(shard, &self.cache) {
            effects.push(Effect::unattended_txn(RequestClass::Place, txn));
        }
    }

    /// Carries out the scheduler's effects: sends its messages to the shard owners, and raises the fences of
    /// shards.
    pub(super) fn apply_scheduler_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<placement::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        for effect in out {
            match effect {
                placement::Effect::ToShardOwner(member, message) => {
                    self.send(now, member, *message, effects);
                }
                placement::Effect::RaiseShardFence(shard) => self.raise_shard_fence(shard, effects),
            }
        }
    }

    /// Converts the autoscaler's effects to effects of the controller. For the record of a deleted machine
    /// this is a transaction, unless its deletion is deferred or not needed.
    pub(super) fn apply_cloud_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<cloud::Effect>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in out {
            match effect {
                cloud::Effect::RentMachines(request) => effects.push(Effect::RentMachines(request)),
                cloud::Effect::DeleteMachines(ids) => effects.push(Effect::DeleteMachines(ids)),
                cloud::Effect::ListMachines => effects.push(Effect::ListMachines),
                cloud::Effect::FetchCatalog => effects.push(Effect::FetchCatalog),
                cloud::Effect::DeleteRecord(id) => effects.extend(self.delete_record(now, &id)),
            }
        }
        effects
    }

    fn delete_record(&mut self, now: MonotonicTime, id: &MachineId) -> Option<Effect> {
        self.cleanup.delete_machine_record(
            now,
            id,
            &self.config,
            &mut self.scheduler,
            &mut self.cache,
        )
    }
}
