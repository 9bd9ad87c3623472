//! The faults of a simulation run.

/// The faults that are injected until the cluster is healed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Faults {
    /// One controller or all of them stop and restart later.
    pub controller_crashes: bool,
    /// Responses and messages between controllers are lost, and requests without a response may be
    /// executed much later.
    pub lost_responses: bool,
    /// Machines are cut off, hang or die.
    pub machine_failures: bool,
    /// Controllers can't reach the key-value store.
    pub store_disconnects: bool,
    /// Heartbeats of some machines arrive, but no response and no command reaches them.
    pub outbound_only_machines: bool,
    /// Duplicates of heartbeats arrive at any controller, up to several lease durations late.
    pub duplicate_heartbeats: bool,
    /// A controller loses its connections to the key-value store and its peers, but not to its
    /// workers.
    pub isolated_controllers: bool,
    /// Processes restart within a fraction of a second, sometimes all at once, and stop again
    /// before the election that their restart caused is over.
    pub restarts_in_election: bool,
    /// Users constantly request more than their teams' limits.
    pub overload: bool,
    /// A controller pauses, possibly for longer than any lease, while its clocks keep running.
    pub controller_pauses: bool,
    /// A zone and one controller in it are cut off from everything outside.
    pub zone_isolation: bool,
    /// Requests are delivered a second time, up to several lease durations later.
    pub duplicate_requests: bool,
    /// The key-value store refuses only the leader, users cancel jobs through the other
    /// controllers, and then the store is unavailable to every controller for longer than a
    /// cancellation may take.
    pub store_refusal_then_outage: bool,
    /// Machines can't reach any controller, while direct commands reach them.
    pub inbound_only_machines: bool,
    /// The key-value store is slow: transactions time out and are executed later, and the watch
    /// caches lag by seconds.
    pub slow_store: bool,
    /// The leader stops every 9 to 13 seconds, also during outages of the key-value store, and
    /// restarts after a random delay. Sometimes an outage of the store begins at the same time.
    pub leader_crashes: bool,
    /// All controllers are down for longer than a lease.
    pub control_plane_outage: bool,
    /// Jobs are cancelled at almost the same time as one of their tasks ends.
    pub cancel_at_completion: bool,
    /// Two zones can't reach each other, and a third reaches both.
    pub zone_partition: bool,
    /// Forwarded heartbeats and their responses are held up on their way for seconds, and the
    /// controllers that wait for the responses restart within a fraction of a second.
    pub late_forwarded_responses: bool,
    /// Controllers load their watch caches again, from a state of the key-value store that is some
    /// hundred milliseconds old when they have read it.
    pub watch_cache_reloads: bool,
    /// Users submit jobs that depend on other jobs.
    pub dependent_jobs: bool,
    /// Controllers start as the earlier version and are upgraded one at a time.
    pub rolling_upgrade: bool,
    /// The key-value store lowers its limits during the run.
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
        late_forwarded_responses: false,
        watch_cache_reloads: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };

    /// All faults except those that need a third zone, dependent jobs, an upgrade or lowered store
    /// limits.
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
        watch_cache_reloads: false,
        late_forwarded_responses: false,
        dependent_jobs: false,
        rolling_upgrade: false,
        lowered_store_limits: false,
    };
}
