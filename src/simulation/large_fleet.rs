//! A fleet of the size that operators run, with a limit of the changes per second that each
//! controller may write to the key-value store.

use super::cluster::SimulatedCluster;
use super::events::SimulationEvent;
use super::faults::Faults;
use super::guards::DisabledGuard;
use super::large_fleet_state::{LargeFleetState, RequestCounts};
use crate::config::TeamQuota;
use crate::controller::TxnRequester;
use crate::ids::{JobId, UnixTime};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec};
use crate::store::keys;
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::JobRecord;
use serde_json::json;

/// The fraction of the store's change rate that each controller may use. The three controllers
/// together can exceed the store's rate by half.
const CONTROLLER_CHANGES_FRACTION: f64 = 0.5;
/// The rate limit of the key-value store that controllers are configured with, in requests per
/// second. The simulation does not enforce it.
const REQUESTS_PER_S: f64 = 200.0;
/// The number of slots of each machine.
const SLOTS_PER_MACHINE: u64 = 16;
/// The time between the submissions of consecutive services, in ms.
const SERVICE_INTERVAL_MS: u64 = 560;
/// The minimum and maximum number of tasks of an array.
const TASKS_PER_ARRAY: (u64, u64) = (20, 220);
/// Above this number of submitted services, each new service cancels the oldest one.
const MAX_SERVICES: u64 = 200;

impl SimulatedCluster {
    /// Creates a cluster that starts with `machines.0` machines and may grow to `machines.1`. Users
    /// submit a job array every `array_interval_ms`, and services.
    pub(super) fn with_large_fleet(
        seed: u64,
        machines: (usize, usize),
        changes_per_s: f64,
        array_interval_ms: u64,
    ) -> Self {
        let mut cluster = Self::new(seed, Faults::default(), DisabledGuard::None);
        let limiter = TokenBucket::new(changes_per_s * CONTROLLER_CHANGES_FRACTION);
        cluster.fleet = Some(LargeFleetState {
            min_machines: machines.0,
            max_machines: machines.1,
            slots: SLOTS_PER_MACHINE,
            array_interval_ms,
            services: 0,
            changes_per_s,
            limiters: vec![limiter; cluster.nodes.len()],
            counts: RequestCounts::default(),
        });
        cluster.start_large_fleet();
        cluster
    }

    /// Boots the machines of a large fleet and configures the controllers with its rate limits.
    fn start_large_fleet(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let changes_per_s = fleet.changes_per_s;
        let missing_machines = fleet.min_machines.saturating_sub(self.workers.len());
        for _ in 0..missing_machines {
            let id = self.new_machine(false);
            self.schedule_in(0, SimulationEvent::MachineBoot(id));
        }
        for node in &mut self.nodes {
            node.config.store_limits.rates.writes = changes_per_s;
            node.config.store_limits.rates.requests = REQUESTS_PER_S;
            node.config.store_limits.min_rates = node.config.store_limits.rates;
            for team in node.config.teams.values_mut() {
                *team = TeamQuota::of_cpus(10_000_000, 30_000_000);
            }
        }
    }

    /// Returns whether the controller's rate limiter admits a transaction, and counts the
    /// transaction.
    pub(super) fn admits(&mut self, node: usize, requester: &TxnRequester, txn: &Txn) -> bool {
        let now = self.now;
        let Some(fleet) = &mut self.fleet else {
            return true;
        };
        let (name, class) = match requester {
            TxnRequester::ShardOwner(_) => ("machines", RequestClass::Place),
            TxnRequester::Leadership => ("leadership", RequestClass::Lease),
            TxnRequester::Plans(_) => ("plans", RequestClass::Record),
            TxnRequester::JobCompletion(_) | TxnRequester::DependentRelease(_) => {
                ("releases", RequestClass::Place)
            }
            TxnRequester::CancelledDependents(_) => ("cancelled", RequestClass::Accept),
            TxnRequester::Catalog | TxnRequester::Nobody => ("other", RequestClass::Place),
        };
        let changes = txn.changes.len() as u64;
        let admitted = fleet.limiters[node].try_acquire(now, changes as f64, class);
        let counts = &mut fleet.counts;
        counts.transactions += 1;
        if admitted {
            counts.changes += changes;
            *counts.changes_by_requester.entry(name).or_default() += changes;
        } else {
            counts.refused += 1;
        }
        admitted
    }

    /// Submits the next array or service. The oldest service is cancelled once there are too many.
    pub(super) fn submit_to_large_fleet(&mut self) {
        let Some(fleet) = self.fleet.as_ref().filter(|_| !self.active_faults.healed) else {
            return;
        };
        let interval_ms = fleet.array_interval_ms;
        let is_service = self.now.0 / SERVICE_INTERVAL_MS > fleet.services;
        let services = fleet.services + u64::from(is_service);
        let spec = self.new_large_fleet_job(is_service);
        let mut txn = Txn::default();
        let record = JobRecord::new(spec.clone(), UnixTime(self.now.0));
        txn.put(keys::job(&spec.id), &record, None);
        self.store.txn(&txn);
        self.jobs.insert(spec.id.clone(), spec);
        if let Some(fleet) = &mut self.fleet {
            fleet.services = services;
        }
        if is_service && services > MAX_SERVICES {
            self.cancel_oldest_service();
        }
        let interval_sum_ms = SERVICE_INTERVAL_MS + interval_ms;
        let next = SERVICE_INTERVAL_MS.min(interval_ms) * interval_ms / interval_sum_ms;
        self.schedule_in(next.max(1), SimulationEvent::UserTick);
    }

    fn new_large_fleet_job(&mut self, is_service: bool) -> JobSpec {
        let id = format!("job-{:06}", self.jobs.len());
        let mut body = crate::protocol::tests::submission(&id);
        body["crew"] = json!(if self.chance(50) { "red" } else { "blue" });
        body["plate"] = json!(format!("img-{}", self.pick(1, 8)));
        if is_service {
            body["shape"] = json!("daemon");
            body["precedence"] = json!("high");
            body["sheets"] = json!(1);
        } else {
            body["sheets"] = json!(self.pick(TASKS_PER_ARRAY.0, TASKS_PER_ARRAY.1));
        }
        JobSpec::parse(body.to_string().as_bytes()).expect("job specification is valid")
    }

    fn cancel_oldest_service(&mut self) {
        let live = |id: &JobId| self.store.contains(&keys::job(id));
        let mut services = self.jobs.iter().filter(|(_, s)| s.kind == JobKind::Service);
        let oldest = services.find(|(id, _)| live(id));
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.cancel(&oldest);
        }
    }
}
