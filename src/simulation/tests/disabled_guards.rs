//! Days on which one guard is disabled: the invariants are worth something only if they notice.

use super::play;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

#[test]
fn each_disabled_guard_is_detected() {
    // Crashes raise the tokens, which hides what a late command would do.
    let calm = Faults {
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
    let copies = Faults {
        duplicate_heartbeats: true,
        machine_failures: true,
        ..Faults::default()
    };
    let deaf = Faults {
        outbound_only_machines: true,
        ..Faults::default()
    };
    let repeats = Faults {
        duplicate_requests: true,
        overload: true,
        ..Faults::default()
    };
    let gap = Faults {
        refusal_then_outage: true,
        ..Faults::default()
    };
    for (disabled_guard, faults) in [
        (DisabledGuard::ExitedTasksForgottenAtOnce, repeats),
        (DisabledGuard::LostCallsCountAsUnsent, calm),
        (DisabledGuard::UnconfirmedDeletionsTrusted, all),
        (DisabledGuard::FencesIgnored, all),
        (DisabledGuard::DeletedMachinesAnswer, copies),
        (DisabledGuard::UnreachableMachinesAcknowledge, deaf),
        (DisabledGuard::CancellationConfirmedAtOnce, gap),
        (DisabledGuard::LaunchesIgnoredAfterHeal, calm),
    ] {
        let caught = (40..100).find(|seed| {
            !play(*seed, faults, disabled_guard)
                .observed
                .violations
                .is_empty()
        });
        println!("{disabled_guard:?} seen with seed {caught:?}");
        assert!(caught.is_some(), "{disabled_guard:?} went unseen");
    }
}
