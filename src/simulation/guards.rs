//! Guards that tests disable to show that the invariants detect the resulting violations or, for
//! `RelayDisabled`, that more tasks are lost.

/// A guard that is deliberately disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisabledGuard {
    /// All guards are in place.
    None,
    /// A direct call without a response is reported as never sent.
    LostCallsCountAsUnsent,
    /// The cloud confirms deletions that it does not carry out.
    DeletionsFalselyConfirmed,
    /// The store does not check the fences of shards and machines.
    FencesIgnored,
    /// Deleted machines acknowledge direct commands.
    DeletedMachinesAcknowledge,
    /// Commands to unreachable machines are reported as executed.
    UnreachableMachinesAcknowledge,
    /// Users are told of a cancellation as soon as its record is written, without waiting until
    /// the cancellation is complete.
    CancellationConfirmedOnCommit,
    /// Messages and heartbeats are not relayed around a zone partition.
    RelayDisabled,
    /// Each process of a controller gives its forwarded requests the same ids.
    ForwardIdsReused,
    /// Once all faults are healed, workers ignore launches.
    LaunchesIgnoredAfterHeal,
    /// Workers forget exited tasks once they have reported them, without a command.
    ExitedTasksForgottenOnReport,
    /// Jobs are accepted as if all their dependencies were done.
    DependenciesIgnored,
    /// A job that is no longer in the watch cache is treated as done.
    MissingDependencyCountsAsDone,
    /// The dependents of a cancelled job are not cancelled.
    DependentsNotCancelled,
    /// Jobs with dependencies are accepted while a controller of an earlier version is a member.
    DependenciesAcceptedDuringUpgrade,
}
