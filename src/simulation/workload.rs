//! What users ask of a small fleet.

use super::cluster::{SimulatedCluster, SimulationEvent};
use crate::controller::TxnRequester;
use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec};
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};
use serde_json::json;

impl SimulatedCluster {
    /// Submits, and cancels now and then.
    pub(super) fn user(&mut self) {
        if self.scale.is_some() {
            return self.submit_to_large_fleet();
        }
        if self.healed {
            // What never ends by itself is cancelled, so that the day can end.
            let services =
                |(id, s): (&JobId, &JobSpec)| (s.kind == JobKind::Service).then(|| id.clone());
            let open: Vec<JobId> = self.jobs.iter().filter_map(services).collect();
            for id in &open {
                self.cancel(id);
            }
            return;
        }
        let n = self.jobs.len();
        let id = format!("job-{n:06}");
        let mut body = crate::protocol::tests::submission(&id);
        let most = if self.faults.overload { 24 } else { 9 };
        body["sheets"] = json!(self.pick(1, most));
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
        let mut spec = JobSpec::parse(body.to_string().as_bytes()).expect("valid");
        if self.faults.dependent_jobs && spec.kind != JobKind::Service {
            self.add_dependencies(&mut spec);
        }
        if spec.dependencies.is_empty() {
            self.submit_alone(&spec);
            self.jobs.insert(spec.id.clone(), spec);
        } else {
            self.jobs.insert(spec.id.clone(), spec.clone());
            self.submit_dependent(spec);
        }
        // With a cancelled job goes all that needs it.
        let cancelled = if self.faults.dependent_jobs { 8 } else { 25 };
        if n > 3 && self.chance(cancelled) {
            let at = self.pick(0, n as u64 - 1) as usize;
            if let Some(id) = self.jobs.keys().nth(at).cloned() {
                self.cancel(&id);
            }
        }
        // The jobs of a pipeline come one right after another.
        let ms = match self.faults.dependent_jobs && !self.faults.overload {
            true => self.pick(100, 2500),
            false => self.pick(1500, 6000),
        };
        self.schedule_in(ms, SimulationEvent::User);
    }

    fn submit_alone(&mut self, spec: &JobSpec) {
        let mut txn = Txn::default();
        txn.require(keys::job(&spec.id), Revision(0));
        txn.require(keys::final_state(&spec.id), Revision(0));
        txn.put(
            keys::job(&spec.id),
            &JobRecord::new(spec.clone(), crate::ids::UnixTime(self.now.0)),
            None,
        );
        self.write_as_user(txn);
    }

    /// What a user asks, as the intake writes it; it may come once more.
    pub(super) fn write_as_user(&mut self, txn: Txn) -> TxnOutcome {
        let outcome = self.store.txn(&txn);
        if let Some(ms) = self.duplicate_delay() {
            self.schedule_in(
                ms,
                SimulationEvent::Txn(0, u64::MAX, TxnRequester::Nobody, txn, false),
            );
        }
        outcome
    }
}
