//! Amounts of CPUs, GPUs and memory.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// Number of parts in one unit: amounts are counted in thousandths.
const PER_UNIT: f64 = 1000.0;
/// Tolerance for the floating-point error of a decimal fraction multiplied by `PER_UNIT`, in
/// thousandths of a unit. Rounding ignores differences up to this size.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The resources that a task needs or a machine has, in whole thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// CPUs, in thousandths.
    #[serde(rename = "cpus")]
    pub milli_cpus: u64,
    /// GPUs, in thousandths.
    #[serde(rename = "gpus")]
    pub milli_gpus: u64,
    /// Memory, in thousandths of a GB.
    #[serde(rename = "memory")]
    pub memory_mb: u64,
}

impl Resources {
    /// Creates the amounts that a task needs, rounded up, so that sums never understate the need.
    pub(crate) fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_up = |v: f64| (v.max(0.0) * PER_UNIT - ROUNDING_TOLERANCE).ceil().max(0.0) as u64;
        Self {
            milli_cpus: round_up(cpus),
            milli_gpus: round_up(gpus),
            memory_mb: round_up(memory_gb),
        }
    }

    /// Creates the amounts that a machine has, rounded down.
    pub(crate) fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_down = |v: f64| (v.max(0.0) * PER_UNIT + ROUNDING_TOLERANCE).floor() as u64;
        Self {
            milli_cpus: round_down(cpus),
            milli_gpus: round_down(gpus),
            memory_mb: round_down(memory_gb),
        }
    }

    /// Returns whether these amounts fit into `free`.
    pub(crate) fn fits(self, free: Self) -> bool {
        self.milli_cpus <= free.milli_cpus
            && self.milli_gpus <= free.milli_gpus
            && self.memory_mb <= free.memory_mb
    }

    /// Returns `n` times these amounts.
    pub(crate) fn times(self, n: u64) -> Self {
        Self {
            milli_cpus: self.milli_cpus.saturating_mul(n),
            milli_gpus: self.milli_gpus.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
        }
    }

    /// Returns how many times these amounts fit into `free`.
    pub(crate) fn fit_count(self, free: Self) -> u64 {
        let count = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
        count(self.milli_cpus, free.milli_cpus)
            .min(count(self.milli_gpus, free.milli_gpus))
            .min(count(self.memory_mb, free.memory_mb))
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            milli_cpus: self.milli_cpus.saturating_add(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_add(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }
}
