//! The latest status that a machine has reported.

use crate::ids::{HeartbeatSequence, Millis, MonotonicTime, TaskAttempt, TaskId, WorkerEpoch};
use crate::protocol::{ExitReason, Heartbeat, TaskState};
use std::collections::BTreeMap;

/// The kind of message that carried a worker's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum StatusSource {
    /// A heartbeat: the worker has processed or dropped all earlier heartbeat responses.
    Heartbeat,
    /// The answer to a direct call: a heartbeat response may still be in flight.
    CallAnswer,
}

/// A task that the worker lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedTask {
    /// Its state as reported by the worker.
    pub(super) state: TaskState,
    /// Why it exited. Only exited tasks have a reason.
    pub(super) exit_reason: Option<ExitReason>,
}

/// The latest status of a machine.
#[derive(Debug)]
pub(super) struct ObservedState {
    addr: String,
    epoch: WorkerEpoch,
    /// Sequence number of the latest status, or 0 before the first one.
    sequence: HeartbeatSequence,
    /// Sequence number of the latest heartbeat. Answers to direct calls don't change it.
    heartbeat_sequence: HeartbeatSequence,
    /// When the machine will be interrupted, if its cloud provider has given notice.
    interruption_at: Option<MonotonicTime>,
    listed: BTreeMap<TaskAttempt, ListedTask>,
    /// When the listed tasks were first seen running.
    running_since: BTreeMap<TaskAttempt, MonotonicTime>,
}

impl ObservedState {
    /// Creates the state of a machine that has not reported a status yet.
    pub(super) fn new(addr: &str) -> Self {
        Self {
            addr: addr.to_owned(),
            epoch: WorkerEpoch(1),
            sequence: HeartbeatSequence(0),
            heartbeat_sequence: HeartbeatSequence(0),
            interruption_at: None,
            listed: BTreeMap::new(),
            running_since: BTreeMap::new(),
        }
    }

    /// Returns whether a status is newer than the latest one.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.epoch, heartbeat.sequence) > (self.epoch, self.sequence)
            || self.sequence == HeartbeatSequence(0)
    }

    /// Applies a status, which must be newer than the latest one. The caller calls
    /// [`Self::track_running`] afterwards.
    pub(super) fn apply(
        &mut self,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: MonotonicTime,
    ) {
        if heartbeat.epoch > self.epoch {
            // The worker's lease expired: it forgot all its tasks, and launches that were sent to
            // its earlier epoch are void.
            self.heartbeat_sequence = HeartbeatSequence(0);
            self.running_since.clear();
        }
        self.epoch = heartbeat.epoch;
        self.sequence = heartbeat.sequence;
        if source == StatusSource::Heartbeat {
            self.heartbeat_sequence = heartbeat.sequence;
        }
        self.addr.clone_from(&heartbeat.addr);
        self.interruption_at = heartbeat
            .until_interruption_s
            .map(|s| now + Millis::from_secs(s));
        self.listed = listed_tasks(heartbeat);
    }

    /// Records which tasks are running, and removes those that are no longer listed.
    pub(super) fn track_running(&mut self, now: MonotonicTime) {
        for (attempt, task) in &self.listed {
            if task.state == TaskState::Running && !self.running_since.contains_key(attempt) {
                self.running_since.insert(attempt.clone(), now);
            }
        }
        let listed = &self.listed;
        self.running_since
            .retain(|attempt, _| listed.contains_key(attempt));
    }

    /// Returns the address and port where the worker accepts direct calls.
    pub(super) fn addr(&self) -> &str {
        &self.addr
    }

    /// Returns the worker's epoch.
    pub(super) fn epoch(&self) -> WorkerEpoch {
        self.epoch
    }

    /// Returns the sequence number of the latest heartbeat, answers to direct calls excluded.
    pub(super) fn heartbeat_sequence(&self) -> HeartbeatSequence {
        self.heartbeat_sequence
    }

    /// Returns when the machine will be interrupted, if its cloud provider has given notice.
    pub(super) fn interruption_at(&self) -> Option<MonotonicTime> {
        self.interruption_at
    }

    /// Returns the reported state of one task, if the worker lists it.
    pub(super) fn task(&self, attempt: &TaskAttempt) -> Option<ListedTask> {
        self.listed.get(attempt).copied()
    }

    /// Returns whether the worker lists the task, running or exited.
    pub(super) fn lists(&self, attempt: &TaskAttempt) -> bool {
        self.listed.contains_key(attempt)
    }

    /// Returns all tasks that the worker lists.
    pub(super) fn listed(&self) -> impl Iterator<Item = (&TaskAttempt, &ListedTask)> {
        self.listed.iter()
    }

    /// Returns the number of tasks that the worker lists.
    pub(super) fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns the tasks that the worker lists as exited.
    pub(super) fn exited(&self) -> impl Iterator<Item = &TaskAttempt> {
        let exited = self
            .listed
            .iter()
            .filter(|(_, task)| task.state == TaskState::Exited);
        exited.map(|(attempt, _)| attempt)
    }

    /// Returns the listed tasks that have not exited.
    pub(super) fn alive(&self) -> impl Iterator<Item = &TaskAttempt> {
        let alive = self
            .listed
            .iter()
            .filter(|(_, task)| task.state != TaskState::Exited);
        alive.map(|(attempt, _)| attempt)
    }

    /// Returns the listed tasks that were seen running.
    pub(super) fn seen_running(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.running_since.keys()
    }

    /// Returns when a listed task was first seen running.
    pub(super) fn running_since(&self, attempt: &TaskAttempt) -> Option<MonotonicTime> {
        self.running_since.get(attempt).copied()
    }
}

/// Returns the tasks of a heartbeat. Tasks whose name can't be parsed are omitted.
fn listed_tasks(heartbeat: &Heartbeat) -> BTreeMap<TaskAttempt, ListedTask> {
    let tasks = heartbeat.tasks.iter().filter_map(|status| {
        let attempt = TaskAttempt {
            task: TaskId::parse(&status.task)?,
            number: status.attempt_number,
        };
        let task = ListedTask {
            state: status.state,
            exit_reason: status.exit_reason,
        };
        Some((attempt, task))
    });
    tasks.collect()
}
