//! How much capacity the jobs at hand need: services for all their replicas, arrays for as much
//! as gets each done by its deadline.

use crate::config::Config;
use crate::ids::UnixTime;
use crate::placement::jobs_in_queue_order;
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::{LiveJob, WatchCache};

/// The CPUs that jobs need at one moment, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// Of services and gangs, for all their tasks.
    pub(super) services: u64,
    /// Of arrays, for as much as gets each done by its deadline.
    pub(super) arrays: u64,
}

impl Load {
    /// Of all jobs.
    pub(super) fn total(self) -> u64 {
        self.services + self.arrays
    }

    /// The higher of both loads, services and arrays apart.
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
    pub(super) due_s: f64,
    /// CPUs (in thousandths) that it can use at once.
    pub(super) width: f64,
    /// Predicted seconds of one task.
    pub(super) task_s: f64,
    /// CPU seconds (in thousandths) left.
    pub(super) work: f64,
}

/// What all live jobs need.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// The CPUs that they need at once.
    pub(super) load: Load,
    /// The arrays among them, in the order in which they are served.
    pub(super) batches: Vec<Batch>,
}

/// The part of a task's time that is kept in hand.
const DEADLINE_MARGIN_TASKS: f64 = 0.8;
/// The part of a task's time that a batch takes at least.
const MIN_BATCH_TIME_TASKS: f64 = 0.7;
/// Seconds that a batch takes at least.
const MIN_BATCH_TIME_S: f64 = 1.0;
/// What can't be in time any more is still to be done, within about this many seconds.
const MIN_CATCH_UP_TIME_S: f64 = 15.0;
/// Without a deadline or an objective, an array is due after so many task times, and a minute.
const DEFAULT_DUE_TASKS: f64 = 4.0;
/// The minute of it, in seconds.
const DEFAULT_DUE_MARGIN_S: f64 = 60.0;

/// How many seconds a batch may take: its last tasks end apart, and estimates err.
fn available_time_s(batch: &Batch) -> f64 {
    (batch.due_s - DEADLINE_MARGIN_TASKS * batch.task_s)
        .max(MIN_BATCH_TIME_TASKS * batch.task_s)
        .max(MIN_BATCH_TIME_S)
}

/// The CPUs (in thousandths) that are lacking beside `capacity`, when machines that are rented now
/// help only after `boot_s` seconds.
pub(super) fn cpu_shortfall(batches: &[Batch], capacity: f64, boot_s: f64) -> f64 {
    let (mut work, mut width, mut shortfall) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        width += batch.width;
        let time_s = available_time_s(batch);
        let remaining_work = work - capacity * time_s;
        shortfall = shortfall.max(
            (remaining_work / (time_s - boot_s).max(MIN_CATCH_UP_TIME_S)).min(width - capacity),
        );
    }
    shortfall
}

/// The CPUs (in thousandths) that finish every batch in time when they are served in this order: the work up to
/// each, spread over the time that is left for it. A team's guaranteed quota may go before what is
/// due sooner.
pub(super) fn required_cpus(batches: &[Batch]) -> f64 {
    let (mut work, mut width, mut required) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        width += batch.width;
        required = required.max((work / available_time_s(batch)).min(width));
    }
    required
}

/// How many seconds a slot is taken by one task of a job, on average, with the time until the next
/// one. The image's fetch counts half: later tasks find it there.
pub(super) fn task_time_s(job: &LiveJob, cache: &WatchCache, turnaround_s: f64) -> f64 {
    let types = cache.catalog.iter().flat_map(|c| &c.value.types);
    let fetch = types
        .map(|t| t.fetch_gb_per_s)
        .fold(1.0, f64::min)
        .max(0.01);
    predicted_s(job) + turnaround_s + 0.5 * job.spec.image_gb / fetch
}

/// In how many seconds an array is due: by its deadline or by those of the jobs that depend on it,
/// else by the operators' objective for its pipeline. Without either there is no hurry, but an end.
fn due_s(unix_time: UnixTime, job: &LiveJob, task_s: f64, config: &Config) -> f64 {
    if let Some(finish_by) = job.urgency.finish_by {
        return (finish_by.0 as f64 - unix_time.0 as f64) / 1000.0;
    }
    let age_s = unix_time.0.saturating_sub(job.eligible_at.0) as f64 / 1000.0;
    let objective = config.finish_within.get(&job.spec.pipeline);
    let default_s = DEFAULT_DUE_TASKS * task_s + DEFAULT_DUE_MARGIN_S;
    objective.map_or(default_s, |within| within.as_secs_f64()) - age_s
}

/// What the live jobs need now.
pub(super) fn current_demand(
    unix_time: UnixTime,
    cache: &WatchCache,
    config: &Config,
    turnaround_s: f64,
) -> Demand {
    let mut load = Load::default();
    let mut batches = Vec::new();
    let mut running_work = 0.0;
    for (_, job) in jobs_in_queue_order(config, cache) {
        let spec = &job.spec;
        let need = spec.need();
        if spec.kind != JobKind::Array {
            load.services += need.milli_cpus * u64::from(spec.tasks);
            continue;
        }
        let limit = config
            .teams
            .get(&spec.team)
            .map_or(0, |t| t.limit().milli_cpus);
        let left = spec.tasks.saturating_sub(job.done_count());
        let running = (job.placed.len() as u32).min(left);
        let task_s = task_time_s(job, cache, turnaround_s);
        let width = need.milli_cpus.saturating_mul(left.into()).min(limit) as f64;
        let due_s = due_s(unix_time, job, task_s, config);
        let cpus = need.milli_cpus as f64;
        // Running tasks keep their slots whatever comes first; on average half of each is left.
        running_work += 0.5 * f64::from(running) * cpus * task_s;
        let work = f64::from(left - running) * cpus * task_s;
        batches.push(Batch {
            due_s,
            width,
            task_s,
            work,
        });
    }
    if let Some(first) = batches.first_mut() {
        first.work += running_work;
    }
    let spare = 1.0 + cache.settings().array_spare;
    for batch in &mut batches {
        batch.work *= spare;
    }
    load.arrays = required_cpus(&batches) as u64;
    Demand { load, batches }
}

#[cfg(test)]
mod tests;
