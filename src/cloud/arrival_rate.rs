//! How much work of arrays arrives, on average over a window. What deadlines ask for at an instant
//! uses up all slack before anything more is rented: the fleet then swings between too small and
//! too large, jobs wait, and boots and returns are paid for.

use super::demand::task_time_s;
use crate::ids::{JobId, Millis, UnixTime};
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The time over which the work that arrived is averaged.
const WINDOW: Millis = Millis(60_000);

/// The work of one array.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: UnixTime,
    /// CPU seconds, in thousandths.
    work: f64,
}

/// The arrays that have arrived within the window.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    /// By job; those that have ended by now count as well.
    arrivals: BTreeMap<JobId, Arrival>,
    /// From when on all arrivals were seen.
    observed_since: Option<UnixTime>,
}

impl ArrivalRate {
    /// Records new arrivals, and forgets those that are older than the window. What arrived before
    /// the first call is left out: a new leader knows only what is unfinished of it.
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

    /// The CPUs (in thousandths) that keep up with the arrivals; 0 until a whole window was seen.
    pub(super) fn cpus(&self, now: UnixTime) -> u64 {
        let observed_ms = self
            .observed_since
            .map_or(0, |at| now.0.saturating_sub(at.0));
        if observed_ms < WINDOW.0 {
            return 0;
        }
        let work: f64 = self.arrivals.values().map(|arrival| arrival.work).sum();
        (work / WINDOW.as_secs_f64()) as u64
    }

    /// Forgets all arrivals; the window begins anew.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
