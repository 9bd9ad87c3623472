//! The limits of the key-value store: those in force, and those that will be at some later moment.

use super::ConfigError;
use super::settings_file::{NextStateSection, StateSection};
use super::validation::{invalid, positive};

/// A transaction needs room for a shard's or a job's records and what goes with them.
const MIN_TXN_OPS: usize = 4;
/// Below this a record of a job or a machine may not fit.
const MIN_VALUE_KB: f64 = 1.0;
/// No value comes near this.
const VALUE_KB_LIMIT: f64 = 1e6;

/// What the key-value store takes in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreRates {
    /// Requests in a second, whatever they hold.
    pub requests: f64,
    /// Changes of keys in a second.
    pub writes: f64,
}

impl StoreRates {
    /// Chooses between the two sets' rates, kind by kind.
    fn combine(self, other: Self, choose: fn(f64, f64) -> f64) -> Self {
        Self {
            requests: choose(self.requests, other.requests),
            writes: choose(self.writes, other.writes),
        }
    }
}

/// What may be asked of the key-value store, now and later. The moment of the change is not
/// announced: sizes keep to the smaller limits from the start, while rates follow the larger ones
/// until the service refuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreLimits {
    /// The largest value that both the present and the later limits take, in bytes.
    pub value_bytes: usize,
    /// The most operations in a transaction that both take.
    pub txn_ops: usize,
    /// The larger of the rates, used until the service refuses.
    pub rates: StoreRates,
    /// The smaller of them, used from then on.
    pub min_rates: StoreRates,
    /// The largest value at present, in bytes. Layouts of stored records follow from it, so that
    /// all versions of the program agree on them.
    pub present_value_bytes: usize,
}

impl StoreLimits {
    /// Checks `params.state`.
    pub(super) fn from_section(section: &StateSection) -> Result<Self, ConfigError> {
        let rates = StoreRates {
            requests: positive("params.state.rps", section.rps)?,
            writes: positive("params.state.write_rps", section.write_rps)?,
        };
        let value_bytes = value_bytes("params.state.value_kb", section.value_kb)?;
        let txn_ops = check_txn_ops("params.state.txn_ops", section.txn_ops)?;
        let present = Self {
            value_bytes,
            txn_ops,
            rates,
            min_rates: rates,
            present_value_bytes: value_bytes,
        };
        match &section.next {
            None => Ok(present),
            Some(next) => present.with_next(section, next),
        }
    }

    /// Takes the later limits into account: checks `params.state.next`.
    fn with_next(self, now: &StateSection, next: &NextStateSection) -> Result<Self, ConfigError> {
        let later_rates = StoreRates {
            requests: positive("params.state.next.rps", next.rps.unwrap_or(now.rps))?,
            writes: positive(
                "params.state.next.write_rps",
                next.write_rps.unwrap_or(now.write_rps),
            )?,
        };
        let later_value_kb = next.value_kb.unwrap_or(now.value_kb);
        let later_value_bytes = value_bytes("params.state.next.value_kb", later_value_kb)?;
        let later_txn_ops = check_txn_ops(
            "params.state.next.txn_ops",
            next.txn_ops.unwrap_or(now.txn_ops),
        )?;
        Ok(Self {
            value_bytes: later_value_bytes.min(self.value_bytes),
            txn_ops: later_txn_ops.min(self.txn_ops),
            rates: self.rates.combine(later_rates, f64::max),
            min_rates: self.rates.combine(later_rates, f64::min),
            present_value_bytes: self.present_value_bytes,
        })
    }
}

/// The largest value in bytes, from KiB.
fn value_bytes(field: &str, kb: f64) -> Result<usize, ConfigError> {
    if (MIN_VALUE_KB..VALUE_KB_LIMIT).contains(&kb) {
        Ok((kb * 1024.0) as usize)
    } else {
        invalid(field, "must be at least 1")
    }
}

fn check_txn_ops(field: &str, count: usize) -> Result<usize, ConfigError> {
    if count >= MIN_TXN_OPS {
        Ok(count)
    } else {
        invalid(field, "must be at least 4")
    }
}

#[cfg(test)]
mod tests;
