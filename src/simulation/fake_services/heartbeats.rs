//! Ticks of workers: tasks end, leases expire, and heartbeats are sent and answered.

use crate::ids::{JobId, MachineId, MonotonicTime};
use crate::protocol::{ExitReason, Heartbeat, JobKind, TaskState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::{
    HeartbeatDelivery, HeartbeatRedirect, HeartbeatResponse, SimulationEvent,
};
use crate::simulation::fakes::AwaitedResponse;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::timing::{HEARTBEAT_TIMEOUT_MS, SHARD_LEASE_MS};
use crate::simulation::topology::member_index;
use crate::worker_control::HeartbeatAnswer;

/// The interval between ticks of a worker, in ms.
const WORKER_TICK_MS: u64 = 100;
/// The interval between heartbeats, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// The delay of the next heartbeat after a response with commands or a higher fencing token, in ms.
const PROMPT_HEARTBEAT_MS: u64 = 500;
/// The delay of the next heartbeat after a worker has switched to the next controller, in ms.
const NEXT_CONTROLLER_MS: u64 = 1000;
/// The latency of a message between a worker and a controller, in ms.
const TRANSIT_MS: (u64, u64) = (1, 4);
/// The latency of a late heartbeat, in ms.
const LATE_HEARTBEAT_MS: (u64, u64) = (3000, 9000);

impl SimulatedCluster {
    /// Runs one tick of a worker.
    pub(in crate::simulation) fn worker_tick(&mut self, id: &MachineId) {
        let ticket = self.queue.next_sequence();
        let now = self.now;
        let Some(worker) = self.workers.get(id).filter(|w| !w.dead) else {
            return;
        };
        let mut ended = Vec::new();
        let mut delivery = None;
        if worker.hang_until <= now {
            self.expire_worker_lease(id);
            ended = self.end_finished_tasks(id);
            delivery = self.next_delivery(id, ticket);
        }
        for job in ended {
            self.cancel_at_completion(job);
        }
        if let Some(delivery) = delivery {
            self.send_heartbeat(delivery);
        }
        self.schedule_in(WORKER_TICK_MS, SimulationEvent::WorkerTick(id.clone()));
    }

    /// Ends all tasks of a worker and begins a new epoch, if no heartbeat was answered for the
    /// duration of a lease.
    fn expire_worker_lease(&mut self, id: &MachineId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id)
            && now.since(worker.last_answered_heartbeat).0 > SHARD_LEASE_MS
        {
            worker.epoch.0 += 1;
            self.observed.tasks_lost += worker.running_tasks();
            worker.tasks.clear();
            worker.last_answered_heartbeat = now;
            worker.awaited_response = None;
        }
    }

    /// Ends the array tasks whose run time is over, and returns their jobs.
    fn end_finished_tasks(&mut self, id: &MachineId) -> Vec<JobId> {
        let now = self.now;
        let mut ended = Vec::new();
        let Some(worker) = self.workers.get_mut(id) else {
            return ended;
        };
        for (attempt, task) in &mut worker.tasks {
            let job = &attempt.task.job;
            let array = self.jobs.get(job).is_some_and(|s| s.kind == JobKind::Array);
            if task.state == TaskState::Running && task.until <= now && array {
                task.state = TaskState::Exited;
                task.exit_reason = Some(ExitReason::Done);
                let completed = &mut self.observed.completed_indices;
                completed
                    .entry(job.clone())
                    .or_default()
                    .insert(attempt.task.index);
                ended.push(job.clone());
                worker.next_heartbeat = worker.next_heartbeat.min(now);
            }
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.counts.ended += ended.len() as u64;
        }
        ended
    }

    /// Returns the next heartbeat, if it is due and can be sent.
    fn next_delivery(&mut self, id: &MachineId, ticket: u64) -> Option<HeartbeatDelivery> {
        let (now, controller_count) = (self.now, self.nodes.len());
        let next_controller_at = MonotonicTime(now.0 + NEXT_CONTROLLER_MS);
        let worker = self.workers.get_mut(id)?;
        let timed_out =
            |awaited: AwaitedResponse| now.since(awaited.sent).0 >= HEARTBEAT_TIMEOUT_MS;
        if worker.awaited_response.is_some_and(timed_out) {
            worker.awaited_response = None;
            worker.try_next_node(controller_count, next_controller_at);
        }
        let due = worker.awaited_response.is_none() && now >= worker.next_heartbeat;
        if !due || worker.cut_until > now {
            return None;
        }
        if worker.outbound_cut_until > now {
            worker.try_next_node(controller_count, next_controller_at);
            return None;
        }
        worker.awaited_response = Some(AwaitedResponse { ticket, sent: now });
        worker.next_heartbeat = MonotonicTime(now.0 + HEARTBEAT_INTERVAL_MS);
        Some(HeartbeatDelivery {
            node: worker.node,
            machine: id.clone(),
            ticket,
            heartbeat: worker.heartbeat(id.as_str()),
        })
    }

    fn cancel_at_completion(&mut self, job: JobId) {
        if self.faults.cancel_at_completion && self.chance(30) {
            let ms = self.pick(0, 60);
            self.observed.fault_occurrences += 1;
            self.schedule_in(ms, SimulationEvent::CancelAtCompletion(job));
        }
    }

    fn send_heartbeat(&mut self, delivery: HeartbeatDelivery) {
        let late = self.faults.lost_responses && self.chance(5);
        let (from, to) = if late { LATE_HEARTBEAT_MS } else { TRANSIT_MS };
        let ms = self.pick(from, to);
        if self.faults.duplicate_heartbeats && self.chance(8) {
            let node = self.pick_node();
            let ms = self.pick(1000, 4 * SHARD_LEASE_MS);
            let copy = delivery.heartbeat.clone();
            self.schedule_in(ms, SimulationEvent::DuplicateHeartbeat(node, copy));
        }
        self.schedule_in(ms, SimulationEvent::Heartbeat(delivery));
    }

    /// Delivers a heartbeat to a controller, unless the link is blocked.
    pub(in crate::simulation) fn receive_heartbeat(&mut self, delivery: HeartbeatDelivery) {
        let now = self.now;
        let node = delivery.node;
        let link_blocked_until = self.blocked_until(node, delivery.heartbeat.zone.as_str());
        if link_blocked_until > now {
            let partition = &self.active_faults.partition;
            if link_blocked_until == partition.until && !partition.delays_messages {
                return;
            }
            // The heartbeat arrives once the link is restored, but the worker gets no response to it.
            let ms = link_blocked_until.since(now).0 + 3;
            let copy = SimulationEvent::DuplicateHeartbeat(node, delivery.heartbeat);
            self.schedule_in(ms, copy);
            return;
        }
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            self.redirect(5, delivery.machine, delivery.ticket, None);
            return;
        };
        let (answer, effects) = controller.on_heartbeat(now, &delivery.heartbeat);
        self.digest.add_answer(node, &answer);
        self.execute(node, effects);
        if let HeartbeatAnswer::Redirect(Some(owner)) = &answer
            && self.forward_heartbeat(&delivery, owner)
        {
            return;
        }
        self.respond_to_heartbeat(delivery, answer);
    }

    fn respond_to_heartbeat(&mut self, delivery: HeartbeatDelivery, answer: HeartbeatAnswer) {
        let ms = self.pick(TRANSIT_MS.0, TRANSIT_MS.1);
        match answer {
            HeartbeatAnswer::Commands(token, commands) => {
                let response = HeartbeatResponse {
                    machine: delivery.machine,
                    ticket: delivery.ticket,
                    token,
                    commands,
                };
                self.schedule_in(ms, SimulationEvent::HeartbeatResponse(response));
            }
            HeartbeatAnswer::Redirect(to) => {
                let to = to.and_then(|member| member_index(member.as_str()));
                self.redirect(ms, delivery.machine, delivery.ticket, to);
            }
        }
    }

    /// Sends a redirect to the controller `to`, if it is known, as the response to a heartbeat.
    pub(in crate::simulation) fn redirect(
        &mut self,
        ms: u64,
        machine: MachineId,
        ticket: u64,
        to: Option<usize>,
    ) {
        let redirect = HeartbeatRedirect {
            machine,
            ticket,
            to,
        };
        self.schedule_in(ms, SimulationEvent::HeartbeatRedirect(redirect));
    }

    /// Delivers a duplicate of a heartbeat. The response is dropped.
    pub(in crate::simulation) fn receive_duplicate_heartbeat(
        &mut self,
        node: usize,
        heartbeat: &Heartbeat,
    ) {
        let now = self.now;
        if let Some(controller) = self.nodes[node].controller.as_mut() {
            let (_, effects) = controller.on_heartbeat(now, heartbeat);
            self.execute(node, effects);
        }
    }

    /// Delivers the commands in the response to a heartbeat.
    ///
    /// The worker drops responses that do not answer its last heartbeat, arrive after the timeout,
    /// carry a lower fencing token, or arrive while it is unreachable.
    pub(in crate::simulation) fn receive_heartbeat_response(
        &mut self,
        response: HeartbeatResponse,
    ) {
        let now = self.now;
        let ignores_launches = self.ignores_launches();
        let Some(worker) = self.workers.get_mut(&response.machine).filter(|w| !w.dead) else {
            return;
        };
        let Some(awaited) = worker.awaited_response else {
            return;
        };
        let late = now.since(awaited.sent).0 >= HEARTBEAT_TIMEOUT_MS;
        if awaited.ticket != response.ticket || late || worker.unreachable_until() > now {
            return;
        }
        worker.awaited_response = None;
        if response.token < worker.token {
            return;
        }
        let commands = &response.commands;
        let launched = worker.execute(now, if ignores_launches { &[] } else { commands });
        worker.last_answered_heartbeat = awaited.sent;
        if self.disabled_guard == DisabledGuard::ExitedTasksForgottenOnReport {
            worker.forget_exited();
        }
        if response.token > worker.token || !commands.is_empty() {
            worker.next_heartbeat = MonotonicTime(now.0 + PROMPT_HEARTBEAT_MS);
        }
        worker.token = response.token;
        self.check_launches(&response.machine, &launched, true);
    }

    /// Switches a worker to the controller named by a redirect, or to the next one.
    pub(in crate::simulation) fn receive_redirect(&mut self, redirect: &HeartbeatRedirect) {
        let (now, controller_count) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(&redirect.machine) else {
            return;
        };
        let awaited = worker.awaited_response.map(|awaited| awaited.ticket);
        if worker.inbound_cut_until > now || awaited != Some(redirect.ticket) {
            return;
        }
        worker.awaited_response = None;
        match redirect.to {
            Some(to) if to != worker.node => {
                worker.node = to;
                worker.next_heartbeat = now;
            }
            _ => worker.try_next_node(controller_count, MonotonicTime(now.0 + NEXT_CONTROLLER_MS)),
        }
    }
}
