//! Cancellation requests of users, retried through other controllers, and outages of the key-value
//! store.

use super::cluster::SimulatedCluster;
use super::events::{CancellationPoll, CascadeStepDue, ControllerProcess, SimulationEvent};
use super::guards::DisabledGuard;
use super::timing::{MEMBER_LEASE_MS, USER_RETRY_MS};
use super::topology::member_index;
use crate::api::dependencies::CancellationCascade;
use crate::ids::{JobId, Millis, Revision};
use crate::protocol::store::Txn;
use crate::protocol::{JobState, TaskState};
use crate::store::records::{FinalRecord, LeaderRecord};
use crate::store::{TxnOutcome, keys};

/// How long a controller waits until a cancellation is complete, and the interval at which it polls
/// for that, in ms.
const CANCELLATION_WAIT_MS: u64 = 900;
const POLL_INTERVAL_MS: u64 = 60;
/// How long a controller tries to cancel the dependents of a cancelled job before the user has to
/// retry, in ms.
const CASCADE_WAIT_MS: u64 = 600;

impl SimulatedCluster {
    /// Cancels a job for a user, unless a cancellation is already pending.
    pub(super) fn cancel(&mut self, id: &JobId) {
        if self.pending_cancellations.insert(id.clone()) {
            self.request_cancellation(id.clone());
        }
    }

    /// Handles a user's cancellation request on a random controller that can serve it, as the API
    /// does.
    pub(super) fn request_cancellation(&mut self, job: JobId) {
        let now = self.now;
        let can_serve = |n: &usize| {
            let node = &self.nodes[*n];
            let can_answer = node.store_cut_until <= now || node.final_records_seen.contains(&job);
            node.controller.is_some() && node.paused_until <= now && can_answer
        };
        let serving_nodes: Vec<usize> = (0..self.nodes.len()).filter(can_serve).collect();
        if serving_nodes.is_empty() {
            return self.retry_cancellation(job);
        }
        let node = serving_nodes[self.pick(0, serving_nodes.len() as u64 - 1) as usize];
        let Some(revision) = self.commit_cancellation(&job) else {
            self.pending_cancellations.remove(&job);
            return;
        };
        self.nodes[node].final_records_seen.insert(job.clone());
        if self.disabled_guard == DisabledGuard::CancellationConfirmedOnCommit {
            self.confirm_cancellation(&job);
            return;
        }
        let process = self.process(node);
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return;
        };
        let (round, effects) = controller.announce_cancellation(now, &job, revision, Millis(0));
        self.execute(node, effects);
        self.poll_cancellation(CancellationPoll {
            process,
            job,
            round,
            deadline: self.time_in(CANCELLATION_WAIT_MS),
        });
    }

    /// Schedules a retry of the user's cancellation request.
    pub(super) fn retry_cancellation(&mut self, job: JobId) {
        self.schedule_in(USER_RETRY_MS, SimulationEvent::RequestCancellation(job));
    }

    /// Writes the cancellation unless the job has a final state. Returns the revision of the
    /// cancellation, or `None` if the job is done, unknown, or the write failed.
    fn commit_cancellation(&mut self, job: &JobId) -> Option<Revision> {
        let final_key = keys::final_state(job);
        if let Some(record) = self.store.read::<FinalRecord>(&final_key) {
            let cancelled = record.state == JobState::Cancelled;
            return self.store.revision_of(&final_key).filter(|_| cancelled);
        }
        let revision = self.store.revision_of(&keys::job(job))?;
        let mut txn = Txn::default();
        txn.require(keys::job(job), revision);
        let record = FinalRecord {
            state: JobState::Cancelled,
            tasks: self.jobs[job].tasks,
        };
        txn.put(keys::final_state(job), &record, None);
        txn.delete(keys::job(job));
        // This counts as an occurrence of the fault only if the key-value store refuses exactly one
        // controller and that controller receives heartbeats from a machine with a task of the job.
        if self
            .only_refused_node()
            .is_some_and(|node| self.receives_heartbeats_for_job(node, job))
        {
            self.observed.fault_occurrences += 1;
        }
        let outcome = self.write_as_user(txn);
        self.check_final_states();
        match outcome {
            TxnOutcome::Committed(revision) => Some(revision),
            _ => None,
        }
    }

    /// Begins to cancel dependents once the cancellation is complete: the job's tasks are proved to
    /// be gone, or the cancellation timeout has passed and the shard owners know of the cancellation.
    /// After the deadline, the user retries.
    pub(super) fn poll_cancellation(&mut self, poll: CancellationPoll) {
        let now = self.now;
        let ControllerProcess { node, generation } = poll.process;
        let Some(controller) = self.nodes[node].process(generation) else {
            return self.retry_cancellation(poll.job);
        };
        if controller.is_cancellation_complete(now, poll.round) {
            controller.close_cancellation_round(poll.round);
            self.begin_cascade(poll.process, poll.job);
        } else if now < poll.deadline {
            let effects = controller.send_cancellation(now, poll.round);
            self.execute(node, effects);
            self.schedule_in(POLL_INTERVAL_MS, SimulationEvent::CancellationPoll(poll));
        } else {
            controller.close_cancellation_round(poll.round);
            self.retry_cancellation(poll.job);
        }
    }

    fn begin_cascade(&mut self, process: ControllerProcess, job: JobId) {
        let Some(revision) = self.store.revision_of(&keys::final_state(&job)) else {
            return;
        };
        self.step_cascade(CascadeStepDue {
            process,
            cascade: CancellationCascade::new(&job, revision),
            job,
            deadline: self.time_in(CASCADE_WAIT_MS),
        });
    }

    /// Records that the user was told that the job is cancelled.
    pub(super) fn confirm_cancellation(&mut self, job: &JobId) {
        self.pending_cancellations.remove(job);
        self.confirmed_cancellations
            .entry(job.clone())
            .or_insert(self.now);
    }

    /// Returns the controller that the key-value store refuses, if it is the only one.
    fn only_refused_node(&self) -> Option<usize> {
        let refused = |n: &usize| self.nodes[*n].store_cut_until > self.now;
        let refused: Vec<usize> = (0..self.nodes.len()).filter(refused).collect();
        match refused[..] {
            [node] => Some(node),
            _ => None,
        }
    }

    /// Returns whether a machine that sends heartbeats to this controller has a task of the job
    /// that has not exited.
    fn receives_heartbeats_for_job(&self, node: usize, job: &JobId) -> bool {
        let mut workers = self.workers.values().filter(|w| !w.dead && w.node == node);
        workers.any(|w| {
            let mut tasks = w.tasks.iter();
            tasks.any(|(attempt, t)| attempt.task.job == *job && t.state != TaskState::Exited)
        })
    }

    /// Returns the leader according to its record in the key-value store.
    pub(super) fn leader(&self) -> Option<usize> {
        let record = self.store.read::<LeaderRecord>(keys::LEADER)?;
        member_index(record.member.as_str())
    }

    /// Ends the outage, unless another one has begun in the meantime.
    pub(super) fn on_store_outage_end(&mut self) {
        if self.active_faults.store_outage_until <= self.now {
            self.end_store_outage();
        }
    }

    /// Ends the outage of the key-value store and extends all leases to their full duration.
    pub(super) fn end_store_outage(&mut self) {
        self.active_faults.store_outage_until = self.now;
        let until = self.time_in(MEMBER_LEASE_MS);
        for end in self.store.leases.values_mut() {
            *end = until;
        }
    }

    /// Cancels all jobs that have running tasks.
    pub(super) fn cancel_running(&mut self) {
        let attempts = self.workers.values().flat_map(|w| w.tasks.iter());
        let running = attempts.filter(|(_, t)| t.state == TaskState::Running);
        let mut jobs: Vec<JobId> = running
            .map(|(attempt, _)| attempt.task.job.clone())
            .collect();
        jobs.sort();
        jobs.dedup();
        for job in jobs {
            self.cancel(&job);
        }
    }
}
