//! The violations of invariants.

use crate::ids::MonotonicTime;

/// The kind of a violation. Each kind belongs to one invariant. Some invariants are checked only in
/// a part of a run or only under certain faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViolationKind {
    /// A machine with running tasks was deleted although no machine was faulty.
    HealthyMachineDeleted,
    /// Two attempts of a task were live on two machines.
    RanTwice,
    /// A team used more than its limit.
    QuotaExceeded,
    /// A task was launched in violation of a zone or spot constraint.
    WrongPlacement,
    /// A machine got commands that were meant for another one, or for an earlier time.
    CommandsMisdelivered,
    /// A task was live long after its user was told that it is cancelled.
    CancelledTaskRan,
    /// A task was launched after its user was told that it is cancelled.
    CancelledTaskLaunched,
    /// A job was cancelled although nobody had requested it.
    CancelledWithoutReason,
    /// A final state changed.
    FinalStateChanged,
    /// A job was marked as done before all its tasks were done.
    DoneTooEarly,
    /// A task was launched before a dependency was done.
    DependencyNotDone,
    /// A job was still live long after a dependency was cancelled.
    OrphanedDependent,
    /// A job waited for long although there was room for it.
    Starved,
    /// A record of a deleted machine was recreated.
    DeletedRecordRecreated,
    /// A record of a deleted machine, recreated or never removed, remained long after all faults were
    /// healed.
    DeletedRecordKept,
    /// The record of a machine that was unreachable for long was not removed.
    UnreachableMachineKept,
    /// A valid submission was not accepted.
    SubmissionNotAccepted,
}

/// A violation of an invariant.
#[derive(Debug)]
#[expect(dead_code, reason = "time and subject are printed by failing tests")]
pub(super) struct Violation {
    /// The kind of the violation.
    pub kind: ViolationKind,
    /// When the violation was detected.
    pub at: MonotonicTime,
    /// The job, task attempt or machine that the violation concerns.
    pub subject: String,
}
