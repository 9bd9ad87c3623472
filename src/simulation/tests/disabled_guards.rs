//! Simulated runs with one guard disabled. They check the invariants themselves: each disabled
//! guard must lead to a violation. `dependent_jobs.rs` tests the guards of dependencies, and
//! `zone_faults.rs` tests `RelayDisabled`, which leads to lost tasks but to no violation.

use super::run_simulation;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

/// Asserts that some seed leads to a violated invariant when the guard is disabled.
fn assert_detected(disabled_guard: DisabledGuard, faults: Faults) {
    let is_violated = |seed: &u64| {
        let cluster = run_simulation(*seed, faults, disabled_guard);
        !cluster.observed.violations.is_empty()
    };
    let detecting_seed = (40..100).find(is_violated);
    println!("{disabled_guard:?} detected with seed {detecting_seed:?}");
    assert!(
        detecting_seed.is_some(),
        "{disabled_guard:?} was not detected"
    );
}

#[test]
fn each_disabled_guard_is_detected() {
    // No crashes: they raise the fencing tokens, which hides the effect of late commands.
    let lost_responses = Faults {
        lost_responses: true,
        ..Faults::default()
    };
    let crashes_and_losses = Faults {
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
    let store_outage = Faults {
        store_refusal_then_outage: true,
        ..Faults::default()
    };
    for (disabled_guard, faults) in [
        (
            DisabledGuard::ExitedTasksForgottenOnReport,
            duplicate_requests,
        ),
        (DisabledGuard::LostCallsCountAsUnsent, lost_responses),
        (DisabledGuard::DeletionsFalselyConfirmed, crashes_and_losses),
        (DisabledGuard::FencesIgnored, crashes_and_losses),
        (
            DisabledGuard::DeletedMachinesAcknowledge,
            duplicate_heartbeats,
        ),
        (DisabledGuard::UnreachableMachinesAcknowledge, outbound_only),
        (DisabledGuard::CancellationConfirmedOnCommit, store_outage),
        (DisabledGuard::LaunchesIgnoredAfterHeal, lost_responses),
    ] {
        assert_detected(disabled_guard, faults);
    }
}
