//! The rules that hold all day, and their violations.

use crate::ids::MonotonicTime;

/// What must hold. Each variant is named for its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViolationKind {
    /// A machine with running tasks was deleted, though no machine was at fault.
    HealthyMachineDeleted,
    /// Two attempts of a task were live on two machines.
    RanTwice,
    /// A team used more than its limit.
    QuotaExceeded,
    /// A task was launched against a zone or spot constraint.
    WrongPlacement,
    /// A task was live long after its user was told that it is cancelled.
    CancelledTaskRan,
    /// A task was launched after its user was told that it is cancelled.
    CancelledTaskLaunched,
    /// A job was cancelled though nobody had asked for it.
    CancelledWithoutReason,
    /// A final state changed.
    FinalStateChanged,
    /// A job was done before all its tasks were.
    DoneTooEarly,
    /// A task was launched before a dependency was done.
    DependencyNotDone,
    /// A job was still live long after a dependency was cancelled.
    OrphanedDependent,
    /// A job waited for long beside room that fits.
    Starved,
    /// A record of a deleted machine came back.
    DeletedRecordRecreated,
    /// A record of a deleted machine did not go again.
    DeletedRecordKept,
    /// A machine that nothing reached for long was not given up.
    UnreachableMachineKept,
    /// A valid submission was not accepted.
    SubmissionNotAccepted,
}

/// A rule that did not hold.
#[derive(Debug)]
#[expect(dead_code, reason = "time and subject are printed by failing tests")]
pub(super) struct Violation {
    /// The rule.
    pub kind: ViolationKind,
    /// When it was noticed.
    pub at: MonotonicTime,
    /// The job, task attempt or machine.
    pub subject: String,
}
