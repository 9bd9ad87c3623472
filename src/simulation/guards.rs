//! Guards that a day disables, to show that the invariants notice.

/// A guard that is deliberately missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisabledGuard {
    None,
    /// A command without an answer counts as never sent.
    LostCallsCountAsUnsent,
    /// The cloud's answer to a deletion is not waited for.
    UnconfirmedDeletionsTrusted,
    /// The store does not check the fences of shards and machines.
    FencesIgnored,
    /// Whoever is asked answers, machines that are long deleted too.
    DeletedMachinesAnswer,
    /// Commands count as carried out by machines that nothing reaches.
    UnreachableMachinesAcknowledge,
    /// Users are told of a cancellation as soon as its record is written.
    CancellationConfirmedAtOnce,
    /// Nothing goes around two zones that can't reach each other.
    RelayDisabled,
    /// Once all is well, workers start nothing.
    LaunchesIgnoredAfterHeal,
    /// Workers forget exited tasks once they have reported them, as if told to at once.
    ExitedTasksForgottenAtOnce,
    /// Jobs are accepted as if nothing that they name had to be done first.
    DependenciesIgnored,
    /// A job that has left the watch cache counts as done.
    MissingParentCountsAsDone,
    /// Jobs that need a cancelled one are left as they are.
    DependentsNotCancelled,
    /// Jobs that name others are accepted while an earlier version takes part.
    OldVersionsAcceptDependencies,
}
