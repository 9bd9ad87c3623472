//! The faults that currently affect the whole cluster.

use crate::ids::MonotonicTime;

/// A network partition between two zones.
#[derive(Default)]
pub(super) struct ZonePartition {
    /// The names of the two zones.
    pub zones: [&'static str; 2],
    /// When the partition ends.
    pub until: MonotonicTime,
    /// Whether heartbeats and direct calls that the partition blocks arrive as soon as it ends.
    /// Otherwise heartbeats are lost, and direct calls arrive at least 15 seconds after they were
    /// sent.
    pub delays_messages: bool,
}

impl ZonePartition {
    /// Returns when the partition between these zones ends, or time 0 if they are not partitioned.
    pub(super) fn blocked_until(&self, one: &str, other: &str) -> MonotonicTime {
        let [a, b] = self.zones;
        match (a, b) == (one, other) || (b, a) == (one, other) {
            true => self.until,
            false => MonotonicTime(0),
        }
    }
}

/// The end time of each active fault.
#[derive(Default)]
pub(super) struct ActiveFaults {
    /// Until when one zone and one controller in it can't reach anything outside the zone.
    pub zone_isolated_until: MonotonicTime,
    /// The most recent partition between two zones.
    pub partition: ZonePartition,
    /// When the outage of the key-value store ends.
    pub store_outage_until: MonotonicTime,
    /// Until when the key-value store is slow.
    pub slow_store_until: MonotonicTime,
    /// The latest end of any controller pause so far.
    pub last_pause_until: MonotonicTime,
    /// Whether all faults have ended and no more are injected.
    pub healed: bool,
}
