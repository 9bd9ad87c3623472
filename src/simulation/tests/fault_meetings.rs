//! Days on which two events have to meet, counted, and then with further faults.

use super::{assert_invariants_hold, play, play_days};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

/// The leader alone is refused by the key-value store while others cancel what its machines run,
/// and then nobody is served for longer than a cancellation has (gap day).
#[test]
fn invariants_hold_for_cancellations_between_store_refusal_and_outage() {
    let refusal = Faults {
        store_refusal_then_outage: true,
        ..Faults::default()
    };
    let mut fault_occurrences = 0;
    for seed in 140..150 {
        let cluster = play(seed, refusal, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("gap, seed {seed}"));
        fault_occurrences += cluster.observed.fault_occurrences;
    }
    assert!(
        fault_occurrences >= 10,
        "cancellations met the gap {fault_occurrences} times"
    );
    let more = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        overload: true,
        ..refusal
    };
    play_days("gap and more", 150..156, more);
}

/// Plays days on which faults have to meet, counts that, and adds crashes and machine failures.
fn play_days_meeting_faults(
    name: &str,
    seeds: std::ops::Range<u64>,
    faults: Faults,
    at_least: u64,
) {
    let mut fault_occurrences = 0;
    for seed in seeds.clone() {
        let cluster = play(seed, faults, DisabledGuard::None);
        assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
        fault_occurrences += cluster.observed.fault_occurrences;
    }
    assert!(
        fault_occurrences >= at_least,
        "{name}: met {fault_occurrences} times"
    );
    let more = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..faults
    };
    play_days(&format!("{name} and more"), seeds, more);
}

#[test]
fn invariants_hold_with_inbound_only_machines() {
    let inbound_only = Faults {
        inbound_only_machines: true,
        ..Faults::default()
    };
    play_days_meeting_faults("mute machines", 160..164, inbound_only, 20);
}

#[test]
fn invariants_hold_with_a_slow_store() {
    let slow_store = Faults {
        slow_store: true,
        ..Faults::default()
    };
    play_days_meeting_faults("slow state service", 170..174, slow_store, 20);
}

#[test]
fn invariants_hold_under_frequent_leader_crashes() {
    let leader_crashes = Faults {
        leader_crashes: true,
        ..Faults::default()
    };
    play_days_meeting_faults("leaders", 180..184, leader_crashes, 20);
}

#[test]
fn invariants_hold_when_all_controllers_are_down_beyond_a_lease() {
    let outage = Faults {
        control_plane_outage: true,
        ..Faults::default()
    };
    play_days_meeting_faults("all away", 190..194, outage, 8);
}

#[test]
fn invariants_hold_for_cancellations_at_task_completion() {
    let at_completion = Faults {
        cancel_at_completion: true,
        ..Faults::default()
    };
    play_days_meeting_faults("cancelled at the end", 200..204, at_completion, 40);
}
