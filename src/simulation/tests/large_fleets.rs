//! A large fleet against stand-ins with the settings' rates. What is asserted are counts, never
//! times, so that growing costs can't return unnoticed.

use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::large_fleet_state::RequestCounts;

/// Plays a day of a fleet; returns what was asked of the store, and how many tasks were launched.
fn run_and_count(mut cluster: SimulatedCluster, end_ms: u64) -> (RequestCounts, u64) {
    cluster.run_until(end_ms);
    let counts = cluster.fleet.take().expect("scale").counts;
    println!(
        "{counts:?}, {} starts, {} jobs",
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
    assert!(launches > 10_000, "{launches} starts");
    assert!(changes["machines"] <= 4 * launches / 10, "{changes:?}");
    // A batch a second, not a plan for each job.
    assert!(changes["plans"] <= 120, "{changes:?}");
    // A refused transaction is not repeated at once, which used to go on without end.
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}

/// Far more is asked than the fleet can do: changes are still spent on the most tasks, and
/// nothing is scanned over and over.
#[test]
fn overloaded_fleet_writes_few_changes_per_task() {
    let (counts, launches) = run_and_count(
        SimulatedCluster::with_large_fleet(8, (120, 120), 50.0, 300),
        90_000,
    );
    let changes = &counts.changes_by_requester;
    assert!(launches > 10_000, "{launches} starts");
    assert!(changes["machines"] <= 2 * launches / 10, "{changes:?}");
}

/// Half as many machines again as the largest deployment so far.
#[test]
fn fleet_of_1800_writes_few_changes_per_task() {
    let (counts, launches) = run_and_count(
        SimulatedCluster::with_large_fleet(9, (1200, 1800), 70.0, 500),
        60_000,
    );
    let changes = &counts.changes_by_requester;
    assert!(launches > 8_000, "{launches} starts");
    assert!(changes["machines"] <= 4 * launches / 10, "{changes:?}");
}

/// The size that operators run the service at, and some more: the leader comes to know every
/// machine, and placing a task costs no more changes than on a smaller fleet.
#[test]
fn leader_caches_fleet_of_4500_and_writes_few_changes_per_task() {
    let mut cluster = SimulatedCluster::with_large_fleet(10, (4500, 4500), 90.0, 300);
    cluster.run_until(15_000);
    let leader = cluster.leader().expect("a leader");
    let controller = cluster.nodes[leader].controller.as_ref().expect("it runs");
    assert_eq!(controller.cache.machines.len(), 4500);
    let (counts, launches) = run_and_count(cluster, 45_000);
    let changes = &counts.changes_by_requester;
    assert!(launches > 20_000, "{launches} starts");
    assert!(changes["machines"] <= 2 * launches / 10, "{changes:?}");
    assert!(counts.refused <= counts.transactions / 8, "{counts:?}");
}
