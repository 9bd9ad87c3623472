//! The size and the rates of a large fleet, and what its users cost.

use crate::store::rate_limiter::TokenBucket;
use std::collections::BTreeMap;

/// A large fleet: what exceeds the settings' rates is refused, and counted.
pub(super) struct LargeFleetState {
    /// Machines that are up from the start.
    pub min_machines: usize,
    /// The most machines that the cloud provides.
    pub max_machines: usize,
    /// The slots of each machine.
    pub slots: u64,
    /// Between two arrays, in ms.
    pub array_interval_ms: u64,
    /// Services submitted so far.
    pub services: u64,
    /// What the key-value store takes, in changes a second.
    pub changes_per_s: f64,
    /// The rate limit of each controller.
    pub limiters: Vec<TokenBucket>,
    /// What was asked of the key-value store so far.
    pub counts: RequestCounts,
}

/// What was asked of the key-value store, and what was done with it.
#[derive(Debug, Default)]
pub(super) struct RequestCounts {
    /// Transactions that were asked for.
    pub transactions: u64,
    /// Transactions that the rate limits refused.
    pub refused: u64,
    /// Changes that were let through.
    pub changes: u64,
    /// Changes by the part of the controller that asked for them.
    pub changes_by_requester: BTreeMap<&'static str, u64>,
    /// Tasks of arrays that have ended.
    pub ended: u64,
}
