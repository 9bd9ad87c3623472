//! The turns that waiting jobs get in a scheduling pass, in their order.

use super::candidates::{Candidate, image_rooms};
use super::queue_order::{oldest_first, rank};
use super::scheduling_pass::PassInputs;
use crate::ids::{JobId, Millis, Resources, UnixTime};
use crate::planning::predicted_s;
use crate::protocol::JobKind;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// Fetching is worth waiting for another place from this part of a task's own time on. Below, the
/// wait costs more than it saves, and places of few tasks use up changes (Savannah fleet, calm).
const FETCH_PART: f64 = 0.2;
/// An array that has waited so long for its first task takes any place.
const ARRAY_PATIENCE: Millis = Millis(60_000);
/// A waiting job's turn.
#[derive(Clone, Copy)]
pub(super) struct QueueTurn<'a> {
    pub id: &'a JobId,
    pub job: &'a LiveJob,
    /// Only places where the job's image is.
    pub cached_only: bool,
}

impl QueueTurn<'_> {
    pub(super) fn kind(&self) -> JobKind {
        self.job.spec.kind
    }

    pub(super) fn need(&self) -> Resources {
        self.job.spec.need()
    }
}

/// Jobs that lack tasks, in the order in which they are served.
fn waiting<'a>(input: &PassInputs<'a>) -> Vec<(&'a JobId, &'a LiveJob)> {
    let lacks = |job: &LiveJob| job.done_count() + (job.placed.len() as u32) < job.spec.tasks;
    let mut waiting: Vec<(&JobId, &LiveJob)> = input
        .cache
        .jobs
        .iter()
        .filter(|(id, job)| !input.faults.paused(input.now, id) && lacks(job))
        .collect();
    waiting.sort_by_cached_key(|(id, job)| rank(id, job, input.within.contains(*id)));
    oldest_first(&mut waiting, input.unix_time);
    waiting
}

/// Where more waits than there is room for, each place goes to the first in the order whose
/// image is there; what is left goes to whoever is first. On a full fleet a third of all
/// tasks fetched images for a third of their own time (Tramite fleet, busy).
pub(super) fn queue_turns<'a>(
    input: &PassInputs<'a>,
    candidates: &[Candidate<'a>],
) -> Vec<QueueTurn<'a>> {
    let waiting = waiting(input);
    let covered = image_rooms(candidates);
    let rates = candidates.iter().map(|c| c.fetch_gb_per_s);
    let slowest = rates.fold(f64::INFINITY, f64::min);
    let turn = |(id, job): &(&'a JobId, &'a LiveJob), cached_only| QueueTurn {
        id,
        job,
        cached_only,
    };
    let patient = |job: &LiveJob| is_patient(job, input.unix_time, &covered, slowest);
    let first = waiting.iter().map(|w| turn(w, patient(w.1)));
    let second = waiting.iter().filter(|w| patient(w.1));
    first.chain(second.map(|w| turn(w, false))).collect()
}

/// Whether a job may wait for places where its image is: an array, wherever it may run, for
/// whose image there are enough of them, and which has not waited for its first task for long.
fn is_patient(
    job: &LiveJob,
    unix_time: UnixTime,
    covered: &BTreeMap<&str, u64>,
    slowest_gb_per_s: f64,
) -> bool {
    let spec = &job.spec;
    let time = predicted_s(job);
    let fetch = spec.image_gb / slowest_gb_per_s;
    let left = spec.tasks.saturating_sub(job.done_count());
    let room = covered.get(spec.image.as_str()).copied().unwrap_or(0);
    let begun = !job.placed.is_empty() || job.done_count() > 0;
    let age = Millis(unix_time.0.saturating_sub(job.eligible.0));
    spec.kind == JobKind::Array
        && fetch >= FETCH_PART * time
        && !spec.one_zone
        && !spec.spread
        && room >= 2 * spec.need().cpus * u64::from(left)
        && (begun || age < ARRAY_PATIENCE)
}
