//! Days on which whole zones are cut off, from everything or from each other.

use super::{assert_invariants_hold, assert_invariants_hold_on_seeds, run_simulation_with_size};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::FIVE_CONTROLLERS;

/// The controller inside keeps its machines' leases alive, so what was cancelled goes on there
/// until the machine is deleted.
#[test]
fn invariants_hold_while_a_zone_with_a_controller_is_isolated() {
    let zone_isolation = Faults {
        zone_isolation: true,
        overload: true,
        ..Faults::default()
    };
    assert_invariants_hold_on_seeds("zone", 110..116, zone_isolation);
    let with_crashes = Faults {
        controller_crashes: true,
        ..zone_isolation
    };
    assert_invariants_hold_on_seeds("zone and crashes", 116..120, with_crashes);
}

/// Other faults that days with a zone partition add to it.
fn partition_combinations(partitioned: Faults) -> [Faults; 4] {
    [
        Faults {
            leader_crashes: true,
            ..partitioned
        },
        Faults {
            store_refusal_then_outage: true,
            ..partitioned
        },
        Faults {
            restarts_in_election: true,
            overload: true,
            machine_failures: true,
            ..partitioned
        },
        Faults {
            control_plane_outage: true,
            cancel_at_completion: true,
            ..partitioned
        },
    ]
}

/// Five controllers in three zones, of which two can't reach each other: heartbeats and messages go
/// around through the third, and work goes on everywhere.
#[test]
fn invariants_hold_and_traffic_is_relayed_under_a_zone_partition() {
    let partitioned = Faults {
        zone_partition: true,
        ..Faults::default()
    };
    let (mut relayed, mut tasks_lost) = (0, [0, 0]);
    for seed in 400..406 {
        let cluster =
            run_simulation_with_size(FIVE_CONTROLLERS, seed, partitioned, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("zones apart, seed {seed}"));
        assert!(
            cluster.observed.fault_occurrences > 0,
            "seed {seed}: no zones were apart"
        );
        relayed += cluster.observed.relayed_messages;
        tasks_lost[0] += cluster.observed.tasks_lost;
        let without_relay = run_simulation_with_size(
            FIVE_CONTROLLERS,
            seed,
            partitioned,
            DisabledGuard::RelayDisabled,
        );
        assert!(
            without_relay.observed.violations.is_empty(),
            "{:?}",
            without_relay.observed.violations
        );
        tasks_lost[1] += without_relay.observed.tasks_lost;
    }
    assert!(relayed > 500, "{relayed} went around");
    println!("lost {tasks_lost:?} with and without a way around");
    assert!(tasks_lost[0] * 3 <= tasks_lost[1], "lost {tasks_lost:?}");
    for (seed, faults) in (406..).zip(
        partition_combinations(partitioned)
            .into_iter()
            .cycle()
            .take(16),
    ) {
        let cluster = run_simulation_with_size(FIVE_CONTROLLERS, seed, faults, DisabledGuard::None);
        assert_invariants_hold(
            &cluster,
            &format!("zones apart and {faults:?}, seed {seed}"),
        );
    }
}

#[test]
fn invariants_hold_with_five_controllers_under_all_faults() {
    for seed in 430..438 {
        let faults = Faults {
            zone_partition: true,
            ..Faults::ALL_SINGLE_FAULTS
        };
        let cluster = run_simulation_with_size(FIVE_CONTROLLERS, seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("all at five, seed {seed}"));
    }
}
