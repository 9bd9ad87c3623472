//! Simulated runs in which a zone is isolated from everything outside it, or two zones are
//! partitioned from each other.

use super::{assert_invariants_hold, assert_invariants_hold_on_seeds, run_simulation_with_size};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::FIVE_CONTROLLERS;
use crate::simulation::violations::ViolationKind;

/// The controller in the isolated zone keeps renewing the leases of its machines, so cancelled tasks
/// continue to run there until their machine is deleted.
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

/// Returns combinations of a zone partition with other faults.
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

/// Five controllers run in three zones, two of which can't reach each other. Heartbeats and messages
/// between the two are relayed through the third zone, so that tasks keep running in all of them.
/// With relaying disabled, at least three times as many tasks must be lost, over all seeds together.
/// Further runs combine the partition with other faults.
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
        assert_invariants_hold(&cluster, &format!("zone partition, seed {seed}"));
        assert!(
            cluster.observed.fault_occurrences > 0,
            "seed {seed}: no partition occurred"
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
    assert!(relayed > 500, "only {relayed} messages relayed");
    println!("lost {tasks_lost:?} tasks with and without relaying");
    assert!(
        tasks_lost[0] * 3 <= tasks_lost[1],
        "lost {tasks_lost:?} tasks"
    );
    for (seed, faults) in (406..).zip(
        partition_combinations(partitioned)
            .into_iter()
            .cycle()
            .take(16),
    ) {
        let cluster = run_simulation_with_size(FIVE_CONTROLLERS, seed, faults, DisabledGuard::None);
        assert_invariants_hold(
            &cluster,
            &format!("zone partition and {faults:?}, seed {seed}"),
        );
    }
}

/// Responses to forwarded heartbeats arrive at processes that did not forward them.
const LATE_FORWARDED_RESPONSES: Faults = Faults {
    zone_partition: true,
    late_forwarded_responses: true,
    overload: true,
    ..Faults::NONE
};

fn run_with_late_forwarded_responses(seed: u64, guard: DisabledGuard) -> SimulatedCluster {
    run_simulation_with_size(FIVE_CONTROLLERS, seed, LATE_FORWARDED_RESPONSES, guard)
}

/// Guards against commands that reach another machine than the one they are meant for: a restarted
/// controller gave its forwarded heartbeats the ids of its earlier process, and took the late responses to
/// those for its own.
#[test]
fn late_responses_to_forwarded_heartbeats_reach_no_other_machine() {
    let is_detected = |seed: &u64| {
        let cluster = run_with_late_forwarded_responses(*seed, DisabledGuard::ForwardIdsReused);
        let mut violations = cluster.observed.violations.iter();
        violations.any(|v| v.kind == ViolationKind::CommandsMisdelivered)
    };
    let detecting_seed = (440..600).find(is_detected);
    println!("ForwardIdsReused detected with seed {detecting_seed:?}");
    let detecting_seed = detecting_seed.expect("a seed that detects reused ids");
    for seed in (440..456).chain([detecting_seed]) {
        let cluster = run_with_late_forwarded_responses(seed, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("late forwarded responses, seed {seed}"));
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
        assert_invariants_hold(
            &cluster,
            &format!("five controllers under all faults, seed {seed}"),
        );
    }
}
