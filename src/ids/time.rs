//! Points in time and durations, in milliseconds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on this process's monotonic clock, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MonotonicTime(pub u64);

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Millis(pub u64);

impl Millis {
    /// Converts from seconds, rounded down. Negative values become 0.
    pub(crate) fn from_secs(seconds: f64) -> Self {
        Self((seconds.max(0.0) * 1000.0) as u64)
    }

    /// Returns the duration in seconds.
    pub(crate) fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts to the standard library's type.
    pub(crate) fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl MonotonicTime {
    /// Returns the time since `earlier`; 0 if `earlier` is later than this point in time.
    pub(crate) fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Add<Millis> for MonotonicTime {
    type Output = Self;
    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for MonotonicTime {
    type Output = Self;
    fn sub(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

/// A point in time, in milliseconds since the Unix epoch. The clocks of controllers may differ by
/// at most the bound in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct UnixTime(pub u64);

impl UnixTime {
    /// Returns the current time of this host's clock.
    pub(crate) fn now() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(since_epoch.map_or(0, |d| d.as_millis() as u64))
    }
}
