//! The time for which a slot stays empty between two array tasks.
//!
//! Tasks are placed by writing their machine's record, and one write can place several tasks. If tasks end
//! faster than records can be written, empty slots wait for the next write of their machine's record. The
//! capacity must be large enough to include this waiting time.

use crate::placement::ARRAY_WRITE_SHARE;
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;

/// The time in seconds from a task's end to the start of the next task when writes are not the bottleneck.
const MIN_TURNAROUND_S: f64 = 3.0;

/// Returns the mean time in seconds for which a slot is empty. `store_write_rate` is the write rate that the
/// key-value store accepts, in changes per second.
pub(super) fn turnaround_s(cache: &WatchCache, store_write_rate: f64) -> f64 {
    let arrays = cache
        .jobs
        .values()
        .filter(|j| j.spec.kind == JobKind::Array);
    let ends_per_s = arrays.map(|job| job.placed.len() as f64 / predicted_s(job).max(1.0));
    let wait = wait_s(
        cache.machines.len() as f64,
        ends_per_s.sum(),
        store_write_rate * ARRAY_WRITE_SHARE,
    );
    wait.max(MIN_TURNAROUND_S)
}

/// Returns the mean time in seconds for which an empty slot waits, when `ends_per_s` tasks end and
/// `writes_per_s` records are written per second. Each write refills `ends_per_s / writes_per_s` slots: a
/// machine's record is written when that many of its slots are empty, so on average half as many are empty.
/// Little's law gives the waiting time.
fn wait_s(machines: f64, ends_per_s: f64, writes_per_s: f64) -> f64 {
    if ends_per_s <= writes_per_s {
        return 0.0;
    }
    machines / 2.0 * (1.0 / writes_per_s - 1.0 / ends_per_s)
}

#[cfg(test)]
mod tests;
