//! The faults that act on the whole cluster at the moment.

use crate::ids::MonotonicTime;

/// Two zones that can't reach each other.
#[derive(Default)]
pub(super) struct ZonePartition {
    /// The names of the two zones.
    pub zones: [&'static str; 2],
    /// When the partition ends.
    pub until: MonotonicTime,
    /// What was sent meanwhile arrives afterwards; otherwise it is lost.
    pub delays_messages: bool,
}

impl ZonePartition {
    /// Until when two zones can't reach each other.
    pub(super) fn blocked_until(&self, one: &str, other: &str) -> MonotonicTime {
        let [a, b] = self.zones;
        match (a, b) == (one, other) || (b, a) == (one, other) {
            true => self.until,
            false => MonotonicTime(0),
        }
    }
}

/// Until when each fault lasts.
#[derive(Default)]
pub(super) struct ActiveFaults {
    /// One zone and the controller in it can't reach anything outside.
    pub zone_isolated_until: MonotonicTime,
    /// The last partition between two zones.
    pub partition: ZonePartition,
    /// The key-value store is out for everybody.
    pub store_outage_until: MonotonicTime,
    /// The key-value store is slow.
    pub slow_store_until: MonotonicTime,
    /// When the last pause of a controller ends or has ended.
    pub last_pause_until: MonotonicTime,
    /// No faults are injected any more.
    pub healed: bool,
}
