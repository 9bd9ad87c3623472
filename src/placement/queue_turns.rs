//! The turns of the waiting jobs in a scheduling pass, in the order in which they are served.

use super::candidates::{Candidate, milli_cpus_by_image};
use super::pass_inputs::PassInputs;
use super::queue_order::{promote_starving, queue_rank};
use crate::ids::{JobId, Millis, Resources, UnixTime};
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// An array waits for a machine with its image if fetching the image takes at least this fraction
/// of a task's run time. Below that, waiting costs more than it saves, and allotments of few tasks
/// use up record writes.
const MIN_FETCH_FRACTION: f64 = 0.2;
/// The time after which an array that still waits for its first task accepts any machine.
const MAX_ARRAY_IMAGE_WAIT: Millis = Millis(60_000);
/// An array waits for machines with its image if these have at least this many times the CPUs that
/// it needs.
const IMAGE_CPU_FACTOR: u64 = 2;

/// The turn of a waiting job.
#[derive(Clone, Copy)]
pub(super) struct QueueTurn<'a> {
    /// The job's id.
    pub id: &'a JobId,
    /// The job.
    pub job: &'a LiveJob,
    /// Whether this turn uses only machines that have the job's image.
    pub cached_only: bool,
}

impl QueueTurn<'_> {
    /// Returns the job's kind.
    pub(super) fn kind(&self) -> JobKind {
        self.job.spec.kind
    }

    /// Returns the resources of each of the job's tasks.
    pub(super) fn need(&self) -> Resources {
        self.job.spec.need()
    }
}

/// Returns the jobs with tasks that are neither placed nor done, in the order in which they are
/// served. Jobs in backoff are left out.
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

/// Returns the turns of all waiting jobs, in two rounds. In the first round an array that waits for
/// its image uses only machines that have it, so that on a full fleet each free machine goes to the
/// first job whose image it has. Otherwise tasks would spend much of their time fetching images. In
/// the second round these arrays may use any remaining capacity, in queue order.
pub(super) fn queue_turns<'a>(
    input: &PassInputs<'a>,
    candidates: &[Candidate<'a>],
) -> Vec<QueueTurn<'a>> {
    let waiting = waiting_jobs(input);
    let milli_cpus_by_image = milli_cpus_by_image(candidates);
    let rates = candidates.iter().map(|c| c.fetch_gb_per_s);
    let min_fetch_gb_per_s = rates.fold(f64::INFINITY, f64::min);
    let turn = |(id, job): &(&'a JobId, &'a LiveJob), cached_only| QueueTurn {
        id,
        job,
        cached_only,
    };
    let waits_for_image = |job: &LiveJob| {
        waits_for_image(
            job,
            input.unix_time,
            &milli_cpus_by_image,
            min_fetch_gb_per_s,
        )
    };
    let first_round = waiting.iter().map(|w| turn(w, waits_for_image(w.1)));
    let second_round = waiting.iter().filter(|w| waits_for_image(w.1));
    first_round
        .chain(second_round.map(|w| turn(w, false)))
        .collect()
}

/// Returns whether a job may wait for machines that have its image. This holds for an array without
/// a zone constraint if fetching the image takes at least `MIN_FETCH_FRACTION` of a task's run time
/// and these machines have at least `IMAGE_CPU_FACTOR` times the CPUs of the remaining tasks. An
/// array that has waited for its first task for `MAX_ARRAY_IMAGE_WAIT` no longer waits.
fn waits_for_image(
    job: &LiveJob,
    unix_time: UnixTime,
    milli_cpus_by_image: &BTreeMap<&str, u64>,
    min_fetch_gb_per_s: f64,
) -> bool {
    let spec = &job.spec;
    let fetch_s = spec.image_gb / min_fetch_gb_per_s;
    let remaining = spec.tasks.saturating_sub(job.done_count());
    let image_milli_cpus = milli_cpus_by_image
        .get(spec.image.as_str())
        .copied()
        .unwrap_or(0);
    let is_started = !job.placed.is_empty() || job.done_count() > 0;
    let age = Millis(unix_time.0.saturating_sub(job.eligible_at.0));
    spec.kind == JobKind::Array
        && fetch_s >= MIN_FETCH_FRACTION * predicted_s(job)
        && !spec.one_zone
        && !spec.spread
        && image_milli_cpus >= IMAGE_CPU_FACTOR * spec.need().milli_cpus * u64::from(remaining)
        && (is_started || age < MAX_ARRAY_IMAGE_WAIT)
}
