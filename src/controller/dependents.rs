//! The leader's handling of jobs with dependencies. It reads the final states of dependencies, releases
//! jobs whose dependencies are all done, and cancels jobs that depend on a cancelled one.
//!
//! A job is released by one compare-and-swap write of its own record. The release is based on final
//! records, which never change: a later leader comes to the same result, and a job is released only once.
//! Until then the job is neither queued nor counted.

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

/// How long to wait for the outcome of a query or a write before it is repeated.
const RETRY_INTERVAL: Millis = Millis(1000);
/// How long to wait before a write that was certainly not executed is repeated. Also the interval at
/// which dependents of cancelled jobs are cancelled.
const NOT_EXECUTED_RETRY_INTERVAL: Millis = Millis(200);
/// Limits the queries in flight, and separately the releases in flight, so that a new leader that finds
/// thousands of blocked jobs does not use up the request rate that other duties need.
const MAX_IN_FLIGHT: usize = 16;
/// The controller that cancels a job also cancels its dependents, before it answers the user. The leader
/// waits this long before it cancels the remaining dependents. The wait begins when a cancelled job with
/// blocked dependents is first seen. It is not repeated for jobs that are cancelled before all of these
/// dependents are gone.
const CANCELLER_GRACE_PERIOD: Millis = Millis(1500);

/// The time at which each query and each release in flight may be repeated.
#[derive(Debug, Default)]
pub(super) struct DependentReleases {
    query_retry_at: BTreeMap<JobId, MonotonicTime>,
    release_retry_at: BTreeMap<JobId, MonotonicTime>,
    /// When dependents of cancelled jobs are cancelled next.
    cancel_at: Option<MonotonicTime>,
}

impl DependentReleases {
    /// Forgets all queries and releases. Called while this controller is not the leader or no job is
    /// blocked.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.query_retry_at.retain(|_, until| *until > now);
        self.release_retry_at.retain(|_, until| *until > now);
    }
}

impl Controller {
    /// Queries, releases and cancels blocked jobs as needed.
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

    /// Requests reads of the final records of dependencies that are no longer in the watch cache.
    fn query_outcomes(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let available = MAX_IN_FLIGHT.saturating_sub(self.dependents.query_retry_at.len());
        let unqueried = self.cache.dependency_graph.jobs_with_unknown_outcome();
        let unqueried = unqueried.filter(|id| !self.dependents.query_retry_at.contains_key(*id));
        let ids: Vec<JobId> = unqueried.take(available).cloned().collect();
        for id in ids {
            self.dependents
                .query_retry_at
                .insert(id.clone(), now + RETRY_INTERVAL);
            effects.push(Effect::QueryJobOutcome(id));
        }
    }

    /// Releases jobs whose dependencies are all done, in order of priority and then of deadline.
    fn release_ready(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let available = MAX_IN_FLIGHT.saturating_sub(self.dependents.release_retry_at.len());
        if available == 0 {
            return;
        }
        let dependency_graph = &self.cache.dependency_graph;
        let ready = dependency_graph.ready();
        let not_in_flight = ready.filter(|id| !self.dependents.release_retry_at.contains_key(*id));
        let mut ids: Vec<JobId> = not_in_flight.cloned().collect();
        ids.sort_by_cached_key(|id| {
            let urgency = dependency_graph.urgency(id);
            let finish_by = urgency.and_then(|u| u.finish_by);
            let latest = finish_by.unwrap_or(UnixTime(u64::MAX));
            (Reverse(urgency.map(|u| u.priority)), latest)
        });
        for id in ids.into_iter().take(available) {
            let Some((revision, record)) = self.released_record(&id) else {
                continue;
            };
            let mut txn = Txn::default();
            txn.require(keys::job(&id), revision);
            txn.put(keys::job(&id), &record, None);
            self.dependents
                .release_retry_at
                .insert(id.clone(), now + RETRY_INTERVAL);
            effects.push(Effect::Txn {
                requester: TxnRequester::DependentRelease(id),
                class: RequestClass::Accept,
                txn,
            });
        }
    }

    /// Returns a blocked job's revision, and the record that releases it now.
    fn released_record(&self, id: &JobId) -> Option<(Revision, JobRecord)> {
        let job = self.cache.dependency_graph.get(id)?;
        let now = self.scheduler.unix_time.max(job.accepted_at);
        let mut record = JobRecord::new((*job.spec).clone(), job.accepted_at);
        record.released_at = Some(now);
        Some((job.revision, record))
    }

    /// Handles the outcome of a job's release.
    pub(super) fn on_release_outcome(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        outcome: &TxnOutcome,
    ) {
        match outcome {
            TxnOutcome::Committed(revision) => {
                self.dependents.release_retry_at.remove(id);
                self.apply_release(id, *revision);
            }
            // The watch cache lags, or another controller has written the record. The next attempt uses the
            // record that the watch cache shows then.
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Failed(..) => {
                let until = now + NOT_EXECUTED_RETRY_INTERVAL;
                self.dependents.release_retry_at.insert(id.clone(), until);
            }
            TxnOutcome::Unknown => {}
        }
    }

    /// Queues a released job at once, before the watch stream shows its record.
    fn apply_release(&mut self, id: &JobId, revision: Revision) {
        let Some((_, record)) = self.released_record(id) else {
            return;
        };
        let group = self
            .cache
            .dependency_graph
            .placement_group_machines(id)
            .to_vec();
        self.cache.put_job(id.clone(), record, revision);
        self.prefer_machines(id, group);
        self.timers.schedule.request_now();
    }

    /// Puts the machines of the placement group that a job joins before the machines in its plan. At most
    /// [`PlanRecord::MAX_MACHINES`] are kept.
    fn prefer_machines(&mut self, id: &JobId, group: Vec<MachineId>) {
        let plan = self.cache.jobs.get_mut(id).and_then(|j| j.plan.as_mut());
        if let Some(plan) = plan.filter(|_| !group.is_empty()) {
            let planned_machines = std::mem::replace(&mut plan.machines, group);
            let other_machines = planned_machines
                .into_iter()
                .filter(|m| !plan.machines.contains(m));
            let more: Vec<MachineId> = other_machines.collect();
            plan.machines.extend(more);
            plan.machines.truncate(PlanRecord::MAX_MACHINES);
        }
    }

    /// Applies a job's state from a final record that was read, or written by this controller.
    pub(super) fn apply_job_outcome(&mut self, job: &JobId, state: JobState) {
        let outcome = match state {
            JobState::Done => JobOutcome::Done,
            JobState::Cancelled => JobOutcome::Cancelled,
            JobState::Queued | JobState::Running => return,
        };
        self.dependents.query_retry_at.remove(job);
        self.cache.record_job_outcome(job, outcome);
    }

    /// Cancels the remaining dependents of one cancelled job, which the controller that cancelled the job has
    /// not cancelled itself. Dependents of further cancelled jobs follow in later calls.
    fn propagate_cancellations(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let Some(cancelled) = self.cache.dependency_graph.cancelled().next() else {
            self.dependents.cancel_at = None;
            return;
        };
        if now
            < *self
                .dependents
                .cancel_at
                .get_or_insert(now + CANCELLER_GRACE_PERIOD)
        {
            return;
        }
        self.dependents.cancel_at = Some(now + NOT_EXECUTED_RETRY_INTERVAL);
        let ops = self.config.store_limits.txn_ops;
        if let Some((txn, jobs)) = cancel_dependents(cancelled, &self.cache, ops) {
            effects.push(Effect::Txn {
                requester: TxnRequester::CancelledDependents(jobs),
                class: RequestClass::Accept,
                txn,
            });
        }
    }

    /// Applies the committed cancellation of jobs that depend on a cancelled one.
    pub(crate) fn on_dependents_cancelled(&mut self, jobs: &[JobId], revision: Revision) {
        for job in jobs {
            self.cache.apply_cancellation(job, revision);
        }
        self.timers.schedule.request();
    }
}
