//! The limits of the key-value store: the current ones, and those after an upcoming change.

use super::ConfigError;
use super::settings_file::{NextStateSection, StateSection};
use super::validation::{check_positive, invalid};

/// The smallest accepted limit for operations in a transaction. A transaction must have room for the records
/// of a shard or a job and for the operations that accompany them.
const MIN_TXN_OPS: usize = 4;
/// The smallest accepted limit for the size of a value in KiB. A job or machine record may not fit into less.
const MIN_VALUE_KB: f64 = 1.0;
/// The exclusive upper bound for `value_kb`, far above any real limit.
const VALUE_KB_LIMIT: f64 = 1e6;

/// The rates that the key-value store accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreRates {
    /// Requests per second, regardless of their content.
    pub requests: f64,
    /// Key changes per second.
    pub writes: f64,
}

impl StoreRates {
    /// Combines two sets of rates by applying `choose` to each kind of rate.
    fn combine(self, other: Self, choose: fn(f64, f64) -> f64) -> Self {
        Self {
            requests: choose(self.requests, other.requests),
            writes: choose(self.writes, other.writes),
        }
    }
}

/// The limits of the key-value store, now and after an upcoming change. The time of the change is not
/// announced. Sizes therefore follow the smaller limits from the start, while rates follow the larger limits
/// until the store refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreLimits {
    /// The size in bytes of the largest value that is allowed both now and after the upcoming change of the
    /// limits.
    pub value_bytes: usize,
    /// The largest number of operations in a transaction that is allowed both now and after the upcoming
    /// change.
    pub txn_ops: usize,
    /// The larger of the present rates and those after the upcoming change, used until the store refuses a
    /// request.
    pub rates: StoreRates,
    /// The smaller of the present rates and those after the upcoming change, used after the store has refused
    /// a request.
    pub min_rates: StoreRates,
    /// The size in bytes of the largest value that is allowed now. The layout of stored records is derived
    /// from it, so that all versions of the program use the same layout.
    pub present_value_bytes: usize,
}

impl StoreLimits {
    /// Checks `params.state` and returns its limits, combined with those of an upcoming change.
    pub(super) fn from_section(section: &StateSection) -> Result<Self, ConfigError> {
        let rates = StoreRates {
            requests: check_positive("params.state.rps", section.rps)?,
            writes: check_positive("params.state.write_rps", section.write_rps)?,
        };
        let value_bytes = check_value_bytes("params.state.value_kb", section.value_kb)?;
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

    /// Checks `params.state.next` and combines its limits with the present ones.
    fn with_next(self, now: &StateSection, next: &NextStateSection) -> Result<Self, ConfigError> {
        let later_rates = StoreRates {
            requests: check_positive("params.state.next.rps", next.rps.unwrap_or(now.rps))?,
            writes: check_positive(
                "params.state.next.write_rps",
                next.write_rps.unwrap_or(now.write_rps),
            )?,
        };
        let later_value_kb = next.value_kb.unwrap_or(now.value_kb);
        let later_value_bytes = check_value_bytes("params.state.next.value_kb", later_value_kb)?;
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

/// Checks a size limit for values in KiB and converts it to bytes.
fn check_value_bytes(field: &str, kb: f64) -> Result<usize, ConfigError> {
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
