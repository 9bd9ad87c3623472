//! The load of the last while: scale-in looks at its peak, scale-out at its latest.

use crate::cloud::arrival_rate::ArrivalRate;
use crate::cloud::demand::{self, Batch, Demand, Load};
use crate::cloud::slot_turnaround::turnaround_s;
use crate::config::Config;
use crate::ids::{Millis, MonotonicTime, UnixTime};
use crate::store::watch_cache::WatchCache;
use std::collections::VecDeque;

/// Steps come some time apart, so a history that is shorter than its window by this much counts
/// as complete.
const WINDOW_TOLERANCE: Millis = Millis(1000);

/// The load at one moment.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: MonotonicTime,
    load: Load,
}

/// Loads within the time for which a machine may be idle, and what comes in on average.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
    latest: Load,
    batches: Vec<Batch>,
    arrival_rate: ArrivalRate,
}

/// For so long a load counts that has passed.
fn idle_window(cache: &WatchCache) -> Millis {
    Millis::from_secs(cache.settings().idle_s)
}

impl LoadHistory {
    /// Forgets the past at the beginning of a term, since none of it was seen without gaps.
    pub(super) fn begin_term(&mut self) {
        self.samples.clear();
        self.arrival_rate.clear();
    }

    /// Takes the load as it is now, and forgets what is older than the time for which a machine
    /// may be idle. `store_write_rate`: what the key-value store takes in a second.
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
        load.arrays = load.arrays.max(self.arrival_rate.cpus(unix_time));
        self.samples.push_back(LoadSample { at: now, load });
        let window = idle_window(cache);
        let is_old = |sample: &LoadSample| now.since(sample.at) > window;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.latest = load;
        self.batches = batches;
    }

    /// The load at the last observation.
    pub(super) fn latest(&self) -> Load {
        self.latest
    }

    /// The highest load of the window, services and arrays apart.
    pub(super) fn peak(&self) -> Load {
        self.samples
            .iter()
            .fold(Load::default(), |peak, sample| peak.max(sample.load))
    }

    /// Whether the load was observed for a whole window: a new leader first looks on.
    pub(super) fn covers_window(&self, now: MonotonicTime, cache: &WatchCache) -> bool {
        let first = self.samples.front();
        first.is_some_and(|first| now.since(first.at) + WINDOW_TOLERANCE > idle_window(cache))
    }

    /// The CPUs (in thousandths) that arrays lack beside `capacity`, by their deadlines and by what
    /// comes in. `boot_s`: how long a machine takes to help.
    pub(super) fn cpu_shortfall(&self, unix_time: UnixTime, capacity: u64, boot_s: f64) -> u64 {
        let by_deadlines = demand::cpu_shortfall(&self.batches, capacity as f64, boot_s) as u64;
        let arriving = self.arrival_rate.cpus(unix_time);
        by_deadlines.max(arriving.saturating_sub(capacity))
    }
}
