//! Simulated runs in which users submit jobs that depend on other jobs.

use super::{SINGLE_FAULTS, assert_invariants_hold};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::observations::DependencyCounts;
use crate::simulation::topology::{ClusterSize, FIVE_CONTROLLERS, THREE_CONTROLLERS};
use crate::simulation::violations::ViolationKind;

/// Users submit dependent jobs; no faults are injected.
pub(super) const DEPENDENT_JOBS: Faults = Faults {
    dependent_jobs: true,
    ..Faults::NONE
};

/// A rolling upgrade with dependent jobs, during which the store lowers its limits.
pub(super) const UPGRADE: Faults = Faults {
    rolling_upgrade: true,
    lowered_store_limits: true,
    ..DEPENDENT_JOBS
};

/// The simulated time at which these runs end, in ms from the start; runs without dependent jobs
/// end at the earlier `RUN_END_MS` of `tests.rs`. Dependent jobs run one after the other, so the
/// longest chains take some minutes after all faults are healed.
const RUN_END_MS: u64 = 340_000;

/// Runs a simulation for long enough that dependent jobs can end as well.
pub(super) fn run_with_dependent_jobs(
    size: ClusterSize,
    seed: u64,
    faults: Faults,
    disabled_guard: DisabledGuard,
) -> SimulatedCluster {
    let mut cluster = super::run_simulation_with_size(size, seed, faults, disabled_guard);
    cluster.run_until(RUN_END_MS);
    cluster
}

/// Runs a simulation for each seed, asserts that the invariants hold, and returns the sum of the
/// counts of dependent jobs.
fn count_dependencies_on_seeds(
    name: &str,
    size: ClusterSize,
    seeds: std::ops::Range<u64>,
    faults: Faults,
) -> DependencyCounts {
    let mut total = DependencyCounts::default();
    for seed in seeds {
        let cluster = run_with_dependent_jobs(size, seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
        total.add(&cluster.observed.dependencies);
    }
    println!("{name}: {total:?}");
    total
}

fn assert_dependencies_exercised(counts: &DependencyCounts) {
    assert!(counts.accepted_blocked >= 10, "{counts:?}");
    assert!(counts.released >= 5, "{counts:?}");
    assert!(
        counts.cancelled_on_submission + counts.cancelled_by_cascade >= 3,
        "{counts:?}"
    );
}

#[test]
fn dependent_jobs_finish_in_order_without_faults() {
    let counts = count_dependencies_on_seeds(
        "dependent jobs without faults",
        THREE_CONTROLLERS,
        500..504,
        DEPENDENT_JOBS,
    );
    assert_dependencies_exercised(&counts);
    // Without faults no cancellation is confirmed while a dependent of the job is still live.
    assert_eq!(counts.live_at_confirmation, 0);
}

/// Watch caches that are loaded again may lag behind releases, ends and cancellations that their
/// controllers have just committed.
#[test]
fn invariants_hold_for_dependent_jobs_when_watch_caches_are_loaded_again() {
    let reloads = Faults {
        watch_cache_reloads: true,
        lost_responses: true,
        ..DEPENDENT_JOBS
    };
    let counts = count_dependencies_on_seeds("reloads", THREE_CONTROLLERS, 900..908, reloads);
    assert_dependencies_exercised(&counts);
}

/// Enables each fault alone while users submit dependent jobs. After the faults are healed, users
/// submit no new jobs, and all jobs must end.
#[test]
fn invariants_hold_for_dependent_jobs_under_each_fault() {
    let mut total = DependencyCounts::default();
    for (seed, (name, add_fault)) in (510..).step_by(4).zip(SINGLE_FAULTS) {
        let mut faults = DEPENDENT_JOBS;
        add_fault(&mut faults);
        let counts = count_dependencies_on_seeds(name, THREE_CONTROLLERS, seed..seed + 3, faults);
        assert!(
            counts.accepted_blocked >= 10 && counts.released >= 5,
            "{counts:?}"
        );
        total.add(&counts);
    }
    assert!(total.cancelled_by_cascade >= 100, "{total:?}");
}

#[test]
fn invariants_hold_for_dependent_jobs_under_all_faults() {
    let all_faults = Faults {
        dependent_jobs: true,
        ..Faults::ALL_SINGLE_FAULTS
    };
    let mut total = count_dependencies_on_seeds(
        "dependent jobs under all faults",
        THREE_CONTROLLERS,
        600..606,
        all_faults,
    );
    let partitioned = Faults {
        zone_partition: true,
        ..all_faults
    };
    total.add(&count_dependencies_on_seeds(
        "dependent jobs with five controllers",
        FIVE_CONTROLLERS,
        606..610,
        partitioned,
    ));
    assert_dependencies_exercised(&total);
}

/// Leaders change while dependent jobs are accepted, released and allotted, and jobs with
/// dependents are cancelled at the moment at which they complete.
#[test]
fn invariants_hold_for_dependent_jobs_under_leader_crashes_and_late_cancellations() {
    let faults = Faults {
        leader_crashes: true,
        cancel_at_completion: true,
        restarts_in_election: true,
        lost_responses: true,
        ..DEPENDENT_JOBS
    };
    assert_dependencies_exercised(&count_dependencies_on_seeds(
        "leader crashes and late cancellations",
        THREE_CONTROLLERS,
        620..628,
        faults,
    ));
}

/// Checks the invariants themselves: with a guard disabled, some seed must violate the expected
/// invariant.
#[test]
fn each_disabled_dependency_guard_is_detected() {
    for (disabled_guard, faults, expected_kind) in [
        (
            DisabledGuard::DependenciesIgnored,
            DEPENDENT_JOBS,
            ViolationKind::DependencyNotDone,
        ),
        (
            DisabledGuard::MissingDependencyCountsAsDone,
            DEPENDENT_JOBS,
            ViolationKind::DependencyNotDone,
        ),
        (
            DisabledGuard::DependentsNotCancelled,
            DEPENDENT_JOBS,
            ViolationKind::OrphanedDependent,
        ),
        (
            DisabledGuard::DependenciesAcceptedDuringUpgrade,
            UPGRADE,
            ViolationKind::DependencyNotDone,
        ),
    ] {
        let is_detected = |seed: &u64| {
            let cluster: SimulatedCluster =
                run_with_dependent_jobs(THREE_CONTROLLERS, *seed, faults, disabled_guard);
            cluster
                .observed
                .violations
                .iter()
                .any(|violation| violation.kind == expected_kind)
        };
        let detecting_seed = (680..700).find(is_detected);
        println!("{disabled_guard:?} detected with seed {detecting_seed:?}");
        assert!(
            detecting_seed.is_some(),
            "{disabled_guard:?} was not detected"
        );
    }
}
