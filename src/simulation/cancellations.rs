//! Users who cancel, through one controller and then another, and the key-value store that refuses
//! the leader alone just then.

use super::cluster::{
    CANCELLATION_LIMIT_MS, DisabledGuard, MEMBERS, SimulatedCluster, SimulationEvent,
};
use crate::api::dependencies::CancellationCascade;
use crate::cancellation::RoundId;
use crate::ids::{JobId, Millis, MonotonicTime, Revision};
use crate::protocol::store::Txn;
use crate::protocol::{JobState, TaskState};
use crate::store::records::{FinalRecord, LeaderRecord};
use crate::store::{TxnOutcome, keys};

/// How long a controller waits until the tasks are gone, and how often it asks.
const CANCELLATION_WAIT_MS: u64 = 900;
const POLL_INTERVAL: u64 = 60;
/// How long a controller takes to cancel what needs a cancelled job.
const CASCADE_WAIT_MS: u64 = 600;
/// Users repeat what was not answered.
const USER_RETRY_MS: u64 = 1000;

impl SimulatedCluster {
    pub(super) fn cancel(&mut self, id: &JobId) {
        if self.cancelling.insert(id.clone()) {
            self.request_cancellation(id.clone());
        }
    }

    /// What the intake does with one request.
    pub(super) fn request_cancellation(&mut self, job: JobId) {
        let now = self.now;
        let able = |n: &usize| {
            let node = &self.nodes[*n];
            let served = node.store_cut_until <= now || node.final_records_seen.contains(&job);
            node.controller.is_some() && node.frozen_until <= now && served
        };
        let able: Vec<usize> = (0..self.nodes.len()).filter(able).collect();
        if able.is_empty() {
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Cancel(job));
            return;
        }
        let node = able[self.pick(0, able.len() as u64 - 1) as usize];
        let Some(revision) = self.commit_cancellation(&job) else {
            self.cancelling.remove(&job);
            return;
        };
        self.nodes[node].final_records_seen.insert(job.clone());
        if self.disabled_guard == DisabledGuard::CancellationConfirmedAtOnce {
            self.confirm(&job);
            return;
        }
        let generation = self.nodes[node].generation;
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return;
        };
        let (round, effects) = controller.announce_cancellation(now, &job, revision, Millis(0));
        self.execute(node, effects);
        let until = MonotonicTime(now.0 + CANCELLATION_WAIT_MS);
        self.poll_cancellation(node, generation, job, round, until);
    }

    /// The change that cancelled the job, now or before. `None`: it is done, or unknown.
    fn commit_cancellation(&mut self, job: &JobId) -> Option<Revision> {
        if let Some((value, revision, _)) = self.store.keys.get(&keys::final_state(job)) {
            let record: FinalRecord = serde_json::from_value(value.clone()).expect("record");
            return (record.state == JobState::Cancelled).then_some(*revision);
        }
        let revision = self.store.keys.get(&keys::job(job))?.1;
        let mut txn = Txn::default();
        txn.require(keys::job(job), revision);
        let record = FinalRecord {
            state: JobState::Cancelled,
            tasks: self.jobs[job].tasks,
        };
        txn.put(keys::final_state(job), &record, None);
        txn.delete(keys::job(job));
        // The meeting takes place where the controller that the key-value store refuses holds a
        // machine with the job on it.
        if self
            .refused_alone()
            .is_some_and(|node| self.serves_job(node, job))
        {
            self.faults_met += 1;
        }
        let outcome = self.write_as_user(txn);
        self.check_final_states();
        match outcome {
            TxnOutcome::Committed(revision) => Some(revision),
            _ => None,
        }
    }

    pub(super) fn poll_cancellation(
        &mut self,
        node: usize,
        generation: u64,
        job: JobId,
        round: RoundId,
        until: MonotonicTime,
    ) {
        let now = self.now;
        let asked = &mut self.nodes[node];
        let controller = asked
            .controller
            .as_mut()
            .filter(|_| asked.generation == generation);
        let Some(controller) = controller else {
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Cancel(job));
            return;
        };
        if controller.is_settled(now, round) {
            controller.close_round(round);
            self.begin_cascade(node, generation, job);
        } else if self.now < until {
            let effects = controller.ask_round(now, round);
            self.execute(node, effects);
            self.schedule_in(
                POLL_INTERVAL,
                SimulationEvent::Told(node, generation, job, round, until),
            );
        } else {
            controller.close_round(round);
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Cancel(job));
        }
    }

    fn begin_cascade(&mut self, node: usize, generation: u64, job: JobId) {
        let Some((_, revision, _)) = self.store.keys.get(&keys::final_state(&job)) else {
            return;
        };
        let cascade = CancellationCascade::new(&job, *revision);
        let until = MonotonicTime(self.now.0 + CASCADE_WAIT_MS);
        self.cascade(node, generation, job, cascade, until);
    }

    pub(super) fn confirm(&mut self, job: &JobId) {
        self.cancelling.remove(job);
        self.cancelled.entry(job.clone()).or_insert(self.now);
    }

    fn refused_alone(&self) -> Option<usize> {
        let refused = |n: &usize| self.nodes[*n].store_cut_until > self.now;
        let refused: Vec<usize> = (0..self.nodes.len()).filter(refused).collect();
        match refused[..] {
            [node] => Some(node),
            _ => None,
        }
    }

    /// Whether a task of the job is on a machine that sends heartbeats to this controller.
    fn serves_job(&self, node: usize, job: &JobId) -> bool {
        let mut workers = self.workers.values().filter(|w| !w.dead && w.node == node);
        workers.any(|w| {
            let mut tasks = w.tasks.iter();
            tasks.any(|(attempt, t)| attempt.task.job == *job && t.state != TaskState::Exited)
        })
    }

    /// The key-value store refuses the leader; users cancel what runs; a moment later it is out for
    /// everybody, before the leader's lease has run out. Now and then a controller ends as well,
    /// the links are cut, or machines hang.
    pub(super) fn begin_refusal_then_outage(&mut self) {
        let Some(leader) = self.leader() else { return };
        let gap = self.pick(300, 4000);
        let outage = self.pick(CANCELLATION_LIMIT_MS, 2 * CANCELLATION_LIMIT_MS);
        self.nodes[leader].store_cut_until = MonotonicTime(self.now.0 + gap);
        let before = self.pick(50, gap);
        self.schedule_in(before, SimulationEvent::CancelRunning);
        self.schedule_in(gap, SimulationEvent::Outage(outage));
        match self.pick(0, 5) {
            0 => {
                let until = MonotonicTime(self.now.0 + self.pick(500, gap + outage));
                self.nodes[leader].peers_cut_until = until;
            }
            1 => self.schedule_in(before + 100, SimulationEvent::Flap),
            2 => {
                let ms = self.pick(CANCELLATION_LIMIT_MS, 2 * CANCELLATION_LIMIT_MS);
                let until = MonotonicTime(self.now.0 + before + ms);
                for worker in self.workers.values_mut().step_by(3) {
                    worker.hang_until = until;
                }
            }
            _ => {}
        }
    }

    /// Who leads by the key-value store's record.
    pub(super) fn leader(&self) -> Option<usize> {
        let (value, ..) = self.store.keys.get(keys::LEADER)?;
        let record: LeaderRecord = serde_json::from_value(value.clone()).ok()?;
        let mut members = MEMBERS.iter();
        members.position(|m| *m == record.member.as_str())
    }

    pub(super) fn begin_outage(&mut self, ms: u64) {
        let until = MonotonicTime(self.now.0 + ms);
        self.outage_until = until;
        for node in &mut self.nodes {
            node.store_cut_until = until;
        }
        self.schedule_in(ms, SimulationEvent::OutageEnds);
    }

    /// All leases have their full time again.
    pub(super) fn end_outage(&mut self) {
        self.outage_until = self.now;
        let until = MonotonicTime(self.now.0 + 5000);
        for end in self.store.leases.values_mut() {
            *end = until;
        }
    }

    /// Whatever runs and would go on for long.
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
