//! The average rate at which work of job arrays arrives, over a window. Scaling by deadlines alone uses up
//! all slack before it rents more machines. The fleet then oscillates between too small and too large, jobs
//! wait, and the extra boots and returns cost money.

use super::demand::task_time_s;
use crate::ids::{JobId, Millis, UnixTime};
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The time over which the work that arrived is averaged.
const WINDOW: Millis = Millis(60_000);

/// The arrival of one array.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: UnixTime,
    /// The work of the array in thousandths of a CPU second.
    work: f64,
}

/// The arrays that have arrived within the window.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    /// The arrivals by job, including jobs that have ended since.
    arrivals: BTreeMap<JobId, Arrival>,
    /// The time since which all arrivals have been observed. `None` before the first observation.
    observed_since: Option<UnixTime>,
}

impl ArrivalRate {
    /// Records new arrivals, and removes those older than the window. Jobs that arrived before the first call
    /// are left out, because a new leader knows only those of them that are unfinished.
    /// `turnaround_s` is the time in seconds for which a slot is empty between two tasks.
    pub(super) fn observe(&mut self, now: UnixTime, cache: &WatchCache, turnaround_s: f64) {
        let observed_since = *self.observed_since.get_or_insert(now);
        let is_expired = |at: UnixTime| now.0.saturating_sub(at.0) > WINDOW.0;
        self.arrivals.retain(|_, arrival| !is_expired(arrival.at));
        for (id, job) in &cache.jobs {
            let spec = &job.spec;
            let arrived_before_start = job.eligible_at < observed_since;
            if spec.kind != JobKind::Array
                || arrived_before_start
                || is_expired(job.eligible_at)
                || self.arrivals.contains_key(id)
            {
                continue;
            }
            let cpus = spec.need().times(spec.tasks.into()).milli_cpus as f64;
            let work = cpus * task_time_s(job, cache, turnaround_s);
            let at = job.eligible_at;
            self.arrivals.insert(id.clone(), Arrival { at, work });
        }
    }

    /// Returns the CPU capacity, in thousandths of a CPU, that keeps up with the arrivals. Returns 0 until a
    /// whole window has been observed.
    pub(super) fn required_cpus(&self, now: UnixTime) -> u64 {
        let observed_ms = self
            .observed_since
            .map_or(0, |at| now.0.saturating_sub(at.0));
        if observed_ms < WINDOW.0 {
            return 0;
        }
        let work: f64 = self.arrivals.values().map(|arrival| arrival.work).sum();
        (work / WINDOW.as_secs_f64()) as u64
    }

    /// Removes all arrivals and starts a new window.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
