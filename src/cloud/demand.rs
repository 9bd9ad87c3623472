//! How much capacity the jobs at hand need: services for all their replicas, arrays for as much
//! as gets each done by its deadline.

use crate::config::Config;
use crate::ids::UnixTime;
use crate::placement::service_order;
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::{LiveJob, WatchCache};

/// CPUs, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub services: u64,
    pub arrays: u64,
}

impl Load {
    pub(super) fn total(self) -> u64 {
        self.services + self.arrays
    }

    pub(super) fn max(self, other: Self) -> Self {
        Self {
            services: self.services.max(other.services),
            arrays: self.arrays.max(other.arrays),
        }
    }
}

/// An array's work that is left.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    /// Seconds until it is due.
    pub due: f64,
    /// CPUs that it can use at once.
    pub width: f64,
    /// Predicted seconds of one task.
    pub task: f64,
    /// CPU seconds left.
    pub work: f64,
}

/// The part of a task's time that is kept in hand.
const MARGIN: f64 = 0.8;
/// What can't be in time any more is still to be done, within about this time.
const LATE: f64 = 15.0;

/// How long a batch may take: its last tasks end apart, and estimates err.
fn time(batch: &Batch) -> f64 {
    (batch.due - MARGIN * batch.task)
        .max(0.7 * batch.task)
        .max(1.0)
}

/// The CPUs that are lacking beside `capacity`, when machines that are rented now help only
/// after `boot` seconds.
pub(super) fn lacking(batches: &[Batch], capacity: f64, boot: f64) -> f64 {
    let (mut work, mut width, mut most) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        width += batch.width;
        let time = time(batch);
        let open = work - capacity * time;
        most = most.max((open / (time - boot).max(LATE)).min(width - capacity));
    }
    most
}

/// The CPUs that finish every batch in time when they are served in this order: the work up to
/// each, spread over the time that is left for it. A guarantee may go before what is due sooner.
pub(super) fn required(batches: &[Batch]) -> f64 {
    let (mut work, mut width, mut most) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        width += batch.width;
        most = most.max((work / time(batch)).min(width));
    }
    most
}

/// How long a place is taken by one task of a job, on average, with the time until the next one.
/// The image's fetch counts half: later tasks find it there.
pub(super) fn task_time(job: &LiveJob, cache: &WatchCache, turnaround_s: f64) -> f64 {
    let types = cache.catalog.iter().flat_map(|c| &c.value.types);
    let fetch = types
        .map(|t| t.fetch_gb_per_s)
        .fold(1.0, f64::min)
        .max(0.01);
    predicted_s(job) + turnaround_s + 0.5 * job.spec.image_gb / fetch
}

/// In how many seconds an array is due: by its deadline or by those of the jobs that depend on it,
/// else by the operators' objective for its pipeline. Without either there is no hurry, but an end.
fn due_s(unix_time: UnixTime, job: &LiveJob, task: f64, config: &Config) -> f64 {
    if let Some(finish_by) = job.urgency.finish_by {
        return (finish_by.0 as f64 - unix_time.0 as f64) / 1000.0;
    }
    let age = unix_time.0.saturating_sub(job.eligible.0) as f64 / 1000.0;
    let objective = config.finish_within.get(&job.spec.pipeline);
    let due = objective.map_or(4.0 * task + 60.0, |s| s.as_secs_f64());
    due - age
}

/// The load, and the batches that it is made of.
pub(super) fn load(
    unix_time: UnixTime,
    cache: &WatchCache,
    config: &Config,
    turnaround_s: f64,
) -> (Load, Vec<Batch>) {
    let mut load = Load::default();
    let mut batches = Vec::new();
    let mut busy = 0.0;
    for (_, job) in service_order(config, cache) {
        let spec = &job.spec;
        let need = spec.need();
        if spec.kind != JobKind::Array {
            load.services += need.cpus * u64::from(spec.tasks);
            continue;
        }
        let limit = config.teams.get(&spec.team).map_or(0, |t| t.limit().cpus);
        let left = spec.tasks.saturating_sub(job.done_count());
        let running = (job.placed.len() as u32).min(left);
        let task = task_time(job, cache, turnaround_s);
        let width = need.cpus.saturating_mul(left.into()).min(limit) as f64;
        let due = due_s(unix_time, job, task, config);
        let cpus = need.cpus as f64;
        // What runs holds its place whatever comes first; on average half of it is left.
        busy += 0.5 * f64::from(running) * cpus * task;
        let work = f64::from(left - running) * cpus * task;
        batches.push(Batch {
            due,
            width,
            task,
            work,
        });
    }
    if let Some(first) = batches.first_mut() {
        first.work += busy;
    }
    let spare = 1.0 + cache.settings().array_spare;
    batches.iter_mut().for_each(|b| b.work *= spare);
    load.arrays = required(&batches) as u64;
    (load, batches)
}

#[cfg(test)]
mod tests;
