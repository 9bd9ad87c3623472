//! A fleet of the grown size against stand-ins with the settings' rates. What is asserted are
//! counts, never times, so that growth can't creep back unseen.

use super::cluster::{Counts, DisabledGuard, Faults, Scale, SimulatedCluster, SimulationEvent};
use crate::controller::TxnRequester;
use crate::ids::JobId;
use crate::protocol::JobSpec;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::JobRecord;
use serde_json::json;

/// The part of the changes that each controller may use.
const SHARE: f64 = 0.5;

impl SimulatedCluster {
    /// Hundreds of machines, and an array every so many ms.
    pub(super) fn grown(seed: u64, machines: (usize, usize), changes: f64, array_ms: u64) -> Self {
        let mut cluster = Self::new(seed, Faults::default(), DisabledGuard::None);
        cluster.scale = Some(Scale {
            machines,
            slots: 16,
            array_ms,
            service_ms: 560,
            tasks: (20, 220),
            changes,
            rates: vec![TokenBucket::new(changes * SHARE); 3],
            counts: Counts::default(),
        });
        cluster.start_large_fleet();
        cluster
    }

    /// Whether the rates let a transaction through, each controller within its share.
    pub(super) fn admits(&mut self, node: usize, requester: &TxnRequester, txn: &Txn) -> bool {
        let now = self.now;
        let Some(scale) = &mut self.scale else {
            return true;
        };
        let (name, class) = match requester {
            TxnRequester::ShardOwner(_) => ("machines", RequestClass::Place),
            TxnRequester::Leadership => ("leadership", RequestClass::Lease),
            TxnRequester::Plans(_) => ("plans", RequestClass::Record),
            TxnRequester::Release(_) | TxnRequester::Dependent(_) => {
                ("releases", RequestClass::Place)
            }
            TxnRequester::CancelledDependents(_) => ("cancelled", RequestClass::Accept),
            TxnRequester::Catalog | TxnRequester::Nobody => ("other", RequestClass::Place),
        };
        let changes = txn.changes.len() as u64;
        let admitted = scale.rates[node].try_acquire(now, changes as f64, class);
        let counts = &mut scale.counts;
        counts.transactions += 1;
        if admitted {
            counts.changes += changes;
            *counts.by_requester.entry(name).or_default() += changes;
        } else {
            counts.refused += 1;
        }
        admitted
    }

    /// The next array or service; services end after a while.
    pub(super) fn submit_to_large_fleet(&mut self) {
        if self.healed {
            return;
        }
        let n = self.jobs.len();
        let (array_ms, service_ms, tasks) = match &self.scale {
            Some(s) => (s.array_ms, s.service_ms, s.tasks),
            None => return,
        };
        let service = self.now.0 / service_ms > self.services;
        let id = format!("job-{n:06}");
        let mut body = crate::protocol::tests::submission(&id);
        body["crew"] = json!(if self.chance(50) { "red" } else { "blue" });
        body["plate"] = json!(format!("img-{}", self.pick(1, 8)));
        if service {
            self.services += 1;
            body["shape"] = json!("daemon");
            body["precedence"] = json!("high");
            body["sheets"] = json!(1);
        } else {
            body["sheets"] = json!(self.pick(tasks.0, tasks.1));
        }
        let spec = JobSpec::parse(body.to_string().as_bytes()).expect("valid");
        let mut txn = Txn::default();
        let record = JobRecord::new(spec.clone(), crate::ids::UnixTime(self.now.0));
        txn.put(keys::job(&spec.id), &record, None);
        self.store.txn(&txn);
        self.jobs.insert(spec.id.clone(), spec);
        if service && self.services > 200 {
            let old: Option<JobId> = self
                .jobs
                .iter()
                .find(|(id, s)| {
                    s.kind == crate::protocol::JobKind::Service
                        && self.store.keys.contains_key(&keys::job(id))
                })
                .map(|(id, _)| id.clone());
            if let Some(old) = old {
                self.cancel(&old);
            }
        }
        let next = service_ms.min(array_ms) * array_ms / (service_ms + array_ms).max(1);
        self.schedule_in(next.max(1), SimulationEvent::User);
    }
}

/// Plays a day of a fleet; tells what it cost, the tasks started and the changes by their owners.
fn cost(mut cluster: SimulatedCluster, until: u64) -> (Counts, u64) {
    cluster.run(until);
    let counts = cluster.scale.take().expect("scale").counts;
    println!(
        "{counts:?}, {} starts, {} jobs",
        cluster.starts,
        cluster.jobs.len()
    );
    (counts, cluster.starts)
}

#[test]
fn a_grown_fleet_costs_few_changes_for_each_task() {
    let (counts, starts) = cost(SimulatedCluster::grown(7, (300, 900), 50.0, 920), 120_000);
    let by = &counts.by_requester;
    assert!(starts > 10_000, "{starts} starts");
    assert!(by["machines"] <= 4 * starts / 10, "{by:?}");
    // A batch a second, not a plan for each job.
    assert!(by["plans"] <= 120, "{by:?}");
    // A refusal is not followed by the same again at once: it once went round and round.
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}

/// Far more is asked than the fleet can do: changes go on being spent on the most tasks, and
/// nothing is looked at again and again.
#[test]
fn an_overloaded_fleet_still_places_many_tasks_with_each_change() {
    let (counts, starts) = cost(SimulatedCluster::grown(8, (120, 120), 50.0, 300), 90_000);
    let by = &counts.by_requester;
    assert!(starts > 10_000, "{starts} starts");
    assert!(by["machines"] <= 2 * starts / 10, "{by:?}");
}

/// Half as many machines again as the largest deployment so far.
#[test]
fn a_fleet_of_1800_costs_few_changes_for_each_task() {
    let (counts, starts) = cost(SimulatedCluster::grown(9, (1200, 1800), 70.0, 500), 60_000);
    let by = &counts.by_requester;
    assert!(starts > 8_000, "{starts} starts");
    assert!(by["machines"] <= 4 * starts / 10, "{by:?}");
}

/// The size that operators run the service at, and some more: the leader comes to know every
/// machine, and placing a task costs no more changes than on a smaller fleet.
#[test]
fn a_fleet_of_4500_is_known_whole_and_costs_few_changes_for_each_task() {
    let mut cluster = SimulatedCluster::grown(10, (4500, 4500), 90.0, 300);
    cluster.run(15_000);
    let leader = cluster.leader().expect("a leader");
    let controller = cluster.nodes[leader].controller.as_ref().expect("it runs");
    assert_eq!(controller.cache.machines.len(), 4500);
    let (counts, starts) = cost(cluster, 45_000);
    let by = &counts.by_requester;
    assert!(starts > 20_000, "{starts} starts");
    assert!(by["machines"] <= 2 * starts / 10, "{by:?}");
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}
