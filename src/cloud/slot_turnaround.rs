//! How long a slot is empty between two tasks of arrays.
//!
//! Each task is placed by a change of its machine's record, and one change places several. Where
//! tasks end faster than records can be changed, slots wait until their machine's record is written
//! again: that is time for which capacity has to be there, too.

use crate::placement::ARRAY_WRITE_SHARE;
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;

/// Seconds from a task's end to the start of the next one, where changes are plenty.
const MIN_TURNAROUND_S: f64 = 3.0;

/// The mean time in seconds for which a slot is empty. `store_write_rate`: the changes that the
/// key-value store takes in a second.
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

/// The mean time in seconds that an empty slot waits, with `ends` of tasks and `records` changes in
/// a second. With `ends / records` tasks for each change, a machine waits for its record until so
/// many slots are empty, of which on average half are: by Little's law the rest follows.
fn wait_s(machines: f64, ends_per_s: f64, writes_per_s: f64) -> f64 {
    if ends_per_s <= writes_per_s {
        return 0.0;
    }
    machines / 2.0 * (1.0 / writes_per_s - 1.0 / ends_per_s)
}

#[cfg(test)]
mod tests;
