//! Amounts of processors, graphics processors and memory.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// Parts of a unit that an amount counts.
const PER_UNIT: f64 = 1000.0;
/// The error of a product of decimal fractions, in these parts, that rounding must not see.
const TOLERANCE: f64 = 1e-6;

/// What a task needs and a machine has, as whole thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// Thousandths of a processor.
    pub cpus: u64,
    /// Thousandths of a graphics processor.
    pub gpus: u64,
    /// Thousandths of a gigabyte.
    pub memory: u64,
}

impl Resources {
    /// What is needed, rounded up, so that a sum never understates it.
    pub(crate) fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |v: f64| (v.max(0.0) * PER_UNIT - TOLERANCE).ceil().max(0.0) as u64;
        Self {
            cpus: up(cpus),
            gpus: up(gpus),
            memory: up(memory_gb),
        }
    }

    /// What is there, rounded down.
    pub(crate) fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |v: f64| (v.max(0.0) * PER_UNIT + TOLERANCE).floor() as u64;
        Self {
            cpus: down(cpus),
            gpus: down(gpus),
            memory: down(memory_gb),
        }
    }

    /// Whether this fits into what is free.
    pub(crate) fn fits(self, free: Self) -> bool {
        self.cpus <= free.cpus && self.gpus <= free.gpus && self.memory <= free.memory
    }

    /// So many times this.
    pub(crate) fn times(self, n: u64) -> Self {
        Self {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }

    /// How many times this fits into what is free.
    pub(crate) fn count_in(self, free: Self) -> u64 {
        let count = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
        count(self.cpus, free.cpus)
            .min(count(self.gpus, free.gpus))
            .min(count(self.memory, free.memory))
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
            memory: self.memory.saturating_add(other.memory),
        }
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }
}
