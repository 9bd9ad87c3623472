//! The recent load of the cluster. Scale-in uses its peak, scale-out its latest value.

use crate::cloud::arrival_rate::ArrivalRate;
use crate::cloud::demand::{self, Batch, Demand, Load};
use crate::cloud::slot_turnaround::turnaround_s;
use crate::config::Config;
use crate::ids::{Millis, MonotonicTime, UnixTime};
use crate::store::watch_cache::WatchCache;
use std::collections::VecDeque;

/// Steps are some time apart, so a history counts as complete even if it is shorter than its window by up
/// to this time.
const WINDOW_TOLERANCE: Millis = Millis(1000);

/// The load at one moment.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: MonotonicTime,
    load: Load,
}

/// The loads observed within the time for which a machine may be idle, and the average arrival rate of
/// array work.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
    latest: Load,
    batches: Vec<Batch>,
    arrival_rate: ArrivalRate,
}

/// Returns the length of the window of load samples: the time for which an idle machine is kept.
fn idle_window(cache: &WatchCache) -> Millis {
    Millis::from_secs(cache.settings().idle_s)
}

impl LoadHistory {
    /// Clears the history at the beginning of a term, because this controller did not observe all of the
    /// load before it.
    pub(super) fn begin_term(&mut self) {
        self.samples.clear();
        self.arrival_rate.clear();
    }

    /// Records the current load, and removes samples older than the time for which a machine may be idle.
    /// `store_write_rate` is the write rate that the key-value store accepts, in changes per second.
    pub(super) fn observe(
        &mut self,
        now: MonotonicTime,
        unix_time: UnixTime,
        cache: &WatchCache,
        config: &Config,
        store_write_rate: f64,
    ) {
        let turnaround = turnaround_s(cache, store_write_rate);
        let Demand { mut load, batches } =
            demand::current_demand(unix_time, cache, config, turnaround);
        self.arrival_rate.observe(unix_time, cache, turnaround);
        load.arrays = load.arrays.max(self.arrival_rate.required_cpus(unix_time));
        self.samples.push_back(LoadSample { at: now, load });
        let window = idle_window(cache);
        let is_old = |sample: &LoadSample| now.since(sample.at) > window;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.latest = load;
        self.batches = batches;
    }

    /// Returns the load at the last observation.
    pub(super) fn latest(&self) -> Load {
        self.latest
    }

    /// Returns the highest load in the window, taken separately for services and for arrays.
    pub(super) fn peak(&self) -> Load {
        self.samples
            .iter()
            .fold(Load::default(), |peak, sample| peak.max(sample.load))
    }

    /// Returns whether the load has been observed for a whole window. Until then a new leader does not scale
    /// in.
    pub(super) fn covers_window(&self, now: MonotonicTime, cache: &WatchCache) -> bool {
        let first = self.samples.front();
        first.is_some_and(|first| now.since(first.at) + WINDOW_TOLERANCE > idle_window(cache))
    }

    /// Returns the CPU capacity, in thousandths of a CPU, that arrays need beyond `capacity` to meet their
    /// deadlines and to keep up with the arrival rate. `boot_s` is the boot time of a machine in seconds.
    pub(super) fn cpu_shortfall(&self, unix_time: UnixTime, capacity: u64, boot_s: f64) -> u64 {
        let by_deadlines = demand::cpu_shortfall(&self.batches, capacity as f64, boot_s) as u64;
        let arriving = self.arrival_rate.required_cpus(unix_time);
        by_deadlines.max(arriving.saturating_sub(capacity))
    }
}
