//! The faults of a simulated day.

/// Which faults are injected until the day is healed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Faults {
    /// One controller or all of them stop, and start again after a while.
    pub controller_crashes: bool,
    /// Responses get lost, and requests without a response may be carried out much later.
    pub lost_responses: bool,
    /// Machines are cut off, hang or die.
    pub machine_failures: bool,
    /// Controllers can't reach the key-value store.
    pub store_disconnects: bool,
    /// Heartbeats of some machines arrive, but no response and no command reaches them.
    pub outbound_only_machines: bool,
    /// Copies of heartbeats arrive up to several leases late, at any controller.
    pub duplicate_heartbeats: bool,
    /// A controller loses the key-value store and its peers, but not its workers.
    pub isolated_controllers: bool,
    /// Processes are back within a fraction of a second, all at once too, and stop again before
    /// the election that their restart caused is over.
    pub restarts_in_election: bool,
    /// Users ask for more than their teams' limits all the time.
    pub overload: bool,
    /// A controller pauses for longer than every lease while its clocks run on.
    pub controller_pauses: bool,
    /// A zone is cut off from everything outside, with a controller in it.
    pub zone_isolation: bool,
    /// Requests that were carried out arrive once more, up to several leases later.
    pub duplicate_requests: bool,
    /// The key-value store refuses the leader alone, users cancel through the others, and then
    /// it is out for everybody for longer than a cancellation may take.
    pub store_refusal_then_outage: bool,
    /// Machines can't reach any controller, while direct commands reach them.
    pub inbound_only_machines: bool,
    /// The key-value store is slow: transactions are given up and carried out later, and the
    /// watch caches lag by seconds.
    pub slow_store: bool,
    /// The leader stops every eleven seconds, in outages too, and is back at any time.
    pub leader_crashes: bool,
    /// All controllers are down for longer than a lease.
    pub control_plane_outage: bool,
    /// Jobs are cancelled at the very moment at which their tasks end.
    pub cancel_at_completion: bool,
    /// Two zones can't reach each other, and a third reaches both.
    pub zone_partition: bool,
    /// Users submit jobs that depend on other jobs.
    pub dependent_jobs: bool,
    /// Controllers begin as the earlier version and are upgraded one after the other.
    pub rolling_upgrade: bool,
    /// The key-value store lowers its limits after a while.
    pub lowered_store_limits: bool,
}

impl Faults {
    /// No faults at all.
    pub(super) const NONE: Self = Self {
        controller_crashes: false,
        lost_responses: false,
        machine_failures: false,
        store_disconnects: false,
        outbound_only_machines: false,
        duplicate_heartbeats: false,
        isolated_controllers: false,
        restarts_in_election: false,
        overload: false,
        controller_pauses: false,
        zone_isolation: false,
        duplicate_requests: false,
        store_refusal_then_outage: false,
        inbound_only_machines: false,
        slow_store: false,
        leader_crashes: false,
        control_plane_outage: false,
        cancel_at_completion: false,
        zone_partition: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };

    /// All faults but those that need other zones, users or versions.
    pub(super) const ALL_SINGLE_FAULTS: Self = Self {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        store_disconnects: true,
        outbound_only_machines: true,
        duplicate_heartbeats: true,
        isolated_controllers: true,
        restarts_in_election: true,
        overload: true,
        controller_pauses: true,
        zone_isolation: true,
        duplicate_requests: true,
        store_refusal_then_outage: true,
        inbound_only_machines: true,
        slow_store: true,
        leader_crashes: true,
        control_plane_outage: true,
        cancel_at_completion: true,
        zone_partition: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };
}
