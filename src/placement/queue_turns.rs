//! The turns that waiting jobs get in a scheduling pass, in the order in which they are served.

use super::candidates::{Candidate, cpus_by_image};
use super::pass_inputs::PassInputs;
use super::queue_order::{promote_starving, queue_rank};
use crate::ids::{JobId, Millis, Resources, UnixTime};
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// An array waits for a machine with its image if fetching takes at least this part of a task's
/// run time. Below, the wait costs more than it saves, and allotments of few tasks use up record
/// changes.
const MIN_FETCH_FRACTION: f64 = 0.2;
/// An array that has waited so long for its first task takes any machine.
const IMAGE_PATIENCE: Millis = Millis(60_000);
/// An array waits for machines with its image if they have this many times the CPUs that it needs.
const IMAGE_CPU_FACTOR: u64 = 2;

/// A waiting job's turn.
#[derive(Clone, Copy)]
pub(super) struct QueueTurn<'a> {
    /// The job's id.
    pub id: &'a JobId,
    /// The job.
    pub job: &'a LiveJob,
    /// Only machines that have the job's image are used in this turn.
    pub cached_only: bool,
}

impl QueueTurn<'_> {
    /// The job's kind.
    pub(super) fn kind(&self) -> JobKind {
        self.job.spec.kind
    }

    /// The resources of each of the job's tasks.
    pub(super) fn need(&self) -> Resources {
        self.job.spec.need()
    }
}

/// The jobs with tasks that are neither placed nor done, in the order in which they are served.
fn waiting_jobs<'a>(input: &PassInputs<'a>) -> Vec<(&'a JobId, &'a LiveJob)> {
    let is_incomplete =
        |job: &LiveJob| job.done_count() + (job.placed.len() as u32) < job.spec.tasks;
    let mut waiting: Vec<(&JobId, &LiveJob)> = input
        .cache
        .jobs
        .iter()
        .filter(|(id, job)| !input.faults.is_backing_off(input.now, id) && is_incomplete(job))
        .collect();
    waiting
        .sort_by_cached_key(|(id, job)| queue_rank(id, job, input.guaranteed_jobs.contains(*id)));
    promote_starving(&mut waiting, input.unix_time);
    waiting
}

/// The turns of all waiting jobs. On a full fleet each free machine goes first to the first job
/// whose image it has, since tasks would otherwise spend much of their time on fetching images;
/// what is left goes to whoever is first.
pub(super) fn queue_turns<'a>(
    input: &PassInputs<'a>,
    candidates: &[Candidate<'a>],
) -> Vec<QueueTurn<'a>> {
    let waiting = waiting_jobs(input);
    let cpus_by_image = cpus_by_image(candidates);
    let rates = candidates.iter().map(|c| c.fetch_gb_per_s);
    let slowest = rates.fold(f64::INFINITY, f64::min);
    let turn = |(id, job): &(&'a JobId, &'a LiveJob), cached_only| QueueTurn {
        id,
        job,
        cached_only,
    };
    let waits_for_image =
        |job: &LiveJob| waits_for_image(job, input.unix_time, &cpus_by_image, slowest);
    let first = waiting.iter().map(|w| turn(w, waits_for_image(w.1)));
    let second = waiting.iter().filter(|w| waits_for_image(w.1));
    first.chain(second.map(|w| turn(w, false))).collect()
}

/// Whether a job may wait for machines that have its image: an array without a constraint on zones
/// for which there are enough of them, and which has not waited for its first task for long.
fn waits_for_image(
    job: &LiveJob,
    unix_time: UnixTime,
    cpus_by_image: &BTreeMap<&str, u64>,
    slowest_gb_per_s: f64,
) -> bool {
    let spec = &job.spec;
    let fetch_s = spec.image_gb / slowest_gb_per_s;
    let remaining = spec.tasks.saturating_sub(job.done_count());
    let image_cpus = cpus_by_image.get(spec.image.as_str()).copied().unwrap_or(0);
    let is_started = !job.placed.is_empty() || job.done_count() > 0;
    let age = Millis(unix_time.0.saturating_sub(job.eligible_at.0));
    spec.kind == JobKind::Array
        && fetch_s >= MIN_FETCH_FRACTION * predicted_s(job)
        && !spec.one_zone
        && !spec.spread
        && image_cpus >= IMAGE_CPU_FACTOR * spec.need().milli_cpus * u64::from(remaining)
        && (is_started || age < IMAGE_PATIENCE)
}
