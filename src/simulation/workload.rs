//! The requests of users of a small fleet.

use super::cluster::SimulatedCluster;
use super::events::{ControllerProcess, SimulationEvent, TxnRequest};
use crate::controller::TxnRequester;
use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec};
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};
use serde_json::json;

/// The time between two submissions, in ms.
const USER_INTERVAL_MS: (u64, u64) = (1500, 6000);
/// The time between two submissions in runs with dependent jobs, in ms.
const DEPENDENT_USER_INTERVAL_MS: (u64, u64) = (100, 2500);

impl SimulatedCluster {
    /// Submits a job, and sometimes cancels one.
    pub(super) fn user_tick(&mut self) {
        if self.fleet.is_some() {
            return self.submit_to_large_fleet();
        }
        if self.active_faults.healed {
            return self.cancel_services();
        }
        let submitted = self.jobs.len() as u64;
        let spec = self.new_job();
        if spec.dependencies.is_empty() {
            self.submit_independent(&spec);
            self.jobs.insert(spec.id.clone(), spec);
        } else {
            self.jobs.insert(spec.id.clone(), spec.clone());
            self.submit_dependent(spec);
        }
        self.cancel_some_job(submitted);
        // Dependent jobs are submitted in quick succession.
        let (from, to) = match self.faults.dependent_jobs && !self.faults.overload {
            true => DEPENDENT_USER_INTERVAL_MS,
            false => USER_INTERVAL_MS,
        };
        let ms = self.pick(from, to);
        self.schedule_in(ms, SimulationEvent::UserTick);
    }

    /// Cancels all services, since they never end by themselves and would keep the run from
    /// finishing.
    fn cancel_services(&mut self) {
        let services = self.jobs.iter().filter(|(_, s)| s.kind == JobKind::Service);
        let services: Vec<JobId> = services.map(|(id, _)| id.clone()).collect();
        for id in &services {
            self.cancel(id);
        }
    }

    /// Returns a random job array, gang or service.
    fn new_job(&mut self) -> JobSpec {
        let id = format!("job-{:06}", self.jobs.len());
        let mut body = crate::protocol::tests::submission(&id);
        let max_tasks = if self.faults.overload { 24 } else { 9 };
        body["sheets"] = json!(self.pick(1, max_tasks));
        body["crew"] = json!(if self.chance(50) { "red" } else { "blue" });
        body["ebb"] = json!(self.chance(50));
        if self.chance(25) {
            body["shape"] = json!("daemon");
            body["precedence"] = json!("high");
            body["sheets"] = json!(self.pick(1, 2));
            body["scatter"] = json!(self.chance(50));
        } else if self.chance(20) {
            body["same_place"] = json!(true);
        }
        if body["shape"] == "array" && self.chance(20) {
            body["shape"] = json!("group");
            body["sheets"] = json!(self.pick(2, 5));
        }
        let mut spec =
            JobSpec::parse(body.to_string().as_bytes()).expect("job specification is valid");
        if self.faults.dependent_jobs && spec.kind != JobKind::Service {
            self.add_dependencies(&mut spec);
        }
        spec
    }

    /// Sometimes cancels a job that was submitted earlier. In runs with dependent jobs this happens
    /// less often, since all dependents are cancelled as well.
    fn cancel_some_job(&mut self, submitted: u64) {
        let percent = if self.faults.dependent_jobs { 8 } else { 25 };
        if submitted > 3 && self.chance(percent) {
            let at = self.pick(0, submitted - 1) as usize;
            if let Some(id) = self.jobs.keys().nth(at).cloned() {
                self.cancel(&id);
            }
        }
    }

    fn submit_independent(&mut self, spec: &JobSpec) {
        let mut txn = Txn::default();
        txn.require(keys::job(&spec.id), Revision(0));
        txn.require(keys::final_state(&spec.id), Revision(0));
        txn.put(
            keys::job(&spec.id),
            &JobRecord::new(spec.clone(), UnixTime(self.now.0)),
            None,
        );
        self.write_as_user(txn);
    }

    /// Executes a user's transaction, as the API does. The transaction may be delivered a second
    /// time.
    pub(super) fn write_as_user(&mut self, txn: Txn) -> TxnOutcome {
        let outcome = self.store.txn(&txn);
        if let Some(ms) = self.duplicate_delay() {
            let duplicate = TxnRequest {
                caller: ControllerProcess::stopped(0),
                requester: TxnRequester::Nobody,
                txn,
                expects_response: false,
            };
            self.schedule_in(ms, SimulationEvent::TxnRequest(duplicate));
        }
        outcome
    }
}
