//! Tasks of cancelled jobs that could not be stopped in time. Where no command arrives, a task
//! ends only with its machine: a controller inside a cut-off zone goes on answering its workers,
//! so their leases never run out, and the machine has to be deleted.
//!
//! That a job is gone from the watch cache does not say how it ended, and most end done; deleting
//! machines for those would throw away healthy work. So the key-value store is asked first.

use crate::ids::{JobId, MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::protocol::JobState;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// The part of the time for a cancellation that is kept for asking and deleting: the cloud may be
/// out, and a deletion be refused and asked again.
const CLEANUP_DIVISOR: u64 = 2;
/// An outcome that was asked for and not answered is asked for again after this.
const OUTCOME_QUERY_INTERVAL: Millis = Millis(2000);

/// What is known of a job that has ended.
#[derive(Debug)]
struct EndedJob {
    /// Not known for those that had ended when this process began: that may be long ago.
    since: Option<MonotonicTime>,
    /// When its outcome was last asked for.
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

    /// Whether its outcome has to be asked for now.
    fn needs_query(&self, now: MonotonicTime) -> bool {
        let is_due = |at| now.since(at) >= OUTCOME_QUERY_INTERVAL;
        self.state.is_none() && self.queried_at.is_none_or(is_due)
    }
}

/// Jobs that have ended and still have tasks on record, since when, and how they ended. Every
/// controller keeps them, so that the next leader knows the times as well.
#[derive(Debug, Default)]
pub(crate) struct CancellationDeadlines {
    ended: BTreeMap<JobId, EndedJob>,
    /// Whether the jobs on record were looked through before.
    has_scanned: bool,
}

/// What has to be done about tasks that did not stop in time.
#[derive(Debug, Default)]
pub(crate) struct DueActions {
    /// How these jobs ended has to be read.
    pub unknown_outcomes: Vec<JobId>,
    /// These machines have to go: their deletion is the proof that the tasks ended.
    pub decommission: Vec<MachineId>,
}

impl CancellationDeadlines {
    /// Notes which jobs have ended. A process that has just begun can't know for how long.
    pub(crate) fn scan(&mut self, now: MonotonicTime, cache: &WatchCache) {
        let since = self.has_scanned.then_some(now);
        self.has_scanned = true;
        let placed = cache.machines.values().flat_map(|m| &m.record.jobs);
        let ended_jobs: BTreeSet<&JobId> = placed
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

    /// Notes that a job was cancelled so long ago: known for certain, with no need to ask.
    pub(crate) fn cancelled(&mut self, now: MonotonicTime, job: &JobId, age: Millis) {
        let at = now - age;
        let ended = self
            .ended
            .entry(job.clone())
            .or_insert_with(|| EndedJob::new(None));
        ended.since = Some(ended.since.map_or(at, |s| s.min(at)));
        ended.state = Some(JobState::Cancelled);
    }

    /// How long ago a job was cancelled, if it is known and has tasks on record.
    pub(crate) fn age(&self, now: MonotonicTime, job: &JobId) -> Option<Millis> {
        let ended = self.ended.get(job)?;
        let cancelled = ended.state == Some(JobState::Cancelled);
        ended.since.filter(|_| cancelled).map(|at| now.since(at))
    }

    /// Notes what a job's final record says.
    pub(crate) fn record_outcome(&mut self, job: &JobId, state: JobState) {
        if let Some(ended) = self.ended.get_mut(job) {
            ended.state = Some(state);
        }
    }

    /// The machines on which a cancelled job's time of `cancel` runs out, among those that have
    /// been `silent` for so long that no command can be hoped to arrive. Tasks that are `freed`
    /// are known to have ended.
    pub(crate) fn due(
        &mut self,
        now: MonotonicTime,
        cancel: Millis,
        cache: &WatchCache,
        silent: impl Fn(&MachineId) -> bool,
        freed: impl Fn(&TaskAttempt) -> bool,
    ) -> DueActions {
        let mut actions = DueActions::default();
        let limit = Millis(cancel.0 - cancel.0 / CLEANUP_DIVISOR);
        for (id, machine) in &cache.machines {
            if self.ended.is_empty() || !silent(id) {
                continue;
            }
            for (attempt, _) in machine.record.attempts() {
                let Some(ended) = self.ended.get_mut(&attempt.task.job) else {
                    continue;
                };
                if ended.has_ended_within(now, limit) || freed(&attempt) {
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
