//! Tasks of cancelled jobs that could not be stopped in time. Where no command arrives, a task
//! ends only with its machine: a controller inside a cut-off zone goes on answering its workers,
//! so their leases never run out (hunt 7f89873a: `ran_cancelled`, 46 s after the cancellation).
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
/// A question without an answer is asked again after this.
const OUTCOME_QUERY_INTERVAL: Millis = Millis(2000);

#[derive(Debug)]
struct EndedJob {
    /// Not known for those that were over when this process began: that may be long ago.
    since: Option<MonotonicTime>,
    asked: Option<MonotonicTime>,
    state: Option<JobState>,
}

/// Jobs that are over and still have tasks on record, since when, and how they ended. Every
/// controller keeps it, so that the next leader knows the times as well.
#[derive(Debug, Default)]
pub(crate) struct CancellationDeadlines {
    ended: BTreeMap<JobId, EndedJob>,
    begun: bool,
}

/// What the leader does about them.
#[derive(Debug, Default)]
pub(crate) struct Due {
    /// How these jobs ended has to be read.
    pub ask: Vec<JobId>,
    /// These machines have to go: their deletion is the proof.
    pub decommission: Vec<MachineId>,
}

impl CancellationDeadlines {
    /// Notes which jobs are over. A process that has just begun can't know for how long.
    pub(crate) fn scan(&mut self, now: MonotonicTime, cache: &WatchCache) {
        let since = self.begun.then_some(now);
        self.begun = true;
        let groups = cache.machines.values().flat_map(|m| &m.record.jobs);
        let ended_jobs: BTreeSet<&JobId> = groups
            .map(|g| &g.job)
            .filter(|job| !cache.jobs.contains_key(*job))
            .collect();
        self.ended.retain(|job, _| ended_jobs.contains(job));
        for job in ended_jobs {
            if !self.ended.contains_key(job) {
                let ended = EndedJob {
                    since,
                    asked: None,
                    state: None,
                };
                self.ended.insert(job.clone(), ended);
            }
        }
    }

    /// A job was cancelled so long ago: known for certain, with no need to ask.
    pub(crate) fn cancelled(&mut self, now: MonotonicTime, job: &JobId, age: Millis) {
        let at = MonotonicTime(now.0.saturating_sub(age.0));
        let ended = self.ended.entry(job.clone()).or_insert(EndedJob {
            since: None,
            asked: None,
            state: None,
        });
        ended.since = Some(ended.since.map_or(at, |s| s.min(at)));
        ended.state = Some(JobState::Cancelled);
    }

    /// How long ago a job was cancelled, if it is known and has tasks on record.
    pub(crate) fn age(&self, now: MonotonicTime, job: &JobId) -> Option<Millis> {
        let ended = self.ended.get(job)?;
        let cancelled = ended.state == Some(JobState::Cancelled);
        ended.since.filter(|_| cancelled).map(|at| now.since(at))
    }

    pub(crate) fn record_outcome(&mut self, job: &JobId, state: JobState) {
        if let Some(ended) = self.ended.get_mut(job) {
            ended.state = Some(state);
        }
    }

    /// The machines on which a cancelled job's time runs out, out of those that have been `silent`
    /// for so long that no command can be hoped to arrive, without the tasks that are `freed`.
    pub(crate) fn due(
        &mut self,
        now: MonotonicTime,
        cancel: Millis,
        cache: &WatchCache,
        silent: impl Fn(&MachineId) -> bool,
        freed: impl Fn(&TaskAttempt) -> bool,
    ) -> Due {
        let mut due = Due::default();
        let limit = Millis(cancel.0 - cancel.0 / CLEANUP_DIVISOR);
        for (id, machine) in &cache.machines {
            if self.ended.is_empty() || !silent(id) {
                continue;
            }
            for (attempt, _) in machine.record.runs() {
                let Some(ended) = self.ended.get_mut(&attempt.task.job) else {
                    continue;
                };
                let early = ended.since.is_some_and(|at| now.since(at) < limit);
                if early || freed(&attempt) {
                    continue;
                }
                match ended.state {
                    Some(JobState::Cancelled) => {
                        due.decommission.push(id.clone());
                        break;
                    }
                    Some(_) => {}
                    None if ended
                        .asked
                        .is_none_or(|at| now.since(at) >= OUTCOME_QUERY_INTERVAL) =>
                    {
                        ended.asked = Some(now);
                        due.ask.push(attempt.task.job.clone());
                    }
                    None => {}
                }
            }
        }
        due
    }
}
