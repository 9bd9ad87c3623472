//! Tests with large fleets, in which the changes per second that each controller may write to the
//! key-value store are limited. They guard against costs that grow with the size of the fleet. They
//! assert counts rather than times, so that such growth is always noticed.

use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::large_fleet_state::RequestCounts;

/// Runs the simulation until `end_ms`; returns the counts of store requests and of launches.
fn run_and_count(mut cluster: SimulatedCluster, end_ms: u64) -> (RequestCounts, u64) {
    cluster.run_until(end_ms);
    let counts = cluster.fleet.take().expect("large fleet").counts;
    println!(
        "{counts:?}, {} launches, {} jobs",
        cluster.observed.launches,
        cluster.jobs.len()
    );
    (counts, cluster.observed.launches)
}

#[test]
fn fleet_of_900_writes_few_changes_per_task() {
    let (counts, launches) = run_and_count(
        SimulatedCluster::with_large_fleet(7, (300, 900), 50.0, 920),
        120_000,
    );
    let changes = &counts.changes_by_requester;
    assert!(launches > 10_000, "{launches} launches");
    assert!(changes["machines"] <= 4 * launches / 10, "{changes:?}");
    // Plans are written in one batch per second, not one by one for each job.
    assert!(changes["plans"] <= 120, "{changes:?}");
    // Immediate retries of refused transactions used to continue without end.
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}

/// Users submit far more work than the fleet can run. The store's change rate must still be spent
/// on starting as many tasks as possible.
#[test]
fn overloaded_fleet_writes_few_changes_per_task() {
    let (counts, launches) = run_and_count(
        SimulatedCluster::with_large_fleet(8, (120, 120), 50.0, 300),
        90_000,
    );
    let changes = &counts.changes_by_requester;
    assert!(launches > 10_000, "{launches} launches");
    assert!(changes["machines"] <= 2 * launches / 10, "{changes:?}");
}

/// A fleet of 1.5 times as many machines as the largest deployment.
#[test]
fn fleet_of_1800_writes_few_changes_per_task() {
    let (counts, launches) = run_and_count(
        SimulatedCluster::with_large_fleet(9, (1200, 1800), 70.0, 500),
        60_000,
    );
    let changes = &counts.changes_by_requester;
    assert!(launches > 8_000, "{launches} launches");
    assert!(changes["machines"] <= 4 * launches / 10, "{changes:?}");
}

/// A fleet somewhat larger than those that operators run. The leader's cache must contain every
/// machine, and placing a task must not need more changes than in a smaller fleet.
#[test]
fn leader_caches_fleet_of_4500_and_writes_few_changes_per_task() {
    let mut cluster = SimulatedCluster::with_large_fleet(10, (4500, 4500), 90.0, 300);
    cluster.run_until(15_000);
    let leader = cluster.leader().expect("a leader");
    let controller = cluster.nodes[leader].controller.as_ref().expect("it runs");
    assert_eq!(controller.cache.machines.len(), 4500);
    let (counts, launches) = run_and_count(cluster, 45_000);
    let changes = &counts.changes_by_requester;
    assert!(launches > 20_000, "{launches} launches");
    assert!(changes["machines"] <= 2 * launches / 10, "{changes:?}");
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}
