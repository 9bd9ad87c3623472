//! The size and rate limits of a large fleet, and the load that its users cause.

use crate::store::rate_limiter::TokenBucket;
use std::collections::BTreeMap;

/// The state of a large fleet. Transactions beyond a controller's limit of changes per second are
/// refused and counted.
pub(super) struct LargeFleetState {
    /// The number of machines at the start.
    pub min_machines: usize,
    /// The maximum number of machines that the cloud provides.
    pub max_machines: usize,
    /// The number of slots of each machine.
    pub slots: u64,
    /// The time between the submissions of consecutive job arrays, in ms.
    pub array_interval_ms: u64,
    /// The number of services submitted so far.
    pub services: u64,
    /// The rate limit of the key-value store, in changes per second.
    pub changes_per_s: f64,
    /// The limiter of the changes per second of each controller.
    pub limiters: Vec<TokenBucket>,
    /// Counts of the requests to the key-value store so far.
    pub counts: RequestCounts,
}

/// Counts of requests to the key-value store and of the tasks that have ended.
#[derive(Debug, Default)]
pub(super) struct RequestCounts {
    /// Requested transactions.
    pub transactions: u64,
    /// Transactions that the rate limiters refused.
    pub refused: u64,
    /// Changes in admitted transactions.
    pub changes: u64,
    /// Changes in admitted transactions, by the part of the controller that requested them.
    pub changes_by_requester: BTreeMap<&'static str, u64>,
    /// Array tasks that have ended.
    pub ended: u64,
}
