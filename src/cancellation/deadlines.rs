//! Finds tasks of cancelled jobs that could not be stopped in time, and the machines to delete for them. If
//! a machine receives no commands, its tasks end only when it is deleted: a controller in the same
//! partitioned zone continues to answer the workers there, so their leases do not expire.
//!
//! A job that has left the watch cache was either done or cancelled, and most were done. Deleting machines
//! for a job that was done would lose healthy tasks of other jobs. So the job's final record is read first.

use crate::ids::{JobId, MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::protocol::JobState;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// The last half of the cancellation timeout is reserved for reading final records and deleting machines:
/// the cloud may be unavailable, or may refuse a deletion, which is then repeated.
const DELETION_RESERVE_DIVISOR: u64 = 2;
/// How long to wait for an outcome before it is queried again.
const OUTCOME_QUERY_INTERVAL: Millis = Millis(2000);

/// A job that has ended and still has tasks on record.
#[derive(Debug)]
struct EndedJob {
    /// When the job ended. `None` if it had ended before this process started, perhaps long before.
    since: Option<MonotonicTime>,
    /// When the outcome was last queried.
    queried_at: Option<MonotonicTime>,
    state: Option<JobState>,
}

impl EndedJob {
    fn new(since: Option<MonotonicTime>) -> Self {
        Self {
            since,
            queried_at: None,
            state: None,
        }
    }

    fn has_ended_within(&self, now: MonotonicTime, limit: Millis) -> bool {
        self.since.is_some_and(|at| now.since(at) < limit)
    }

    /// Returns whether the outcome has to be queried now.
    fn needs_query(&self, now: MonotonicTime) -> bool {
        let is_due = |at| now.since(at) >= OUTCOME_QUERY_INTERVAL;
        self.state.is_none() && self.queried_at.is_none_or(is_due)
    }
}

/// Jobs that have ended and still have tasks on record, with the time and the outcome. Every controller
/// tracks them, so that a new leader knows the times.
#[derive(Debug, Default)]
pub(crate) struct CancellationDeadlines {
    ended: BTreeMap<JobId, EndedJob>,
    /// Whether a scan has been done since the process started.
    has_scanned: bool,
}

/// The actions that are due for tasks that did not stop in time.
#[derive(Debug, Default)]
pub(crate) struct DueActions {
    /// Jobs whose final records have to be read.
    pub unknown_outcomes: Vec<JobId>,
    /// Machines to delete. Their deletion proves that the tasks have ended.
    pub decommission: Vec<MachineId>,
}

impl CancellationDeadlines {
    /// Updates the jobs that have ended and still have tasks on record. For jobs that the first scan finds,
    /// the time at which they ended is unknown.
    pub(crate) fn scan(&mut self, now: MonotonicTime, cache: &WatchCache) {
        let since = self.has_scanned.then_some(now);
        self.has_scanned = true;
        let placements = cache.machines.values().flat_map(|m| &m.record.jobs);
        let ended_jobs: BTreeSet<&JobId> = placements
            .map(|p| &p.job)
            .filter(|job| !cache.jobs.contains_key(*job))
            .collect();
        self.ended.retain(|job, _| ended_jobs.contains(job));
        for job in ended_jobs {
            if !self.ended.contains_key(job) {
                self.ended.insert(job.clone(), EndedJob::new(since));
            }
        }
    }

    /// Records that a job was cancelled `age` ago. Its outcome is thus known and is not queried.
    pub(crate) fn record_cancellation(&mut self, now: MonotonicTime, job: &JobId, age: Millis) {
        let at = now - age;
        let ended = self
            .ended
            .entry(job.clone())
            .or_insert_with(|| EndedJob::new(None));
        ended.since = Some(ended.since.map_or(at, |s| s.min(at)));
        ended.state = Some(JobState::Cancelled);
    }

    /// Returns how long ago a job was cancelled. `None` if that is unknown, or no tasks are on record.
    pub(crate) fn age(&self, now: MonotonicTime, job: &JobId) -> Option<Millis> {
        let ended = self.ended.get(job)?;
        let cancelled = ended.state == Some(JobState::Cancelled);
        ended.since.filter(|_| cancelled).map(|at| now.since(at))
    }

    /// Records the state from a job's final record.
    pub(crate) fn record_outcome(&mut self, job: &JobId, state: JobState) {
        if let Some(ended) = self.ended.get_mut(job) {
            ended.state = Some(state);
        }
    }

    /// Returns the unresponsive machines with tasks of a cancelled job for which the part of
    /// `cancellation_timeout` reserved for deletions has begun, and jobs whose outcome has to be read.
    /// `is_unresponsive` tells on which machines commands can no longer be expected to arrive. `is_freed`
    /// tells which attempts are known to have ended.
    pub(crate) fn due_actions(
        &mut self,
        now: MonotonicTime,
        cancellation_timeout: Millis,
        cache: &WatchCache,
        is_unresponsive: impl Fn(&MachineId) -> bool,
        is_freed: impl Fn(&TaskAttempt) -> bool,
    ) -> DueActions {
        let mut actions = DueActions::default();
        let stop_time_limit =
            Millis(cancellation_timeout.0 - cancellation_timeout.0 / DELETION_RESERVE_DIVISOR);
        for (id, machine) in &cache.machines {
            if self.ended.is_empty() || !is_unresponsive(id) {
                continue;
            }
            for (attempt, _) in machine.record.attempts() {
                let Some(ended) = self.ended.get_mut(&attempt.task.job) else {
                    continue;
                };
                if ended.has_ended_within(now, stop_time_limit) || is_freed(&attempt) {
                    continue;
                }
                if ended.state == Some(JobState::Cancelled) {
                    actions.decommission.push(id.clone());
                    break;
                }
                if ended.needs_query(now) {
                    ended.queried_at = Some(now);
                    actions.unknown_outcomes.push(attempt.task.job);
                }
            }
        }
        actions
    }
}
