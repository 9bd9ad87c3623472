//! Days on which controllers of two versions serve together and the store lowers its limits.

use super::assert_invariants_hold;
use super::dependent_jobs::{UPGRADE, run_with_dependent_jobs};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::{ClusterSize, FIVE_CONTROLLERS, THREE_CONTROLLERS};

/// Plays upgrade days and asserts that every controller was upgraded and every limit lowered.
fn assert_invariants_hold_during_upgrades(
    name: &str,
    size: ClusterSize,
    seeds: std::ops::Range<u64>,
    faults: Faults,
) {
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
    assert!(postponed > 0, "{name}: nothing was asked too soon");
}

/// Both versions serve, either may lead, and the limits fall. What only the later version
/// understands is put off until all have it.
#[test]
fn invariants_hold_during_rolling_upgrade_with_lowered_store_limits() {
    assert_invariants_hold_during_upgrades("upgrade", THREE_CONTROLLERS, 640..646, UPGRADE);
    assert_invariants_hold_during_upgrades("upgrade of five", FIVE_CONTROLLERS, 646..648, UPGRADE);
    let leader_crashes = Faults {
        leader_crashes: true,
        restarts_in_election: true,
        ..UPGRADE
    };
    assert_invariants_hold_during_upgrades(
        "upgrade and leaders",
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
    assert_invariants_hold_during_upgrades(
        "upgrade and machines",
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
    assert_invariants_hold_during_upgrades(
        "upgrade and late effects",
        THREE_CONTROLLERS,
        660..664,
        late_effects,
    );
    let refusal_then_outage = Faults {
        store_refusal_then_outage: true,
        cancel_at_completion: true,
        store_disconnects: true,
        ..UPGRADE
    };
    assert_invariants_hold_during_upgrades(
        "upgrade and gap",
        THREE_CONTROLLERS,
        664..668,
        refusal_then_outage,
    );
}

/// Once the limits have fallen nothing of this version is refused for its size again and again.
#[test]
fn few_transactions_are_too_large_after_store_limits_are_lowered() {
    for seed in 670..674 {
        let overload = Faults {
            overload: true,
            ..UPGRADE
        };
        let cluster =
            run_with_dependent_jobs(THREE_CONTROLLERS, seed, overload, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("limits, seed {seed}"));
        let refused = cluster.store.oversized_txns;
        assert!(refused <= 20, "seed {seed}: refused {refused} times");
    }
}
