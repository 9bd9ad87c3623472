//! Heartbeats that a controller forwards to the shard owner of their machine, around a partition of
//! zones. As in the daemon, the response is matched to the waiting worker by the id of the forwarded
//! request, and it arrives at whichever process runs on the node by then.

use crate::ids::{ForwardedRequestId, MachineId, MemberId};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::{
    ControllerProcess, HeartbeatDelivery, HeartbeatResponse, SimulationEvent,
};
use crate::simulation::guards::DisabledGuard;
use crate::simulation::timing::CALL_TIMEOUT_MS;
use crate::simulation::topology::{MEMBERS, member_index};
use crate::simulation::violations::ViolationKind;
use crate::worker_control::HeartbeatAnswer;

/// The latency of a forwarded request or its response, in ms.
const TRANSIT_MS: u64 = 5;
/// Percent of the forwarded requests and responses that are delayed under the fault
/// `late_forwarded_responses`, and their latency in ms.
const DELAYED_PERCENT: u64 = 70;
const DELAYED_TRANSIT_MS: (u64, u64) = (300, 2500);
/// When the controller that waits for a delayed response restarts, in ms.
const RESTART_AFTER_MS: (u64, u64) = (10, 300);
/// The latency of the response to the worker, in ms.
const RESPONSE_MS: u64 = 2;

/// A worker whose heartbeat was forwarded.
#[derive(Debug)]
pub(in crate::simulation) struct WaitingWorker {
    /// The worker's machine.
    machine: MachineId,
    /// The ticket of the heartbeat; see [`HeartbeatDelivery::ticket`].
    ticket: u64,
    /// The index of the shard owner, to which the worker is redirected without a response.
    owner: usize,
}

/// A forwarded heartbeat on its way to the shard owner.
pub(in crate::simulation) struct ForwardedHeartbeat {
    /// The index of the controller that forwards it.
    from: usize,
    /// The index of the shard owner.
    pub to: usize,
    /// The id that the response repeats.
    id: ForwardedRequestId,
    /// The ticket of the heartbeat.
    ticket: u64,
    /// The worker's heartbeat.
    heartbeat: crate::protocol::Heartbeat,
}

/// The response to a forwarded heartbeat.
pub(in crate::simulation) struct ForwardedAnswer {
    /// The index of the shard owner.
    from: usize,
    /// The index of the controller that has forwarded the heartbeat.
    pub to: usize,
    /// The id of the forwarded heartbeat.
    id: ForwardedRequestId,
    /// The ticket of the forwarded heartbeat.
    ticket: u64,
    /// The answer to the worker; `None` if it should send the heartbeat itself.
    answer: Option<HeartbeatAnswer>,
}

/// The end of the wait for the response to a forwarded heartbeat.
pub(in crate::simulation) struct ForwardTimeout {
    /// The process that waits.
    pub process: ControllerProcess,
    /// The id of the forwarded heartbeat.
    id: ForwardedRequestId,
}

impl SimulatedCluster {
    /// Forwards a heartbeat to the shard owner of its machine, unless the worker should send it there
    /// itself. Returns whether it is forwarded.
    pub(in crate::simulation) fn forward_heartbeat(
        &mut self,
        delivery: &HeartbeatDelivery,
        owner: &MemberId,
    ) -> bool {
        if !self.faults.zone_partition || self.disabled_guard == DisabledGuard::RelayDisabled {
            return false;
        }
        let routes = self.routes(delivery.node);
        let Some(to) = member_index(owner.as_str())
            .filter(|_| routes.should_relay_heartbeat(self.now, owner, &delivery.machine))
        else {
            return false;
        };
        let reached = routes.reachable_peers(self.now).contains(owner)
            || self.relay_between(delivery.node, to).is_some();
        let waiting = WaitingWorker {
            machine: delivery.machine.clone(),
            ticket: delivery.ticket,
            owner: to,
        };
        let pending = &mut self.nodes[delivery.node].pending_forwards;
        let Some(id) = pending.register(owner, waiting) else {
            return false;
        };
        let timeout = ForwardTimeout {
            process: self.process(delivery.node),
            id,
        };
        self.schedule_in(CALL_TIMEOUT_MS, SimulationEvent::ForwardTimeout(timeout));
        if reached {
            let forwarded = ForwardedHeartbeat {
                from: delivery.node,
                to,
                id,
                ticket: delivery.ticket,
                heartbeat: delivery.heartbeat.clone(),
            };
            let ms = self.forward_transit_ms();
            self.schedule_in(ms, SimulationEvent::ForwardedHeartbeat(forwarded));
        }
        true
    }

    fn forward_transit_ms(&mut self) -> u64 {
        match self.faults.late_forwarded_responses && self.chance(DELAYED_PERCENT) {
            true => self.pick(DELAYED_TRANSIT_MS.0, DELAYED_TRANSIT_MS.1),
            false => TRANSIT_MS,
        }
    }

    /// Delivers a forwarded heartbeat to the shard owner, which sends its response to the node that
    /// forwarded it.
    pub(in crate::simulation) fn receive_forwarded_heartbeat(
        &mut self,
        forwarded: ForwardedHeartbeat,
    ) {
        let now = self.now;
        let ForwardedHeartbeat {
            from,
            to,
            id,
            ticket,
            heartbeat,
        } = forwarded;
        let Some(controller) = self.nodes[to].controller.as_mut() else {
            return;
        };
        let (answer, effects) = controller.on_relayed_heartbeat(now, &heartbeat);
        self.execute(to, effects);
        if let Some(answer) = &answer {
            self.digest.add_answer(to, answer);
        }
        let answer = ForwardedAnswer {
            from: to,
            to: from,
            id,
            ticket,
            answer,
        };
        let ms = self.forward_transit_ms();
        if ms > TRANSIT_MS {
            let restart_ms = self.pick(RESTART_AFTER_MS.0, RESTART_AFTER_MS.1);
            self.schedule_in(restart_ms, SimulationEvent::RestartController(from));
        }
        self.schedule_in(ms, SimulationEvent::ForwardedAnswer(answer));
    }

    /// Delivers the response to a forwarded heartbeat, and answers the worker that waits for it.
    pub(in crate::simulation) fn receive_forwarded_answer(&mut self, forwarded: ForwardedAnswer) {
        let node = &mut self.nodes[forwarded.to];
        let owner = MemberId::from(MEMBERS[forwarded.from]);
        if node.controller.is_none() {
            return;
        }
        let Some(waiting) = node.pending_forwards.complete(forwarded.id, &owner) else {
            return;
        };
        if waiting.ticket != forwarded.ticket {
            self.record_violation(ViolationKind::CommandsMisdelivered, &waiting.machine);
        }
        let Some(HeartbeatAnswer::Commands(token, commands)) = forwarded.answer else {
            return self.redirect_waiting(waiting);
        };
        self.observed.relayed_messages += 1;
        let response = HeartbeatResponse {
            machine: waiting.machine,
            ticket: waiting.ticket,
            token,
            commands,
        };
        self.schedule_in(RESPONSE_MS, SimulationEvent::HeartbeatResponse(response));
    }

    /// Redirects a worker to the shard owner if the response to its forwarded heartbeat is late.
    pub(in crate::simulation) fn time_out_forward(&mut self, timeout: &ForwardTimeout) {
        let ForwardTimeout { process, id } = timeout;
        let node = &mut self.nodes[process.node];
        if node.process(process.generation).is_none() {
            return;
        }
        if let Some(waiting) = node.pending_forwards.remove(*id) {
            self.redirect_waiting(waiting);
        }
    }

    fn redirect_waiting(&mut self, waiting: WaitingWorker) {
        let WaitingWorker {
            machine,
            ticket,
            owner,
        } = waiting;
        self.redirect(RESPONSE_MS, machine, ticket, Some(owner));
    }
}
