//! Simulated runs for faults that might not occur, or might not coincide with the events that they
//! are meant to hit. The tests assert a minimum number of occurrences, and then add further faults.

use super::{assert_invariants_hold, assert_invariants_hold_on_seeds, run_simulation};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::observations::LateLaunchCounts;

/// The key-value store refuses only the leader while users cancel jobs on its machines through
/// other controllers. Then the store is unavailable to all controllers for longer than a
/// cancellation may take.
#[test]
fn invariants_hold_for_cancellations_between_store_refusal_and_outage() {
    let refusal_then_outage = Faults {
        store_refusal_then_outage: true,
        ..Faults::default()
    };
    let mut fault_occurrences = 0;
    for seed in 140..150 {
        let cluster = run_simulation(seed, refusal_then_outage, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("store refusal then outage, seed {seed}"));
        fault_occurrences += cluster.observed.fault_occurrences;
    }
    assert!(
        fault_occurrences >= 10,
        "cancellations coincided with the store refusal only {fault_occurrences} times"
    );
    let with_more_faults = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        overload: true,
        ..refusal_then_outage
    };
    assert_invariants_hold_on_seeds(
        "store refusal then outage and further faults",
        150..156,
        with_more_faults,
    );
}

/// Runs a simulation for each seed, asserts that the invariants hold and that the fault occurred at
/// least `min_occurrences` times in all runs together. Then repeats the runs with controller
/// crashes, machine failures and overload.
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
        "{name}: occurred only {fault_occurrences} times"
    );
    let with_more_faults = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..faults
    };
    assert_invariants_hold_on_seeds(
        &format!("{name} and further faults"),
        seeds,
        with_more_faults,
    );
}

/// Guards against a late copy of a launch that starts a task although it was carried out and answered
/// before: the worker was told to forget the exited task, the task was moved to another machine, or its job
/// was cancelled. Workers are in the same or a later epoch, and controllers are back within a fraction of
/// a second. Each of these has to occur.
#[test]
fn late_copies_of_launches_start_no_moved_or_cancelled_task() {
    let late_copies = Faults {
        duplicate_requests: true,
        lost_responses: true,
        machine_failures: true,
        ..Faults::default()
    };
    let with_restarts = Faults {
        restarts_in_election: true,
        cancel_at_completion: true,
        ..late_copies
    };
    let with_expired_epochs = Faults {
        inbound_only_machines: true,
        ..with_restarts
    };
    let mut late_launches = LateLaunchCounts::default();
    for faults in [late_copies, with_restarts, with_expired_epochs] {
        for seed in 230..254 {
            let cluster = run_simulation(seed, faults, DisabledGuard::None);
            assert_invariants_hold(&cluster, &format!("late copies, seed {seed}"));
            late_launches.add(&cluster.observed.late_launches);
        }
    }
    println!("{late_launches:?}");
    assert!(late_launches.min() >= 10, "{late_launches:?}");
}

#[test]
fn invariants_hold_with_inbound_only_machines() {
    let inbound_only = Faults {
        inbound_only_machines: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("inbound-only machines", 160..164, inbound_only, 20);
}

#[test]
fn invariants_hold_with_a_slow_store() {
    let slow_store = Faults {
        slow_store: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("slow store", 170..174, slow_store, 20);
}

#[test]
fn invariants_hold_under_frequent_leader_crashes() {
    let leader_crashes = Faults {
        leader_crashes: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("leader crashes", 180..184, leader_crashes, 20);
}

#[test]
fn invariants_hold_when_all_controllers_are_down_beyond_a_lease() {
    let outage = Faults {
        control_plane_outage: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur("control plane outage", 190..194, outage, 8);
}

#[test]
fn invariants_hold_for_cancellations_at_task_completion() {
    let at_completion = Faults {
        cancel_at_completion: true,
        ..Faults::default()
    };
    assert_invariants_hold_and_faults_occur(
        "cancellation at completion",
        200..204,
        at_completion,
        40,
    );
}
