//! Simulated runs with injected faults. The invariants must hold during the whole run. After the
//! faults are healed, every submitted job must end and every cancellation must be confirmed.

mod completion_interleavings;
mod counted_faults;
mod dependent_jobs;
mod digests;
mod disabled_guards;
mod large_fleets;
mod pairs;
mod single_faults;
mod upgrades;
mod zone_faults;

use super::cluster::SimulatedCluster;
use super::faults::Faults;
use super::guards::DisabledGuard;
use super::topology::{ClusterSize, THREE_CONTROLLERS};

/// The simulated time at which all faults are healed, in ms from the start of the run.
const FAULTS_HEALED_AT_MS: u64 = 120_000;
/// The simulated time at which a run ends, in ms from its start.
const RUN_END_MS: u64 = 260_000;
/// A run must launch more task attempts than this; with fewer it would test too little.
const MIN_LAUNCHES: u64 = 60;

/// Enables one kind of fault.
type AddFault = fn(&mut Faults);

/// The short name of each single fault, and the function that enables it. The output of tests uses
/// the names, and digests of two versions are compared by them, so they must not change.
const SINGLE_FAULTS: [(&str, AddFault); 18] = [
    ("crashes", |faults| faults.controller_crashes = true),
    ("lost", |faults| faults.lost_responses = true),
    ("machines", |faults| faults.machine_failures = true),
    ("cuts", |faults| faults.store_disconnects = true),
    ("deaf", |faults| faults.outbound_only_machines = true),
    ("copies", |faults| faults.duplicate_heartbeats = true),
    ("apart", |faults| faults.isolated_controllers = true),
    ("flaps", |faults| faults.restarts_in_election = true),
    ("crowd", |faults| faults.overload = true),
    ("freezes", |faults| faults.controller_pauses = true),
    ("zone", |faults| faults.zone_isolation = true),
    ("repeats", |faults| faults.duplicate_requests = true),
    ("gap", |faults| faults.store_refusal_then_outage = true),
    ("mute", |faults| faults.inbound_only_machines = true),
    ("slow", |faults| faults.slow_store = true),
    ("leaders", |faults| faults.leader_crashes = true),
    ("away", |faults| faults.control_plane_outage = true),
    ("ends", |faults| faults.cancel_at_completion = true),
];

/// Runs a simulation with three controllers; see [`run_simulation_with_size`].
fn run_simulation(seed: u64, faults: Faults, disabled_guard: DisabledGuard) -> SimulatedCluster {
    run_simulation_with_size(THREE_CONTROLLERS, seed, faults, disabled_guard)
}

/// Runs a simulation with faults, heals them, and continues so that all jobs can end.
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

/// Asserts that no invariant was violated, that enough task attempts were launched, that every
/// cancellation was confirmed and that every job has ended.
fn assert_invariants_hold(cluster: &SimulatedCluster, run_name: &str) {
    assert!(
        cluster.observed.violations.is_empty(),
        "{run_name}: {:?}",
        cluster.observed.violations
    );
    assert!(
        cluster.observed.launches > MIN_LAUNCHES,
        "{run_name}: only {} launches",
        cluster.observed.launches
    );
    let pending = &cluster.pending_cancellations;
    assert!(
        pending.is_empty(),
        "{run_name}: unconfirmed cancellations {pending:?}"
    );
    let unfinished = cluster.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "{run_name}: unfinished jobs {unfinished:?}"
    );
}

/// Runs a simulation with the same faults for each seed and asserts that the invariants hold.
fn assert_invariants_hold_on_seeds(name: &str, seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        assert_invariants_hold(
            &run_simulation(seed, faults, DisabledGuard::None),
            &format!("{name}, seed {seed}"),
        );
    }
}
