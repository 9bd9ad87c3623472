//! Simulated days under faults: the invariants must hold all day, and once the faults are healed
//! all that was submitted must finish and every cancellation must be confirmed.

mod completion_interleavings;
mod counted_faults;
mod dependent_jobs;
mod digests;
mod disabled_guards;
mod fault_pairs;
mod large_fleets;
mod single_faults;
mod upgrades;
mod zone_faults;

use super::cluster::SimulatedCluster;
use super::faults::Faults;
use super::guards::DisabledGuard;
use super::topology::{ClusterSize, THREE_CONTROLLERS};

/// When the faults of a day are healed, in ms.
const FAULTS_HEALED_AT_MS: u64 = 120_000;
/// When a day ends, in ms.
const RUN_END_MS: u64 = 260_000;
/// Fewer launches than this mean that a day has tested nothing.
const MIN_LAUNCHES: u64 = 60;

/// Adds one fault to those of a day.
type AddFault = fn(&mut Faults);

/// Every fault that days with two of them draw from, under the name that digests print.
const SINGLE_FAULTS: [(&str, AddFault); 18] = [
    ("crashes", |t| t.controller_crashes = true),
    ("lost", |t| t.lost_responses = true),
    ("machines", |t| t.machine_failures = true),
    ("cuts", |t| t.store_disconnects = true),
    ("deaf", |t| t.outbound_only_machines = true),
    ("copies", |t| t.duplicate_heartbeats = true),
    ("apart", |t| t.isolated_controllers = true),
    ("flaps", |t| t.restarts_in_election = true),
    ("crowd", |t| t.overload = true),
    ("freezes", |t| t.controller_pauses = true),
    ("zone", |t| t.zone_isolation = true),
    ("repeats", |t| t.duplicate_requests = true),
    ("gap", |t| t.store_refusal_then_outage = true),
    ("mute", |t| t.inbound_only_machines = true),
    ("slow", |t| t.slow_store = true),
    ("leaders", |t| t.leader_crashes = true),
    ("away", |t| t.control_plane_outage = true),
    ("ends", |t| t.cancel_at_completion = true),
];

/// Plays a day with three controllers.
fn run_simulation(seed: u64, faults: Faults, disabled_guard: DisabledGuard) -> SimulatedCluster {
    run_simulation_with_size(THREE_CONTROLLERS, seed, faults, disabled_guard)
}

/// Plays a day with faults, heals them and lets all work finish.
fn run_simulation_with_size(
    size: ClusterSize,
    seed: u64,
    faults: Faults,
    disabled_guard: DisabledGuard,
) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::with_size(seed, faults, disabled_guard, size);
    cluster.run_until(FAULTS_HEALED_AT_MS);
    cluster.heal();
    cluster.run_until(RUN_END_MS);
    cluster
}

/// Asserts that no invariant was violated and that all jobs and cancellations have ended.
fn assert_invariants_hold(cluster: &SimulatedCluster, run_name: &str) {
    assert!(
        cluster.observed.violations.is_empty(),
        "{run_name}: {:?}",
        cluster.observed.violations
    );
    assert!(
        cluster.observed.launches > MIN_LAUNCHES,
        "{run_name}: only {} starts",
        cluster.observed.launches
    );
    let pending = &cluster.pending_cancellations;
    assert!(
        pending.is_empty(),
        "{run_name}: never confirmed {pending:?}"
    );
    let unfinished = cluster.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "{run_name}: never finished {unfinished:?}"
    );
}

/// Plays a day with the same faults on each seed.
fn assert_invariants_hold_on_seeds(name: &str, seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        assert_invariants_hold(
            &run_simulation(seed, faults, DisabledGuard::None),
            &format!("{name}, seed {seed}"),
        );
    }
}
