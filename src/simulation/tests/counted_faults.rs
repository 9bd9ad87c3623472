//! Days on which two events have to meet, counted, and then with further faults.

use super::{assert_invariants_hold, assert_invariants_hold_on_seeds, run_simulation};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

/// The leader alone is refused by the key-value store while others cancel what its machines run,
/// and then nobody is served for longer than a cancellation has (gap day).
#[test]
fn invariants_hold_for_cancellations_between_store_refusal_and_outage() {
    let refusal_then_outage = Faults {
        store_refusal_then_outage: true,
        ..Faults::default()
    };
    let mut fault_occurrences = 0;
    for seed in 140..150 {
        let cluster = run_simulation(seed, refusal_then_outage, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("gap, seed {seed}"));
        fault_occurrences += cluster.observed.fault_occurrences;
    }
    assert!(
        fault_occurrences >= 10,
        "cancellations met the gap {fault_occurrences} times"
    );
    let with_more_faults = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        overload: true,
        ..refusal_then_outage
    };
    assert_invariants_hold_on_seeds("gap and more", 150..156, with_more_faults);
}

/// Plays days on which faults have to meet, counts that, and adds crashes and machine failures.
fn assert_invariants_hold_and_faults_occur(
    name: &str,
    seeds: std::ops::Range<u64>,
    faults: Faults,
    min_occurrences: u64,
) {
    let mut fault_occurrences = 0;
    for seed in seeds.clone() {
        let cluster = run_simulation(seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
        fault_occurrences += cluster.observed.fault_occurrences;
    }
    assert!(
        fault_occurrences >= min_occurrences,
        "{name}: met {fault_occurrences} times"
    );
    let with_more_faults = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..faults
    };
    assert_invariants_hold_on_seeds(&format!("{name} and more"), seeds, with_more_faults);
}

#[test]
fn invariants_hold_with_inbound_only_machines() {
    let inbound_only = Faults {
        inbound_only_machines: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("mute machines", 160..164, inbound_only, 20);
}

#[test]
fn invariants_hold_with_a_slow_store() {
    let slow_store = Faults {
        slow_store: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("slow state service", 170..174, slow_store, 20);
}

#[test]
fn invariants_hold_under_frequent_leader_crashes() {
    let leader_crashes = Faults {
        leader_crashes: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("leaders", 180..184, leader_crashes, 20);
}

#[test]
fn invariants_hold_when_all_controllers_are_down_beyond_a_lease() {
    let outage = Faults {
        control_plane_outage: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("all away", 190..194, outage, 8);
}

#[test]
fn invariants_hold_for_cancellations_at_task_completion() {
    let at_completion = Faults {
        cancel_at_completion: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("cancelled at the end", 200..204, at_completion, 40);
}
