//! The cloud that machines are rented from.

use crate::cloud::RentOutcome;
use crate::controller::Effect;
use crate::ids::{JobId, MachineId};
use crate::protocol::{Catalog, JobState, ListedMachine, MachineState, RentRequest, TaskState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::{ControllerProcess, SimulationEvent};
use crate::simulation::fakes::{Worker, WorkerTask};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::ZONES;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use crate::store::records::FinalRecord;
use serde_json::json;

/// The maximum number of machines that the cloud provides for a small fleet.
const SMALL_FLEET_MAX_MACHINES: usize = 14;
/// The number of slots of a machine of a small fleet.
const SMALL_FLEET_SLOTS: u64 = 4;
/// How long a machine takes to boot, in ms.
const BOOT_MS: (u64, u64) = (1000, 6000);
/// Percent of the machines that never boot.
const BOOT_FAILURE_PERCENT: u64 = 5;
/// Percent of the responses of the cloud that are lost.
const LOST_RESPONSE_PERCENT: u64 = 20;

impl SimulatedCluster {
    /// Handles a controller's call to the cloud, or its read from the store outside transactions.
    pub(in crate::simulation) fn handle_cloud_call(
        &mut self,
        caller: ControllerProcess,
        effect: Effect,
    ) {
        self.duplicate_cloud_call(caller.node, &effect);
        match effect {
            Effect::RentMachines(request) => self.rent(caller, &request),
            Effect::DeleteMachines(ids) => self.delete_machines(caller, &ids),
            Effect::ListMachines => self.list_machines(caller),
            Effect::FetchCatalog => self.send_catalog(caller),
            Effect::QueryJobOutcome(job) => self.query_outcome(caller, &job),
            Effect::Txn { .. } | Effect::CallWorker { .. } | Effect::SendToPeer(..) => {}
        }
    }

    fn duplicate_cloud_call(&mut self, node: usize, effect: &Effect) {
        let Some(ms) = self.duplicate_delay() else {
            return;
        };
        let duplicate = match effect {
            Effect::RentMachines(request) => Effect::RentMachines(request.clone()),
            Effect::DeleteMachines(ids) => Effect::DeleteMachines(ids.clone()),
            _ => return,
        };
        let caller = ControllerProcess::stopped(node);
        self.schedule_in(ms, SimulationEvent::CloudCall(caller, duplicate));
    }

    fn rent(&mut self, caller: ControllerProcess, request: &RentRequest) {
        let now = self.now;
        let known = self.machines_by_rent_request.get(&request.request).cloned();
        let ids = known.unwrap_or_else(|| self.provide_machines(request));
        let outcome = match ids.is_empty() {
            true => RentOutcome::NoCapacity,
            false if self.faults.lost_responses && self.chance(LOST_RESPONSE_PERCENT) => {
                RentOutcome::Again
            }
            false => RentOutcome::Rented(ids),
        };
        self.with_controller(caller, |c| c.on_rent_outcome(now, request, outcome));
    }

    fn provide_machines(&mut self, request: &RentRequest) -> Vec<MachineId> {
        let fleet = self.fleet.as_ref();
        let max_machines = fleet.map_or(SMALL_FLEET_MAX_MACHINES, |s| s.max_machines);
        let free = max_machines.saturating_sub(self.workers.len());
        let free = free.min(request.count as usize);
        let ids: Vec<_> = (0..free).map(|_| self.new_machine(request.spot)).collect();
        for id in &ids {
            let boot = self.pick(BOOT_MS.0, BOOT_MS.1);
            if !self.chance(BOOT_FAILURE_PERCENT) {
                self.schedule_in(boot, SimulationEvent::MachineBoot(id.clone()));
            }
        }
        self.machines_by_rent_request
            .insert(request.request.clone(), ids.clone());
        ids
    }

    /// Marks a machine as booted and starts its worker.
    pub(in crate::simulation) fn boot_machine(&mut self, id: MachineId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.dead = false;
            worker.last_answered_heartbeat = self.now;
            self.schedule_in(0, SimulationEvent::WorkerTick(id));
        }
    }

    fn delete_machines(&mut self, caller: ControllerProcess, ids: &[MachineId]) {
        let now = self.now;
        self.check_deletion(ids);
        if self.disabled_guard != DisabledGuard::DeletionsFalselyConfirmed {
            for id in ids {
                let deleted = self.workers.remove(id).filter(|w| !w.dead);
                self.observed.tasks_lost += deleted.as_ref().map_or(0, Worker::running_tasks);
                self.observed.deleted_machines.insert(id.clone());
            }
        }
        let ok = !(self.faults.lost_responses && self.chance(LOST_RESPONSE_PERCENT));
        self.with_controller(caller, |c| c.on_delete_outcome(now, ids, ok));
    }

    /// Records `HealthyMachineDeleted` if a machine with running tasks is deleted while controller
    /// pauses are the only fault, since no machine is faulty then.
    fn check_deletion(&mut self, ids: &[MachineId]) {
        let pauses_only = Faults {
            controller_pauses: true,
            overload: self.faults.overload,
            cancel_at_completion: self.faults.cancel_at_completion,
            ..Faults::default()
        };
        let running = |task: &WorkerTask| task.state == TaskState::Running;
        let busy = |worker: &Worker| worker.tasks.values().any(running);
        let healthy = |id: &&MachineId| self.workers.get(*id).is_some_and(busy);
        if self.faults == pauses_only
            && let Some(id) = ids.iter().find(healthy).cloned()
        {
            self.record_violation(ViolationKind::HealthyMachineDeleted, id);
        }
    }

    fn list_machines(&mut self, caller: ControllerProcess) {
        let now = self.now;
        let list = self.workers.iter().map(|(id, worker)| ListedMachine {
            id: id.clone(),
            type_name: "t8".into(),
            zone: worker.zone.into(),
            spot: worker.spot,
            state: match worker.sequence.0 {
                0 => MachineState::Booting,
                _ => MachineState::Running,
            },
            age_s: 5.0,
        });
        let list = list.collect();
        self.with_controller(caller, |c| c.on_machine_list(now, Some(list)));
    }

    fn send_catalog(&mut self, caller: ControllerProcess) {
        let now = self.now;
        let slots = self.fleet.as_ref().map_or(SMALL_FLEET_SLOTS, |s| s.slots);
        let catalog: Catalog = serde_json::from_value(json!({"hulls": [
            {"name": "t8", "cores": 2 * slots, "cards": 0, "memory_gb": 16 * slots, "cache_gb": 50,
             "fetch_gb_per_s": 1.0, "price": 1.0, "low_price": 0.4, "startup_s": 4,
             "berths": &ZONES[..self.zone_count]}]}))
        .expect("catalog is valid");
        self.with_controller(caller, |c| c.on_catalog(now, Some(catalog)));
    }

    /// Responds with the final state of a job. There is no response while the store is unreachable
    /// or if the job has no final state.
    fn query_outcome(&mut self, caller: ControllerProcess, job: &JobId) {
        let now = self.now;
        if self.nodes[caller.node].store_cut_until > now {
            return;
        }
        let Some(record) = self.store.read::<FinalRecord>(&keys::final_state(job)) else {
            return;
        };
        let state = match self.disabled_guard {
            DisabledGuard::MissingDependencyCountsAsDone => JobState::Done,
            _ => record.state,
        };
        self.with_controller(caller, |c| c.on_job_outcome(now, job, state));
    }
}
