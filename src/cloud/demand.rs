//! The capacity that the live jobs need: services and gangs for all their tasks, and arrays to finish by
//! their deadlines.

use crate::config::Config;
use crate::ids::UnixTime;
use crate::placement::jobs_in_queue_order;
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::{LiveJob, WatchCache};

/// The CPU capacity that jobs need at one moment, in thousandths of a CPU.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// The capacity that all tasks of services and gangs need.
    pub(super) services: u64,
    /// The capacity with which arrays finish by their deadlines.
    pub(super) arrays: u64,
}

impl Load {
    /// Returns the capacity that all jobs need.
    pub(super) fn total(self) -> u64 {
        self.services + self.arrays
    }

    /// Returns the higher of both loads, separately for services and for arrays.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            services: self.services.max(other.services),
            arrays: self.arrays.max(other.arrays),
        }
    }
}

/// The remaining work of an array.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    /// The time until the array is due, in seconds. Negative if it is late.
    pub(super) due_s: f64,
    /// The CPU capacity that the array can use at once, in thousandths of a CPU.
    pub(super) usable_cpus: f64,
    /// The predicted time in seconds for which one task occupies a slot.
    pub(super) task_s: f64,
    /// The remaining work in thousandths of a CPU second.
    pub(super) work: f64,
}

/// The demand of all live jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// The CPU capacity that the jobs need now.
    pub(super) load: Load,
    /// The remaining work of the arrays, in queue order.
    pub(super) batches: Vec<Batch>,
}

/// The margin before a batch's due time, as a fraction of the time of one task.
const DEADLINE_MARGIN_TASKS: f64 = 0.8;
/// The shortest time planned for a batch, as a fraction of the time of one task.
const MIN_BATCH_TIME_TASKS: f64 = 0.7;
/// The shortest time planned for a batch, in seconds.
const MIN_BATCH_TIME_S: f64 = 1.0;
/// The shortest time, in seconds, over which missing work is spread. Work that can no longer finish in time
/// is planned to be done within about this time.
const MIN_CATCH_UP_TIME_S: f64 = 15.0;
/// The time until an array without a deadline or an objective is due, in task times.
/// [`DEFAULT_DUE_MARGIN_S`] is added to it.
const DEFAULT_DUE_TASKS: f64 = 4.0;
/// An array without a deadline or an objective is due after [`DEFAULT_DUE_TASKS`] task times plus this many
/// seconds.
const DEFAULT_DUE_MARGIN_S: f64 = 60.0;

/// Returns the time in seconds that a batch may take. It ends before the due time, because the last tasks do
/// not end together and estimates are inexact.
fn available_time_s(batch: &Batch) -> f64 {
    (batch.due_s - DEADLINE_MARGIN_TASKS * batch.task_s)
        .max(MIN_BATCH_TIME_TASKS * batch.task_s)
        .max(MIN_BATCH_TIME_S)
}

/// Returns the CPU capacity, in thousandths of a CPU, that batches need beyond `capacity`, if machines that
/// are rented now become usable after `boot_s` seconds.
pub(super) fn cpu_shortfall(batches: &[Batch], capacity: f64, boot_s: f64) -> f64 {
    let (mut work, mut usable_cpus, mut shortfall) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        usable_cpus += batch.usable_cpus;
        let time_s = available_time_s(batch);
        let remaining_work = work - capacity * time_s;
        shortfall = shortfall.max(
            (remaining_work / (time_s - boot_s).max(MIN_CATCH_UP_TIME_S))
                .min(usable_cpus - capacity),
        );
    }
    shortfall
}

/// Returns the CPU capacity, in thousandths of a CPU, that finishes every batch in time if the batches are
/// served in this order: the largest ratio of the work up to and including a batch to the time left for that
/// batch, but no more than the batches can use at once. The order is not always that of the due times, since
/// work within a team's guaranteed quota may come before work that is due sooner.
pub(super) fn required_cpus(batches: &[Batch]) -> f64 {
    let (mut work, mut usable_cpus, mut required) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        usable_cpus += batch.usable_cpus;
        required = required.max((work / available_time_s(batch)).min(usable_cpus));
    }
    required
}

/// Returns the mean time in seconds for which one task of a job occupies a slot, including the time until the
/// next task starts. The image's fetch time counts half, because later tasks find the image on the machine.
pub(super) fn task_time_s(job: &LiveJob, cache: &WatchCache, turnaround_s: f64) -> f64 {
    let machine_types = cache.catalog.iter().flat_map(|c| &c.value.types);
    let fetch_gb_per_s = machine_types
        .map(|t| t.fetch_gb_per_s)
        .fold(1.0, f64::min)
        .max(0.01);
    predicted_s(job) + turnaround_s + 0.5 * job.spec.image_gb / fetch_gb_per_s
}

/// Returns the time in seconds until an array is due: by its deadline or the deadlines of its dependents,
/// otherwise by the operators' objective for its pipeline. Without either, a default ensures that the array
/// finishes eventually.
fn due_s(unix_time: UnixTime, job: &LiveJob, task_s: f64, config: &Config) -> f64 {
    if let Some(finish_by) = job.urgency.finish_by {
        return (finish_by.0 as f64 - unix_time.0 as f64) / 1000.0;
    }
    let age_s = unix_time.0.saturating_sub(job.eligible_at.0) as f64 / 1000.0;
    let objective = config.finish_within.get(&job.spec.pipeline);
    let default_s = DEFAULT_DUE_TASKS * task_s + DEFAULT_DUE_MARGIN_S;
    objective.map_or(default_s, |within| within.as_secs_f64()) - age_s
}

/// Returns the current demand of the live jobs.
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
        let tasks_left = spec.tasks.saturating_sub(job.done_count());
        let running = (job.placed.len() as u32).min(tasks_left);
        let task_s = task_time_s(job, cache, turnaround_s);
        let usable_cpus = need.milli_cpus.saturating_mul(tasks_left.into()).min(limit) as f64;
        let due_s = due_s(unix_time, job, task_s, config);
        let cpus = need.milli_cpus as f64;
        // Running tasks keep their slots regardless of the queue order. On average, half of each is left.
        running_work += 0.5 * f64::from(running) * cpus * task_s;
        let work = f64::from(tasks_left - running) * cpus * task_s;
        batches.push(Batch {
            due_s,
            usable_cpus,
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
