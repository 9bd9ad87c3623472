//! Direct commands from a controller to a worker.

use crate::ids::MonotonicTime;
use crate::protocol::Command;
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::{DirectCall, DirectCallResponse, SimulationEvent};
use crate::simulation::guards::DisabledGuard;
use crate::simulation::timing::CALL_TIMEOUT_MS;
use crate::worker_control::{DirectCallOutcome, SentCall};

/// Percent of the calls that arrive long after their sender timed out, under the fault
/// `lost_responses`.
const LOST_CALL_PERCENT: u64 = 10;
/// The latency of a response, in ms.
const RESPONSE_MS: u64 = 2;
/// The delay of a call that is lost for its sender, in ms.
const LOST_CALL_DELAY_MS: u64 = 15_000;
/// The time from the end of a blockage until a delayed call arrives, in ms.
const REDELIVERY_DELAY_MS: u64 = 3;

impl SimulatedCluster {
    /// Delivers direct commands immediately, or later if the machine is unreachable or the call is
    /// lost.
    pub(in crate::simulation) fn handle_direct_call(&mut self, call: DirectCall) {
        let lost = self.faults.lost_responses && self.chance(LOST_CALL_PERCENT);
        let Some(worker) = self.workers.get(&call.machine).filter(|w| !w.dead) else {
            return self.call_missing_machine(&call);
        };
        let link_blocked_until = self.blocked_until(call.caller.node, worker.zone);
        let inbound_cut = worker.inbound_cut_until > self.now;
        let blocked_until = worker.unreachable_until().max(link_blocked_until);
        if inbound_cut && self.disabled_guard == DisabledGuard::UnreachableMachinesAcknowledge {
            return self.acknowledge_without_execution(&call);
        }
        let lost =
            lost || (call.redeliveries == 0 && self.is_dropped_by_partition(link_blocked_until));
        if blocked_until > self.now || (lost && call.redeliveries == 0) {
            return self.delay_call(call, blocked_until, lost);
        }
        self.deliver_call(call);
    }

    fn is_dropped_by_partition(&self, link_until: MonotonicTime) -> bool {
        let blocked = link_until > self.now && link_until == self.active_faults.partition.until;
        blocked && !self.active_faults.partition.delays_messages
    }

    /// Handles a call to a machine that is deleted, is dead or has not booted.
    fn call_missing_machine(&mut self, call: &DirectCall) {
        let deleted = self.observed.deleted_machines.contains(&call.machine);
        if deleted && self.disabled_guard == DisabledGuard::DeletedMachinesAcknowledge {
            let mut worker = self.new_worker(false);
            worker.token = call.token;
            let heartbeat = worker.heartbeat(call.machine.as_str());
            self.respond_to_call(call, RESPONSE_MS, DirectCallOutcome::Done(heartbeat));
        } else if call.redeliveries == 0 {
            self.time_out_call(call);
        }
    }

    /// Reports the commands as executed without executing them.
    fn acknowledge_without_execution(&mut self, call: &DirectCall) {
        if let Some(worker) = self.workers.get_mut(&call.machine) {
            let heartbeat = worker.heartbeat(call.machine.as_str());
            self.respond_to_call(call, RESPONSE_MS, DirectCallOutcome::Done(heartbeat));
        }
    }

    /// Delays the call until the machine is reachable again. The sender times out in the meantime.
    fn delay_call(&mut self, mut call: DirectCall, blocked_until: MonotonicTime, lost: bool) {
        if call.redeliveries == 0 {
            self.time_out_call(&call);
        }
        let blocked_ms = blocked_until.since(self.now).0;
        let wait_ms = blocked_ms.max(if lost { LOST_CALL_DELAY_MS } else { 0 });
        call.redeliveries += 1;
        self.schedule_in(
            wait_ms + REDELIVERY_DELAY_MS,
            SimulationEvent::DirectCall(call),
        );
    }

    fn deliver_call(&mut self, mut call: DirectCall) {
        let now = self.now;
        if self.ignores_launches() {
            call.commands.clear();
        }
        if call.redeliveries > 0 {
            self.count_late_launches(&call);
        }
        let Some(worker) = self.workers.get_mut(&call.machine) else {
            return;
        };
        let accepted = call.token >= worker.token && call.epoch == worker.epoch;
        let mut launched = Vec::new();
        if accepted {
            worker.token = call.token;
            launched = worker.execute(now, &call.commands);
        }
        let heartbeat = worker.heartbeat(call.machine.as_str());
        self.check_launches(&call.machine, &launched, call.redeliveries == 0);
        if call.redeliveries == 0 {
            let outcome = match accepted {
                true => DirectCallOutcome::Done(heartbeat),
                false => DirectCallOutcome::Rejected(Some(heartbeat)),
            };
            self.respond_to_call(&call, RESPONSE_MS, outcome);
        }
        if accepted && let Some(ms) = self.duplicate_delay() {
            call.redeliveries += 1;
            self.schedule_in(ms, SimulationEvent::DirectCall(call));
        }
    }

    /// Counts the launches in a late call by what has happened since they were sent.
    fn count_late_launches(&mut self, call: &DirectCall) {
        let launched = call.commands.iter().filter_map(|command| match command {
            Command::Launch(attempt) => Some(attempt),
            Command::Stop(..) | Command::Forget(_) => None,
        });
        for attempt in launched {
            let Some(worker) = self.workers.get(&call.machine) else {
                return;
            };
            let is_forgotten = worker.forgotten.get(attempt) == Some(&call.epoch);
            let is_later_epoch = worker.epoch > call.epoch;
            let is_moved = self
                .live_attempts()
                .any(|other| other.attempt.task == attempt.task && *other.machine != call.machine);
            let is_cancelled = self.confirmed_cancellations.contains_key(&attempt.task.job);
            let is_restarted = self.nodes[call.caller.node].generation > call.caller.generation;
            let counts = &mut self.observed.late_launches;
            counts.forgotten += u64::from(is_forgotten && !is_later_epoch);
            counts.moved += u64::from(is_moved);
            counts.cancelled += u64::from(is_cancelled);
            counts.later_epoch += u64::from(is_later_epoch);
            counts.controller_restarted += u64::from(is_restarted);
        }
    }

    fn time_out_call(&mut self, call: &DirectCall) {
        let outcome = match self.disabled_guard {
            DisabledGuard::LostCallsCountAsUnsent => DirectCallOutcome::NotSent,
            _ => DirectCallOutcome::Unknown,
        };
        self.respond_to_call(call, CALL_TIMEOUT_MS, outcome);
    }

    fn respond_to_call(&mut self, call: &DirectCall, ms: u64, outcome: DirectCallOutcome) {
        let response = DirectCallResponse {
            caller: call.caller,
            call: SentCall {
                machine: call.machine.clone(),
                id: call.id,
                token: call.token,
            },
            outcome,
        };
        self.schedule_in(ms, SimulationEvent::DirectCallResponse(response));
    }
}
