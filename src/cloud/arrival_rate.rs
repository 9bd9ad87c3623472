//! How much work of arrays comes in, on average of the last while. What deadlines ask for at an
//! instant leaves all slack used up before anything more is rented: the fleet of a calm day swung
//! between a third too small and twice too large, paying for boots and returns, and jobs waited
//! (Savannah fleet, calm: 19,000 to 62,000 CPUs for a load of 25,000).

use super::demand::task_time;
use crate::ids::{JobId, Millis, UnixTime};
use crate::protocol::JobKind;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The time over which the work that came in is averaged.
const WINDOW: Millis = Millis(60_000);

#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    /// Arrays of the window, those that are over by now as well: when, and their CPU seconds.
    came: BTreeMap<JobId, (UnixTime, f64)>,
    /// How far back it has seen all that came.
    since: Option<UnixTime>,
}

impl ArrivalRate {
    /// Notes what has come. Whoever has just begun to lead knows only what is unfinished.
    pub(super) fn observe(&mut self, now: UnixTime, cache: &WatchCache, turnaround_s: f64) {
        let since = *self.since.get_or_insert(now);
        let old = |at: UnixTime| now.0.saturating_sub(at.0) > WINDOW.0;
        self.came.retain(|_, (at, _)| !old(*at));
        for (id, job) in &cache.jobs {
            let spec = &job.spec;
            let before = job.eligible < since;
            if spec.kind != JobKind::Array
                || before
                || old(job.eligible)
                || self.came.contains_key(id)
            {
                continue;
            }
            let cpus = spec.need().times(spec.tasks.into()).cpus as f64;
            let work = cpus * task_time(job, cache, turnaround_s);
            self.came.insert(id.clone(), (job.eligible, work));
        }
    }

    /// The CPUs that keep up with it; nothing is said before the window has been seen in full.
    pub(super) fn cpus(&self, now: UnixTime) -> u64 {
        let seen = self.since.map_or(0, |at| now.0.saturating_sub(at.0));
        if seen < WINDOW.0 {
            return 0;
        }
        let work: f64 = self.came.values().map(|(_, work)| work).sum();
        (work / WINDOW.as_secs_f64()) as u64
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
