//! The leader's part in dependent jobs: it learns how their dependencies have ended, releases jobs
//! whose dependencies are all done, and cancels those that depend on a cancelled job.
//!
//! A job is released by one conditional write of its own record, on the ground of final records
//! that were read or written before: those never change, so no later leader can find otherwise,
//! and whoever releases does it once. Until then the job is neither queued nor counted.

use super::Controller;
use super::effects::{Effect, TxnRequester};
use crate::ids::{JobId, MachineId, Millis, MonotonicTime, Revision, UnixTime};
use crate::planning::cancel_dependents;
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::store::dependency_graph::JobOutcome;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{JobRecord, PlanRecord};
use crate::store::{TxnOutcome, keys};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A query or a write without an outcome is repeated after this.
const RETRY_INTERVAL: Millis = Millis(1000);
/// A write that certainly was not executed is repeated after this.
const REFUSED_RETRY_INTERVAL: Millis = Millis(200);
/// Queries and releases in flight at the most, so that a new leader that finds thousands of
/// blocked jobs leaves requests for everything else.
const MAX_IN_FLIGHT: usize = 16;
/// Whoever cancels a job cancels its dependents too, before its user is told. The leader leaves
/// them alone for so long, and then cancels those that are left.
const CANCELLER_HEAD_START: Millis = Millis(1500);

/// Queries and releases in flight, and until when the leader waits for their outcome.
#[derive(Debug, Default)]
pub(super) struct DependentReleases {
    queried: BTreeMap<JobId, MonotonicTime>,
    releasing: BTreeMap<JobId, MonotonicTime>,
    /// When dependents of cancelled jobs are cancelled next.
    cancel_at: Option<MonotonicTime>,
}

impl DependentReleases {
    /// Forgets what is in flight: another controller leads now, or no job is blocked.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.queried.retain(|_, until| *until > now);
        self.releasing.retain(|_, until| *until > now);
    }
}

impl Controller {
    /// Does whatever dependent jobs need now.
    pub(super) fn step_dependents(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.cache.dependency_graph.len() == 0 {
            self.dependents.clear();
            return;
        }
        self.dependents.expire(now);
        self.query_outcomes(now, effects);
        self.release_ready(now, effects);
        self.propagate_cancellations(now, effects);
    }

    /// Has the final records read of dependencies that have left the watch cache.
    fn query_outcomes(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let room = MAX_IN_FLIGHT.saturating_sub(self.dependents.queried.len());
        let unqueried = self.cache.dependency_graph.jobs_with_unknown_outcome();
        let unqueried = unqueried.filter(|id| !self.dependents.queried.contains_key(*id));
        let ids: Vec<JobId> = unqueried.take(room).cloned().collect();
        for id in ids {
            self.dependents
                .queried
                .insert(id.clone(), now + RETRY_INTERVAL);
            effects.push(Effect::QueryJobOutcome(id));
        }
    }

    /// Releases jobs whose dependencies are all done, the most urgent first.
    fn release_ready(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let room = MAX_IN_FLIGHT.saturating_sub(self.dependents.releasing.len());
        if room == 0 {
            return;
        }
        let dependency_graph = &self.cache.dependency_graph;
        let ready = dependency_graph.ready();
        let idle = ready.filter(|id| !self.dependents.releasing.contains_key(*id));
        let mut ids: Vec<JobId> = idle.cloned().collect();
        ids.sort_by_cached_key(|id| {
            let urgency = dependency_graph.urgency(id);
            let finish_by = urgency.and_then(|u| u.finish_by);
            let latest = finish_by.unwrap_or(UnixTime(u64::MAX));
            (Reverse(urgency.map(|u| u.priority)), latest)
        });
        for id in ids.into_iter().take(room) {
            let Some((revision, record)) = self.released(&id) else {
                continue;
            };
            let mut txn = Txn::default();
            txn.require(keys::job(&id), revision);
            txn.put(keys::job(&id), &record, None);
            self.dependents
                .releasing
                .insert(id.clone(), now + RETRY_INTERVAL);
            effects.push(Effect::Txn {
                requester: TxnRequester::DependentRelease(id),
                class: RequestClass::Accept,
                txn,
            });
        }
    }

    /// A blocked job's revision, and its record as released now.
    fn released(&self, id: &JobId) -> Option<(Revision, JobRecord)> {
        let job = self.cache.dependency_graph.get(id)?;
        let now = self.scheduler.unix_time.max(job.accepted_at);
        let mut record = JobRecord::new((*job.spec).clone(), job.accepted_at);
        record.released_at = Some(now);
        Some((job.revision, record))
    }

    /// The outcome of a job's release.
    pub(super) fn on_release(&mut self, now: MonotonicTime, id: &JobId, outcome: &TxnOutcome) {
        match outcome {
            TxnOutcome::Committed(revision) => {
                self.dependents.releasing.remove(id);
                self.take_released(id, *revision);
            }
            // The watch cache is behind, or other controllers write as well: what it shows then decides.
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Failed(..) => {
                let until = now + REFUSED_RETRY_INTERVAL;
                self.dependents.releasing.insert(id.clone(), until);
            }
            TxnOutcome::Unknown => {}
        }
    }

    /// The job's tasks may run at once, before the stream brings its record.
    fn take_released(&mut self, id: &JobId, revision: Revision) {
        let Some((_, record)) = self.released(id) else {
            return;
        };
        let group = self
            .cache
            .dependency_graph
            .placement_group_machines(id)
            .to_vec();
        self.cache.put_job(id.clone(), record, revision);
        self.prefer(id, group);
        self.timers.schedule.request_now();
    }

    /// Puts the machines of the placement group that a job joins before those that have its image.
    fn prefer(&mut self, id: &JobId, group: Vec<MachineId>) {
        let plan = self.cache.jobs.get_mut(id).and_then(|j| j.plan.as_mut());
        if let Some(plan) = plan.filter(|_| !group.is_empty()) {
            let own = std::mem::replace(&mut plan.machines, group);
            let more = own.into_iter().filter(|m| !plan.machines.contains(m));
            let more: Vec<MachineId> = more.collect();
            plan.machines.extend(more);
            plan.machines.truncate(PlanRecord::MAX_MACHINES);
        }
    }

    /// A final record was read, or written here.
    pub(super) fn learn_outcome(&mut self, job: &JobId, state: JobState) {
        let outcome = match state {
            JobState::Done => JobOutcome::Done,
            JobState::Cancelled => JobOutcome::Cancelled,
            JobState::Queued | JobState::Running => return,
        };
        self.dependents.queried.remove(job);
        self.cache.record_job_outcome(job, outcome);
    }

    /// Cancels what needs a cancelled job, where the controller that cancelled it has not done so.
    fn propagate_cancellations(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let Some(cancelled) = self.cache.dependency_graph.cancelled().next() else {
            self.dependents.cancel_at = None;
            return;
        };
        if now
            < *self
                .dependents
                .cancel_at
                .get_or_insert(now + CANCELLER_HEAD_START)
        {
            return;
        }
        self.dependents.cancel_at = Some(now + REFUSED_RETRY_INTERVAL);
        let ops = self.config.store_limits.txn_ops;
        if let Some((txn, jobs)) = cancel_dependents(cancelled, &self.cache, ops) {
            effects.push(Effect::Txn {
                requester: TxnRequester::CancelledDependents(jobs),
                class: RequestClass::Accept,
                txn,
            });
        }
    }

    /// These jobs were cancelled because others that they need were.
    pub(crate) fn on_dependents_cancelled(&mut self, jobs: &[JobId], revision: Revision) {
        for job in jobs {
            self.cache.apply_cancellation(job, revision);
        }
        self.timers.schedule.request();
    }
}
