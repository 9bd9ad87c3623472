//! Simulated days on which users submit pipelines, and on which controllers are upgraded.

use super::assert_kept;
use super::cluster::{
    DisabledGuard, FIVE_CONTROLLERS, Faults, Shape, SimulatedCluster, THREE_CONTROLLERS,
};
use super::pipelines::PipelineCounts;

const PIPELINES: Faults = Faults {
    dependent_jobs: true,
    ..Faults::NONE
};

/// Jobs that need one another end one after the other: the longest chains on these days take some
/// minutes once all is well.
const END: u64 = 340_000;

fn play_at(
    shape: Shape,
    seed: u64,
    faults: Faults,
    disabled_guard: DisabledGuard,
) -> SimulatedCluster {
    let mut cluster = super::play_at(shape, seed, faults, disabled_guard);
    cluster.run(END);
    cluster
}

/// Plays a day on each seed and sums up what became of the dependent jobs.
fn days(name: &str, shape: Shape, seeds: std::ops::Range<u64>, faults: Faults) -> PipelineCounts {
    let mut sum = PipelineCounts::default();
    for seed in seeds {
        let cluster = play_at(shape, seed, faults, DisabledGuard::None);
        assert_kept(&cluster, &format!("{name}, seed {seed}"));
        sum.add(&cluster.pipelines);
    }
    println!("{name}: {sum:?}");
    sum
}

fn assert_dependencies_exercised(counts: &PipelineCounts) {
    assert!(counts.waited >= 10, "{counts:?}");
    assert!(counts.released >= 5, "{counts:?}");
    assert!(
        counts.cancelled_at_once + counts.cancelled_with >= 3,
        "{counts:?}"
    );
}

#[test]
fn pipelines_finish_in_their_order_on_a_quiet_day() {
    let counts = days("quiet pipelines", THREE_CONTROLLERS, 500..504, PIPELINES);
    assert_dependencies_exercised(&counts);
    // Nobody is told of a cancellation while something that needs the job still waits.
    assert_eq!(counts.left_at_confirmation, 0);
}

/// Each trouble alone, with pipelines all day.
#[test]
fn rules_hold_for_pipelines_under_each_trouble() {
    let mut sum = PipelineCounts::default();
    for (seed, (name, set)) in (510..).step_by(4).zip(super::SINGLE_FAULTS) {
        let mut faults = PIPELINES;
        set(&mut faults);
        let counts = days(name, THREE_CONTROLLERS, seed..seed + 3, faults);
        assert!(counts.waited >= 10 && counts.released >= 5, "{counts:?}");
        sum.add(&counts);
    }
    assert!(sum.cancelled_with >= 100, "{sum:?}");
}

#[test]
fn rules_hold_for_pipelines_under_everything_at_once() {
    let all = Faults {
        dependent_jobs: true,
        ..Faults::ALL
    };
    let mut sum = days("pipelines and all", THREE_CONTROLLERS, 600..606, all);
    let parted = Faults {
        zone_partition: true,
        ..all
    };
    sum.add(&days(
        "pipelines at five",
        FIVE_CONTROLLERS,
        606..610,
        parted,
    ));
    assert_dependencies_exercised(&sum);
}

/// Leaders change while children are accepted, released and allotted, and jobs that others need
/// are cancelled as they end.
#[test]
fn rules_hold_for_pipelines_while_leaders_change_and_parents_are_cancelled_at_their_end() {
    let faults = Faults {
        leader_crashes: true,
        cancel_at_completion: true,
        restarts_in_election: true,
        lost_responses: true,
        ..PIPELINES
    };
    assert_dependencies_exercised(&days(
        "leaders and ends",
        THREE_CONTROLLERS,
        620..628,
        faults,
    ));
}

const UPGRADE: Faults = Faults {
    rolling_upgrade: true,
    lowered_store_limits: true,
    ..PIPELINES
};

fn upgrade_days(name: &str, shape: Shape, seeds: std::ops::Range<u64>, faults: Faults) {
    let (mut upgraded, mut postponed, mut lowered) = (0, 0, 0);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let cluster = play_at(shape, seed, faults, DisabledGuard::None);
        assert_kept(&cluster, &format!("{name}, seed {seed}"));
        upgraded += cluster.nodes.iter().filter(|n| !n.earlier_version).count();
        postponed += cluster.pipelines.postponed;
        lowered += u64::from(cluster.store.limits.is_some());
    }
    assert_eq!(upgraded, shape.members * count as usize, "{name}");
    assert_eq!(lowered, count, "{name}");
    assert!(postponed > 0, "{name}: nothing was asked too soon");
}

/// Both versions serve, either may lead, and the limits fall. What only the later version
/// understands is put off until all have it.
#[test]
fn rules_hold_while_controllers_are_upgraded_and_the_limits_fall() {
    upgrade_days("upgrade", THREE_CONTROLLERS, 640..646, UPGRADE);
    upgrade_days("upgrade of five", FIVE_CONTROLLERS, 646..648, UPGRADE);
    let leaders = Faults {
        leader_crashes: true,
        restarts_in_election: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and leaders", THREE_CONTROLLERS, 650..654, leaders);
    let machines = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..UPGRADE
    };
    upgrade_days(
        "upgrade and machines",
        THREE_CONTROLLERS,
        654..660,
        machines,
    );
    let late = Faults {
        lost_responses: true,
        duplicate_requests: true,
        slow_store: true,
        ..UPGRADE
    };
    upgrade_days(
        "upgrade and late effects",
        THREE_CONTROLLERS,
        660..664,
        late,
    );
    let gap = Faults {
        refusal_then_outage: true,
        cancel_at_completion: true,
        store_disconnects: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and gap", THREE_CONTROLLERS, 664..668, gap);
}

/// Once the limits have fallen nothing of this version is refused for its size again and again.
#[test]
fn little_is_refused_for_its_size_once_the_limits_have_fallen() {
    for seed in 670..674 {
        let crowd = Faults {
            overload: true,
            ..UPGRADE
        };
        let cluster = play_at(THREE_CONTROLLERS, seed, crowd, DisabledGuard::None);
        assert_kept(&cluster, &format!("limits, seed {seed}"));
        let refused = cluster.store.too_large;
        assert!(refused <= 20, "seed {seed}: refused {refused} times");
    }
}

/// The checks are worth something only if they see a guard that is missing.
#[test]
fn a_broken_guard_of_dependent_jobs_is_caught() {
    for (disabled_guard, faults, rule) in [
        (DisabledGuard::DependenciesIgnored, PIPELINES, "too_early"),
        (
            DisabledGuard::MissingParentCountsAsDone,
            PIPELINES,
            "too_early",
        ),
        (DisabledGuard::DependentsNotCancelled, PIPELINES, "orphaned"),
        (
            DisabledGuard::OldVersionsAcceptDependencies,
            UPGRADE,
            "too_early",
        ),
    ] {
        let record_violation = |seed: &u64| {
            let cluster: SimulatedCluster =
                play_at(THREE_CONTROLLERS, *seed, faults, disabled_guard);
            cluster.violations.iter().any(|b| b.starts_with(rule))
        };
        let caught = (680..700).find(record_violation);
        println!("{disabled_guard:?} seen with seed {caught:?}");
        assert!(caught.is_some(), "{disabled_guard:?} went unseen");
    }
}
