//! Simulated rolling upgrades, in which controllers of two versions run at the same time and the
//! store lowers its limits.

use super::assert_invariants_hold;
use super::dependent_jobs::{UPGRADE, run_with_dependent_jobs};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::{ClusterSize, FIVE_CONTROLLERS, THREE_CONTROLLERS};

/// Runs an upgrade for each seed and asserts that the invariants hold, that every controller was
/// upgraded, that the limits were lowered in every run, and that at least one submission was
/// postponed in all runs together.
fn check_upgrades(name: &str, size: ClusterSize, seeds: std::ops::Range<u64>, faults: Faults) {
    let (mut upgraded, mut postponed, mut lowered) = (0, 0, 0);
    let seed_count = seeds.end - seeds.start;
    for seed in seeds {
        let cluster = run_with_dependent_jobs(size, seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
        upgraded += cluster.nodes.iter().filter(|n| !n.earlier_version).count();
        postponed += cluster.observed.dependencies.postponed;
        lowered += u64::from(cluster.store.limits.is_some());
    }
    assert_eq!(
        upgraded,
        size.controller_count * seed_count as usize,
        "{name}"
    );
    assert_eq!(lowered, seed_count, "{name}");
    assert!(postponed > 0, "{name}: no submission was postponed");
}

/// Both versions run at the same time, either may lead, and the store lowers its limits. Jobs with
/// dependencies, which only the later version supports, are postponed until all controllers run it.
#[test]
fn invariants_hold_during_rolling_upgrade_with_lowered_store_limits() {
    check_upgrades("upgrade", THREE_CONTROLLERS, 640..646, UPGRADE);
    check_upgrades("upgrade of five", FIVE_CONTROLLERS, 646..648, UPGRADE);
    let leader_crashes = Faults {
        leader_crashes: true,
        restarts_in_election: true,
        ..UPGRADE
    };
    check_upgrades(
        "upgrade and leader crashes",
        THREE_CONTROLLERS,
        650..654,
        leader_crashes,
    );
    let machine_failures = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..UPGRADE
    };
    check_upgrades(
        "upgrade and machine failures",
        THREE_CONTROLLERS,
        654..660,
        machine_failures,
    );
    let late_effects = Faults {
        lost_responses: true,
        duplicate_requests: true,
        slow_store: true,
        ..UPGRADE
    };
    check_upgrades("late effects", THREE_CONTROLLERS, 660..664, late_effects);
    let refusal_then_outage = Faults {
        store_refusal_then_outage: true,
        cancel_at_completion: true,
        store_disconnects: true,
        ..UPGRADE
    };
    check_upgrades(
        "upgrade and store refusal then outage",
        THREE_CONTROLLERS,
        664..668,
        refusal_then_outage,
    );
}

/// After the limits are lowered, this version must not keep sending transactions that the store
/// refuses because of their size.
#[test]
fn few_transactions_are_too_large_after_store_limits_are_lowered() {
    for seed in 670..674 {
        let overload = Faults {
            overload: true,
            ..UPGRADE
        };
        let cluster =
            run_with_dependent_jobs(THREE_CONTROLLERS, seed, overload, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("lowered store limits, seed {seed}"));
        let refused = cluster.store.oversized_txns;
        assert!(refused <= 20, "seed {seed}: refused {refused} times");
    }
}
