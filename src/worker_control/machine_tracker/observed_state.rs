//! What the latest heartbeat of a machine says.

use crate::ids::{HeartbeatSequence, Millis, MonotonicTime, TaskAttempt, TaskId, WorkerEpoch};
use crate::protocol::{ExitReason, Heartbeat, TaskState};
use std::collections::BTreeMap;

/// How a status message of a worker came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum StatusSource {
    /// A heartbeat: the worker has dealt with all earlier responses.
    Heartbeat,
    /// The answer to a direct command: a response to a heartbeat may still be on its way.
    CallAnswer,
}

/// A task that the worker lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedTask {
    /// Its state at the worker.
    pub(super) state: TaskState,
    /// Why it ended; only exited tasks have one.
    pub(super) exit_reason: Option<ExitReason>,
}

/// The newest status of a machine.
#[derive(Debug)]
pub(super) struct ObservedState {
    addr: String,
    epoch: WorkerEpoch,
    /// Sequence of the newest status; 0: none came yet.
    sequence: HeartbeatSequence,
    /// Sequence of the newest heartbeat, answers to direct commands left out.
    heartbeat_sequence: HeartbeatSequence,
    /// When the machine will be interrupted, if its cloud has given notice.
    notice: Option<MonotonicTime>,
    listed: BTreeMap<TaskAttempt, ListedTask>,
    /// When listed tasks were first seen running.
    running_since: BTreeMap<TaskAttempt, MonotonicTime>,
}

impl ObservedState {
    /// A machine from which nothing came yet.
    pub(super) fn new(addr: &str) -> Self {
        Self {
            addr: addr.to_owned(),
            epoch: WorkerEpoch(1),
            sequence: HeartbeatSequence(0),
            heartbeat_sequence: HeartbeatSequence(0),
            notice: None,
            listed: BTreeMap::new(),
            running_since: BTreeMap::new(),
        }
    }

    /// Whether a status is newer than the newest that came.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.epoch, heartbeat.sequence) > (self.epoch, self.sequence)
            || self.sequence == HeartbeatSequence(0)
    }

    /// Takes over a status, which must be the newest. [`Self::track_running`] comes after it.
    pub(super) fn apply(
        &mut self,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: MonotonicTime,
    ) {
        if heartbeat.epoch > self.epoch {
            // The worker's lease ran out: it forgot all its tasks, and starts that were sent to
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
        self.notice = heartbeat
            .until_interruption_s
            .map(|s| now + Millis::from_secs(s));
        self.listed = listed_tasks(heartbeat);
    }

    /// Notes which tasks run now, and drops those that are no longer listed.
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

    /// Where the worker takes direct commands.
    pub(super) fn addr(&self) -> &str {
        &self.addr
    }

    /// The worker's epoch.
    pub(super) fn epoch(&self) -> WorkerEpoch {
        self.epoch
    }

    /// Sequence of the newest heartbeat, answers to direct commands left out.
    pub(super) fn heartbeat_sequence(&self) -> HeartbeatSequence {
        self.heartbeat_sequence
    }

    /// When the machine will be interrupted, if its cloud has given notice.
    pub(super) fn notice(&self) -> Option<MonotonicTime> {
        self.notice
    }

    /// What the worker says of one task, if it lists it.
    pub(super) fn task(&self, attempt: &TaskAttempt) -> Option<ListedTask> {
        self.listed.get(attempt).copied()
    }

    /// Whether the worker lists the task, running or exited.
    pub(super) fn lists(&self, attempt: &TaskAttempt) -> bool {
        self.listed.contains_key(attempt)
    }

    /// All tasks that the worker lists.
    pub(super) fn listed(&self) -> impl Iterator<Item = (&TaskAttempt, &ListedTask)> {
        self.listed.iter()
    }

    /// How many tasks the worker lists.
    pub(super) fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Tasks that the worker lists as exited.
    pub(super) fn exited(&self) -> impl Iterator<Item = &TaskAttempt> {
        let exited = self
            .listed
            .iter()
            .filter(|(_, task)| task.state == TaskState::Exited);
        exited.map(|(attempt, _)| attempt)
    }

    /// Tasks that the worker lists and that have not exited.
    pub(super) fn alive(&self) -> impl Iterator<Item = &TaskAttempt> {
        let alive = self
            .listed
            .iter()
            .filter(|(_, task)| task.state != TaskState::Exited);
        alive.map(|(attempt, _)| attempt)
    }

    /// Tasks that were seen running and are still listed.
    pub(super) fn seen_running(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.running_since.keys()
    }

    /// When a listed task was first seen running.
    pub(super) fn running_since(&self, attempt: &TaskAttempt) -> Option<MonotonicTime> {
        self.running_since.get(attempt).copied()
    }
}

/// The tasks of a heartbeat; those whose name can't be read are left out.
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
