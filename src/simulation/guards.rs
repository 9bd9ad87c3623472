//! Guards that a day disables, to show that the invariants notice.

/// A guard that is deliberately disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisabledGuard {
    /// All guards are in place.
    None,
    /// A command without a response counts as never sent.
    LostCallsCountAsUnsent,
    /// The cloud confirms deletions that it does not carry out.
    DeletionsFalselyConfirmed,
    /// The store does not check the fences of shards and machines.
    FencesIgnored,
    /// Deleted machines acknowledge direct commands.
    DeletedMachinesAcknowledge,
    /// Commands count as carried out by machines that nothing reaches.
    UnreachableMachinesAcknowledge,
    /// Users are told of a cancellation as soon as its record is written.
    CancellationConfirmedOnCommit,
    /// Nothing is relayed around a zone partition.
    RelayDisabled,
    /// Once all faults are healed, workers ignore launches.
    LaunchesIgnoredAfterHeal,
    /// Workers forget exited tasks once they have reported them, without a command.
    ExitedTasksForgottenOnReport,
    /// Jobs are accepted as if all their dependencies were done.
    DependenciesIgnored,
    /// A job that has left the watch cache counts as done.
    MissingDependencyCountsAsDone,
    /// The dependents of a cancelled job are not cancelled.
    DependentsNotCancelled,
    /// Jobs with dependencies are accepted while an earlier version takes part.
    DependenciesAcceptedDuringUpgrade,
}
