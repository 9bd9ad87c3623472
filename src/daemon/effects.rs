//! Carries out the controller's effects and passes their outcomes back to it.

use super::node::Node;
use crate::cloud::RentOutcome;
use crate::controller::{Effect, TxnRequester};
use crate::http::{CallError, Method, Response};
use crate::ids::{JobId, MachineId};
use crate::protocol::store::Txn;
use crate::protocol::{self, Heartbeat, RentRequest, path};
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::worker_control::{DirectCall, DirectCallOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

impl Node {
    /// Sends messages to peers immediately and starts a routine for each other effect.
    pub(super) fn execute(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            let node = self.clone();
            match effect {
                Effect::SendToPeer(member, message) => self.send(&member, message),
                Effect::Txn {
                    requester,
                    class,
                    txn,
                } => runtime::spawn(node.run_transaction(requester, class, txn)),
                Effect::CallWorker(call) => runtime::spawn(node.run_direct_call(call)),
                Effect::RentMachines(request) => runtime::spawn(node.rent_machines(request)),
                Effect::DeleteMachines(ids) => runtime::spawn(node.delete_machines(ids)),
                Effect::QueryJobOutcome(job) => runtime::spawn(node.query_job_outcome(job)),
                Effect::ListMachines => runtime::spawn(node.list_machines()),
                Effect::FetchCatalog => runtime::spawn(node.fetch_catalog()),
            }
        }
    }

    async fn run_transaction(
        self: Rc<Self>,
        requester: TxnRequester,
        class: RequestClass,
        txn: Txn,
    ) {
        let outcome = self.store.txn(class, &txn).await;
        tracing::debug!(?requester, ?outcome, "transaction outcome received");
        self.update(|controller, now| controller.on_txn_outcome(now, &requester, &outcome));
    }

    async fn run_direct_call(self: Rc<Self>, call: DirectCall) {
        let outcome = match call.addr.parse() {
            Err(_) => DirectCallOutcome::NotSent,
            Ok(addr) => {
                let body =
                    protocol::encode_commands(call.sent.token, Some(call.epoch), &call.commands);
                self.call_worker(addr, &body).await
            }
        };
        self.update(|controller, now| controller.on_direct_call_outcome(now, &call.sent, outcome));
    }

    async fn call_worker(&self, addr: SocketAddr, body: &[u8]) -> DirectCallOutcome {
        let result = self
            .worker_client
            .call(
                addr,
                Method::Post,
                path::COMMANDS,
                body,
                WORKER_CALL_TIMEOUT,
            )
            .await;
        match result {
            Ok(response) => direct_call_outcome(&response),
            Err(CallError::NotSent) => DirectCallOutcome::NotSent,
            Err(CallError::Unknown | CallError::TooLarge) => DirectCallOutcome::Unknown,
        }
    }

    async fn rent_machines(self: Rc<Self>, request: RentRequest) {
        let outcome = self.cloud.rent(&request).await;
        self.log_rental(&request, &outcome);
        self.update(|controller, now| controller.on_rent_outcome(now, &request, outcome));
    }

    /// Logs the outcome of a scale-out request. If the outcome is `Again` several times for the
    /// same request, only the first is logged; the line of the final outcome says how many there
    /// were.
    fn log_rental(&self, request: &RentRequest, outcome: &RentOutcome) {
        let mut refused_rentals = self.refused_rentals.borrow_mut();
        if matches!(outcome, RentOutcome::Again) {
            if refused_rentals
                .record(self.now(), &request.request)
                .is_some()
            {
                tracing::info!(?request, ?outcome, "scale-out call to the cloud finished");
            }
            return;
        }
        let refusals = refused_rentals.end(&request.request).map_or(0, |e| e.count);
        tracing::info!(
            ?request,
            ?outcome,
            refusals,
            "scale-out call to the cloud finished"
        );
    }

    async fn delete_machines(self: Rc<Self>, ids: Vec<MachineId>) {
        let ok = self.cloud.delete(&ids).await;
        tracing::info!(?ids, ok, "machine deletion call to the cloud finished");
        self.update(|controller, now| controller.on_delete_outcome(now, &ids, ok));
    }

    async fn query_job_outcome(self: Rc<Self>, job: JobId) {
        if let Some(state) = self.api.final_job_state(&job).await {
            self.update(|controller, now| controller.on_job_outcome(now, &job, state));
        }
    }

    async fn list_machines(self: Rc<Self>) {
        let machines = self.cloud.list().await;
        self.update(|controller, now| controller.on_machine_list(now, machines));
    }

    async fn fetch_catalog(self: Rc<Self>) {
        let catalog = self.cloud.catalog().await;
        self.update(|controller, now| controller.on_catalog(now, catalog));
    }
}

fn direct_call_outcome(response: &Response) -> DirectCallOutcome {
    let heartbeat = Heartbeat::parse(&response.body).ok();
    match (response.status, heartbeat) {
        (200, Some(heartbeat)) => DirectCallOutcome::Done(heartbeat),
        (200, None) => DirectCallOutcome::Unknown,
        (409 | 400, heartbeat) => DirectCallOutcome::Rejected(heartbeat),
        _ => DirectCallOutcome::Unknown,
    }
}
