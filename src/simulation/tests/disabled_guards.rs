//! Days on which one guard is disabled: the invariants are worth something only if they notice.

use super::play;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

/// Asserts that on some seed an invariant is violated.
fn assert_detected(disabled_guard: DisabledGuard, faults: Faults) {
    let is_violated = |seed: &u64| {
        let cluster = play(*seed, faults, disabled_guard);
        !cluster.observed.violations.is_empty()
    };
    let caught = (40..100).find(is_violated);
    println!("{disabled_guard:?} seen with seed {caught:?}");
    assert!(caught.is_some(), "{disabled_guard:?} went unseen");
}

#[test]
fn each_disabled_guard_is_detected() {
    // Crashes raise the tokens, which hides what a late command would do.
    let lost_responses = Faults {
        lost_responses: true,
        ..Faults::default()
    };
    let all = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        store_disconnects: true,
        ..Faults::default()
    };
    let duplicate_heartbeats = Faults {
        duplicate_heartbeats: true,
        machine_failures: true,
        ..Faults::default()
    };
    let outbound_only = Faults {
        outbound_only_machines: true,
        ..Faults::default()
    };
    let duplicate_requests = Faults {
        duplicate_requests: true,
        overload: true,
        ..Faults::default()
    };
    let refusal = Faults {
        store_refusal_then_outage: true,
        ..Faults::default()
    };
    for (disabled_guard, faults) in [
        (
            DisabledGuard::ExitedTasksForgottenOnReport,
            duplicate_requests,
        ),
        (DisabledGuard::LostCallsCountAsUnsent, lost_responses),
        (DisabledGuard::DeletionsFalselyConfirmed, all),
        (DisabledGuard::FencesIgnored, all),
        (
            DisabledGuard::DeletedMachinesAcknowledge,
            duplicate_heartbeats,
        ),
        (DisabledGuard::UnreachableMachinesAcknowledge, outbound_only),
        (DisabledGuard::CancellationConfirmedOnCommit, refusal),
        (DisabledGuard::LaunchesIgnoredAfterHeal, lost_responses),
    ] {
        assert_detected(disabled_guard, faults);
    }
}
