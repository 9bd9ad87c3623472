//! Days on which users submit jobs that depend on other jobs.

use super::{SINGLE_FAULTS, assert_invariants_hold};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::observations::DependencyCounts;
use crate::simulation::topology::{ClusterSize, FIVE_CONTROLLERS, THREE_CONTROLLERS};
use crate::simulation::violations::ViolationKind;

/// Users submit dependent jobs, without any fault.
pub(super) const DEPENDENT_JOBS: Faults = Faults {
    dependent_jobs: true,
    ..Faults::NONE
};

/// A rolling upgrade with dependent jobs and lowered store limits.
pub(super) const UPGRADE: Faults = Faults {
    rolling_upgrade: true,
    lowered_store_limits: true,
    ..DEPENDENT_JOBS
};

/// Dependent jobs end one after the other: the longest chains on these days take some minutes
/// once all faults are healed.
const DAY_END_MS: u64 = 340_000;

/// Plays a day until dependent jobs have ended as well.
pub(super) fn play_dependent_day(
    size: ClusterSize,
    seed: u64,
    faults: Faults,
    disabled_guard: DisabledGuard,
) -> SimulatedCluster {
    let mut cluster = super::play_at(size, seed, faults, disabled_guard);
    cluster.run_until(DAY_END_MS);
    cluster
}

/// Plays a day on each seed and sums up what became of the dependent jobs.
fn play_days(
    name: &str,
    size: ClusterSize,
    seeds: std::ops::Range<u64>,
    faults: Faults,
) -> DependencyCounts {
    let mut sum = DependencyCounts::default();
    for seed in seeds {
        let cluster = play_dependent_day(size, seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
        sum.add(&cluster.observed.dependencies);
    }
    println!("{name}: {sum:?}");
    sum
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
    let counts = play_days(
        "quiet pipelines",
        THREE_CONTROLLERS,
        500..504,
        DEPENDENT_JOBS,
    );
    assert_dependencies_exercised(&counts);
    // Nobody is told of a cancellation while a dependent of the job is still live.
    assert_eq!(counts.live_at_confirmation, 0);
}

/// Each fault alone, with dependent jobs all day.
#[test]
fn invariants_hold_for_dependent_jobs_under_each_fault() {
    let mut sum = DependencyCounts::default();
    for (seed, (name, set)) in (510..).step_by(4).zip(SINGLE_FAULTS) {
        let mut faults = DEPENDENT_JOBS;
        set(&mut faults);
        let counts = play_days(name, THREE_CONTROLLERS, seed..seed + 3, faults);
        assert!(
            counts.accepted_blocked >= 10 && counts.released >= 5,
            "{counts:?}"
        );
        sum.add(&counts);
    }
    assert!(sum.cancelled_by_cascade >= 100, "{sum:?}");
}

#[test]
fn invariants_hold_for_dependent_jobs_under_all_faults() {
    let all = Faults {
        dependent_jobs: true,
        ..Faults::ALL_SINGLE_FAULTS
    };
    let mut sum = play_days("pipelines and all", THREE_CONTROLLERS, 600..606, all);
    let partitioned = Faults {
        zone_partition: true,
        ..all
    };
    sum.add(&play_days(
        "pipelines at five",
        FIVE_CONTROLLERS,
        606..610,
        partitioned,
    ));
    assert_dependencies_exercised(&sum);
}

/// Leaders change while children are accepted, released and allotted, and jobs that others need
/// are cancelled as they end.
#[test]
fn invariants_hold_for_dependent_jobs_under_leader_crashes_and_late_cancellations() {
    let faults = Faults {
        leader_crashes: true,
        cancel_at_completion: true,
        restarts_in_election: true,
        lost_responses: true,
        ..DEPENDENT_JOBS
    };
    assert_dependencies_exercised(&play_days(
        "leaders and ends",
        THREE_CONTROLLERS,
        620..628,
        faults,
    ));
}

/// The invariants are worth something only if they notice a disabled guard.
#[test]
fn each_disabled_dependency_guard_is_detected() {
    for (disabled_guard, faults, rule) in [
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
        let record_violation = |seed: &u64| {
            let cluster: SimulatedCluster =
                play_dependent_day(THREE_CONTROLLERS, *seed, faults, disabled_guard);
            cluster
                .observed
                .violations
                .iter()
                .any(|violation| violation.kind == rule)
        };
        let caught = (680..700).find(record_violation);
        println!("{disabled_guard:?} seen with seed {caught:?}");
        assert!(caught.is_some(), "{disabled_guard:?} went unseen");
    }
}
