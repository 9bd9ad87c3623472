//! The limits of the key-value store: those in force, and those that will be at some later moment.

use super::{Error, invalid, positive};
use serde::Deserialize;

/// A transaction needs room for a shard's or a job's records and what goes with them.
const LEAST_OPERATIONS: usize = 4;
/// Below this a record of a job or a machine may not fit.
const LEAST_VALUE_KB: f64 = 1.0;

/// `params.state` of the settings file.
#[derive(Deserialize)]
pub(super) struct FileState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    next: Option<FileNext>,
}

/// `params.state.next`: what is missing stays as it is.
#[derive(Deserialize)]
struct FileNext {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// What the key-value store takes in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StateRates {
    pub requests: f64,
    pub changes: f64,
}

impl StateRates {
    fn each(self, other: Self, choose: fn(f64, f64) -> f64) -> Self {
        Self {
            requests: choose(self.requests, other.requests),
            changes: choose(self.changes, other.changes),
        }
    }
}

/// What may be asked of the key-value store, now and later. The moment of the change is not
/// announced: sizes keep to the smaller limits from the start, while rates follow the larger ones
/// until the service refuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StateLimits {
    /// The largest value and transaction that both the present and the later limits take.
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// The larger of the rates, used until the service refuses.
    pub rates: StateRates,
    /// The smaller of them, used from then on.
    pub least_rates: StateRates,
    /// The largest value at present. Layouts of stored records follow from it, so that all
    /// versions of the program agree on them.
    pub present_value_bytes: usize,
}

fn bytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

fn value_kb(field: &str, kb: f64) -> Result<f64, Error> {
    match (LEAST_VALUE_KB..1e6).contains(&kb) {
        true => Ok(kb),
        false => invalid(field, "must be at least 1"),
    }
}

fn operations(field: &str, count: usize) -> Result<usize, Error> {
    match count >= LEAST_OPERATIONS {
        true => Ok(count),
        false => invalid(field, "must be at least 4"),
    }
}

impl StateLimits {
    pub(super) fn check(file: &FileState) -> Result<Self, Error> {
        let now = StateRates {
            requests: positive("params.state.rps", file.rps)?,
            changes: positive("params.state.write_rps", file.write_rps)?,
        };
        let present_value = value_kb("params.state.value_kb", file.value_kb)?;
        let present_ops = operations("params.state.txn_ops", file.txn_ops)?;
        let mut limits = Self {
            value_bytes: bytes(present_value),
            txn_ops: present_ops,
            rates: now,
            least_rates: now,
            present_value_bytes: bytes(present_value),
        };
        let Some(next) = &file.next else {
            return Ok(limits);
        };
        let later = StateRates {
            requests: positive("params.state.next.rps", next.rps.unwrap_or(file.rps))?,
            changes: positive(
                "params.state.next.write_rps",
                next.write_rps.unwrap_or(file.write_rps),
            )?,
        };
        limits.rates = now.each(later, f64::max);
        limits.least_rates = now.each(later, f64::min);
        let later_value = next.value_kb.unwrap_or(file.value_kb);
        let later_value = value_kb("params.state.next.value_kb", later_value)?;
        limits.value_bytes = bytes(later_value).min(limits.value_bytes);
        let later_ops = next.txn_ops.unwrap_or(file.txn_ops);
        limits.txn_ops = operations("params.state.next.txn_ops", later_ops)?.min(present_ops);
        Ok(limits)
    }
}

#[cfg(test)]
mod tests;
