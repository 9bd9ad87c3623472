//! Execution of the controllers' effects: requests to the key-value store, the workers, other
//! controllers and the cloud, and delivery of the responses.

use super::cluster::SimulatedCluster;
use super::events::{
    ControllerProcess, DirectCall, DirectCallResponse, PeerDelivery, SimulationEvent, TxnRequest,
    TxnResponse,
};
use super::guards::DisabledGuard;
use super::timing::{CALL_TIMEOUT_MS, SHARD_LEASE_MS};
use super::topology::MEMBERS;
use crate::controller::{Effect, TxnRequester};
use crate::ids::MemberId;
use crate::protocol::store::Txn;
use crate::store::{Refusal, TxnOutcome};

/// The latency of a request to the store or a worker, in ms.
const REQUEST_MS: (u64, u64) = (1, 5);
/// The latency of a response of the store, in ms.
const RESPONSE_MS: (u64, u64) = (1, 4);
/// The latency of a request to the store while it is slow, in ms.
const SLOW_REQUEST_MS: (u64, u64) = (100, 1400);
/// The delay after which a transaction whose response is lost is executed, in ms.
const LOST_REQUEST_MS: (u64, u64) = (1, 20_000);
/// Percent of the transactions whose response is lost: under the fault `lost_responses`, and while
/// the store is slow.
const LOST_TXN_PERCENT: u64 = 12;
const SLOW_STORE_LOST_TXN_PERCENT: u64 = 30;
/// The latency of a call to the cloud, in ms.
const CLOUD_CALL_MS: (u64, u64) = (50, 200);
/// Percent of the requests that are delivered a second time.
const DUPLICATE_PERCENT: u64 = 10;

impl SimulatedCluster {
    /// Executes a controller's effects in order.
    pub(super) fn execute(&mut self, node: usize, effects: Vec<Effect>) {
        let process = self.process(node);
        self.count_releases(&effects);
        for effect in effects {
            self.digest.add_effect(node, &effect);
            self.execute_effect(process, effect);
        }
    }

    fn execute_effect(&mut self, caller: ControllerProcess, effect: Effect) {
        match effect {
            Effect::Txn { requester, txn, .. } => self.send_txn(caller, requester, txn),
            Effect::CallWorker(call) => {
                let ms = self.pick(REQUEST_MS.0, REQUEST_MS.1);
                let call = DirectCall {
                    caller,
                    machine: call.sent.machine,
                    id: call.sent.id,
                    token: call.sent.token,
                    epoch: call.epoch,
                    commands: call.commands,
                    redeliveries: 0,
                };
                self.schedule_in(ms, SimulationEvent::DirectCall(call));
            }
            Effect::SendToPeer(member, message) => {
                self.send_to_peer(caller.node, &member, &message)
            }
            effect => self.send_to_cloud(caller, effect),
        }
    }

    fn send_txn(&mut self, caller: ControllerProcess, requester: TxnRequester, txn: Txn) {
        let dependents = matches!(requester, TxnRequester::CancelledDependents(_));
        if dependents && self.disabled_guard == DisabledGuard::DependentsNotCancelled {
            return;
        }
        let slow = self.active_faults.slow_store_until > self.now;
        let lost = (self.faults.lost_responses && self.chance(LOST_TXN_PERCENT))
            || (slow && self.chance(SLOW_STORE_LOST_TXN_PERCENT));
        let (from, to) = match (lost, slow) {
            (true, _) => LOST_REQUEST_MS,
            (false, true) => SLOW_REQUEST_MS,
            (false, false) => REQUEST_MS,
        };
        let ms = self.pick(from, to);
        if lost {
            let timeout_response = TxnResponse {
                caller,
                requester: requester.clone(),
                outcome: TxnOutcome::Unknown,
            };
            self.schedule_in(
                CALL_TIMEOUT_MS,
                SimulationEvent::TxnResponse(timeout_response),
            );
        }
        let request = TxnRequest {
            caller,
            requester,
            txn,
            expects_response: !lost,
        };
        self.schedule_in(ms, SimulationEvent::TxnRequest(request));
    }

    fn send_to_cloud(&mut self, caller: ControllerProcess, effect: Effect) {
        let immediate = self.disabled_guard == DisabledGuard::MissingDependencyCountsAsDone;
        let ms = match immediate {
            true => 0,
            false => self.pick(CLOUD_CALL_MS.0, CLOUD_CALL_MS.1),
        };
        self.schedule_in(ms, SimulationEvent::CloudCall(caller, effect));
    }

    /// Executes a transaction in the key-value store and schedules the response.
    pub(super) fn receive_txn(&mut self, request: TxnRequest) {
        let TxnRequest {
            caller,
            requester,
            txn,
            expects_response,
        } = request;
        let store_cut = self.nodes[caller.node].store_cut_until > self.now;
        let outcome =
            if (store_cut && expects_response) || !self.admits(caller.node, &requester, &txn) {
                TxnOutcome::Refused(Refusal::StoreUnavailable)
            } else {
                self.store.txn(&txn)
            };
        self.check_final_states();
        self.duplicate_txn(caller, &requester, txn);
        if !expects_response {
            return;
        }
        self.check_recreated_records(&outcome);
        let ms = self.pick(RESPONSE_MS.0, RESPONSE_MS.1);
        let response = TxnResponse {
            caller,
            requester,
            outcome,
        };
        self.schedule_in(ms, SimulationEvent::TxnResponse(response));
    }

    fn duplicate_txn(&mut self, caller: ControllerProcess, requester: &TxnRequester, txn: Txn) {
        if let Some(ms) = self.duplicate_delay() {
            let duplicate = TxnRequest {
                caller,
                requester: requester.clone(),
                txn,
                expects_response: false,
            };
            self.schedule_in(ms, SimulationEvent::TxnRequest(duplicate));
        }
    }

    /// Checks that a transaction has not recreated the record of a deleted machine. Under faults
    /// that delay requests, a late request may recreate a record for a while; then
    /// `check_deleted_records_removed` checks that the record is removed again.
    fn check_recreated_records(&mut self, outcome: &TxnOutcome) {
        let late_requests = self.faults.lost_responses || self.faults.slow_store;
        if let TxnOutcome::Committed(revision) = outcome
            && !late_requests
            && !self.active_faults.healed
        {
            self.check_no_record_recreated(*revision);
        }
    }

    /// Delivers the outcome of a transaction to its caller.
    pub(super) fn receive_txn_response(&mut self, response: &TxnResponse) {
        let now = self.now;
        let TxnResponse {
            requester, outcome, ..
        } = response;
        self.with_controller(response.caller, |c| {
            c.on_txn_outcome(now, requester, outcome)
        });
    }

    /// Delivers the outcome of direct commands to the controller that sent them.
    pub(super) fn receive_call_response(&mut self, response: DirectCallResponse) {
        let now = self.now;
        let DirectCallResponse {
            caller,
            call,
            outcome,
        } = response;
        self.with_controller(caller, |c| c.on_direct_call_outcome(now, &call, outcome));
    }

    /// Delivers a message to a controller.
    pub(super) fn receive_peer_message(&mut self, delivery: PeerDelivery) {
        let now = self.now;
        let from = MemberId::from(MEMBERS[delivery.from]);
        let process = self.process(delivery.to);
        self.with_controller(process, |c| c.on_peer_message(now, &from, delivery.message));
    }

    /// Decides at random whether a request is duplicated. Returns the delay in ms of the second
    /// delivery, or `None`.
    pub(super) fn duplicate_delay(&mut self) -> Option<u64> {
        let duplicated = self.faults.duplicate_requests && self.chance(DUPLICATE_PERCENT);
        duplicated.then(|| self.pick(200, 4 * SHARD_LEASE_MS))
    }
}
