//! Durations that several parts of the simulation share, in ms.

/// How long a worker keeps its tasks without a response, which is also the duration of a shard
/// lease.
pub(super) const SHARD_LEASE_MS: u64 = 16_000;
/// How long a controller's lease in the key-value store lasts.
pub(super) const MEMBER_LEASE_MS: u64 = 5000;
/// How long a cancelled job may still run after its user was told.
pub(super) const CANCELLATION_LIMIT_MS: u64 = 30_000;
/// After this time without contact, the record of an unreachable machine must have been removed.
pub(super) const UNREACHABLE_LIMIT_MS: u64 = 36_000;
/// How long a caller waits for a response before it times out.
pub(super) const CALL_TIMEOUT_MS: u64 = 1500;
/// How long a worker waits for the response to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// The delay before a user retries a request that was not answered.
pub(super) const USER_RETRY_MS: u64 = 1000;
