//! A worker on a machine: its tasks, its epoch and its heartbeats.

use crate::ids::{
    FencingToken, HeartbeatSequence, MonotonicTime, TaskAttempt, TaskId, WorkerEpoch,
};
use crate::protocol::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use std::collections::BTreeMap;

/// The minimum run time of a task, in ms.
const MIN_TASK_MS: u64 = 2000;
/// The run time added per task index, in ms.
const TASK_MS_PER_INDEX: u64 = 700;
/// The added time is taken modulo this value, in ms.
const MAX_ADDED_TASK_MS: u64 = 9000;

/// One task on a machine.
#[derive(Clone, Debug)]
pub(in crate::simulation) struct WorkerTask {
    /// The state that heartbeats report.
    pub state: TaskState,
    /// Why the task has exited; `None` until then.
    pub exit_reason: Option<ExitReason>,
    /// When a running array task or gang member is done, or a waiting gang member stops waiting.
    /// Services run until they are stopped.
    pub until: MonotonicTime,
}

/// A heartbeat that has no response yet.
#[derive(Clone, Copy)]
pub(in crate::simulation) struct AwaitedResponse {
    /// The ticket of the heartbeat, a number that the response repeats. Responses with another ticket
    /// are dropped.
    pub ticket: u64,
    /// When the heartbeat was sent.
    pub sent: MonotonicTime,
}

/// The state of a worker and the faults of its machine.
pub(in crate::simulation) struct Worker {
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The zone that the machine is in.
    pub zone: &'static str,
    /// A counter that rises each time the worker drops all tasks.
    pub epoch: WorkerEpoch,
    /// The sequence number of the last heartbeat.
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// The task attempts that heartbeats report. Exited ones are kept until a command tells the worker
    /// to forget them.
    pub tasks: BTreeMap<TaskAttempt, WorkerTask>,
    /// The exited attempts that the worker was told to forget, and the epoch in which it was told. The
    /// worker itself does not know them any more.
    pub forgotten: BTreeMap<TaskAttempt, WorkerEpoch>,
    /// The index of the controller that the worker sends heartbeats to.
    pub node: usize,
    /// When the last answered heartbeat was sent.
    pub last_answered_heartbeat: MonotonicTime,
    /// When the next heartbeat is due.
    pub next_heartbeat: MonotonicTime,
    /// The heartbeat that has no response yet.
    pub awaited_response: Option<AwaitedResponse>,
    /// Until when no messages reach or leave the machine.
    pub cut_until: MonotonicTime,
    /// Until when the process hangs.
    pub hang_until: MonotonicTime,
    /// Until when no messages reach the machine, while its heartbeats still get out.
    pub inbound_cut_until: MonotonicTime,
    /// Until when heartbeats reach no controller, while direct commands still arrive and are
    /// answered.
    pub outbound_cut_until: MonotonicTime,
    /// Whether the machine has not booted yet or has died.
    pub dead: bool,
}

impl Worker {
    /// Creates the worker of a machine that has not booted yet.
    pub(in crate::simulation) fn booting(
        spot: bool,
        zone: &'static str,
        node: usize,
        now: MonotonicTime,
    ) -> Self {
        Self {
            spot,
            zone,
            epoch: WorkerEpoch(1),
            sequence: HeartbeatSequence(0),
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            node,
            last_answered_heartbeat: now,
            next_heartbeat: now,
            awaited_response: None,
            cut_until: MonotonicTime(0),
            hang_until: MonotonicTime(0),
            inbound_cut_until: MonotonicTime(0),
            outbound_cut_until: MonotonicTime(0),
            dead: true,
        }
    }

    /// Returns until when no responses and commands reach the worker.
    pub(in crate::simulation) fn unreachable_until(&self) -> MonotonicTime {
        self.cut_until
            .max(self.hang_until)
            .max(self.inbound_cut_until)
    }

    /// Returns the number of running tasks.
    pub(in crate::simulation) fn running_tasks(&self) -> u64 {
        let running = |task: &&WorkerTask| task.state == TaskState::Running;
        self.tasks.values().filter(running).count() as u64
    }

    /// Switches to the next controller and schedules the next heartbeat at `at`.
    pub(in crate::simulation) fn try_next_node(
        &mut self,
        controller_count: usize,
        at: MonotonicTime,
    ) {
        self.node = (self.node + 1) % controller_count;
        self.next_heartbeat = at;
    }

    /// Returns the next heartbeat, with the state of all tasks.
    pub(in crate::simulation) fn heartbeat(&mut self, id: &str) -> Heartbeat {
        self.sequence.0 += 1;
        let tasks = self.tasks.iter().map(|(attempt, task)| TaskStatus {
            task: attempt.task.to_string(),
            attempt_number: attempt.number,
            state: task.state,
            exit_reason: task.exit_reason,
            saved: None,
        });
        Heartbeat {
            machine: id.into(),
            addr: format!("10.0.0.1:{}", 1000 + id.len()),
            type_name: "t8".into(),
            zone: self.zone.into(),
            spot: self.spot,
            epoch: self.epoch,
            sequence: self.sequence,
            token: self.token,
            until_interruption_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Forgets exited tasks although no controller has commanded it. This happens only in runs with
    /// `DisabledGuard::ExitedTasksForgottenOnReport`.
    pub(in crate::simulation) fn forget_exited(&mut self) {
        self.tasks.retain(|_, t| t.state != TaskState::Exited);
    }

    /// Executes commands and returns the launched attempts for the invariant checks.
    pub(in crate::simulation) fn execute(
        &mut self,
        now: MonotonicTime,
        commands: &[Command],
    ) -> Vec<TaskAttempt> {
        let mut launched = Vec::new();
        for command in commands {
            let attempt = command.attempt().clone();
            match command {
                Command::Launch(_) => launched.extend(self.launch(now, attempt)),
                Command::Stop(..) => self.stop(&attempt),
                Command::Forget(_) => self.forget(attempt),
            }
        }
        launched
    }

    /// Starts an attempt that the worker does not know yet. If another attempt of the same task is
    /// still live here, the new attempt exits at once.
    fn launch(&mut self, now: MonotonicTime, attempt: TaskAttempt) -> Option<TaskAttempt> {
        if self.tasks.contains_key(&attempt) {
            return None;
        }
        if self.has_live_attempt(&attempt.task) {
            let refused = WorkerTask {
                state: TaskState::Exited,
                exit_reason: Some(ExitReason::OtherAttemptPresent),
                until: now,
            };
            self.tasks.insert(attempt, refused);
            return None;
        }
        let added_ms = u64::from(attempt.task.index) * TASK_MS_PER_INDEX % MAX_ADDED_TASK_MS;
        let running = WorkerTask {
            state: TaskState::Running,
            exit_reason: None,
            until: MonotonicTime(now.0 + MIN_TASK_MS + added_ms),
        };
        self.tasks.insert(attempt.clone(), running);
        Some(attempt)
    }

    fn forget(&mut self, attempt: TaskAttempt) {
        let has_exited = |task: &WorkerTask| task.state == TaskState::Exited;
        if self.tasks.get(&attempt).is_some_and(has_exited) {
            self.tasks.remove(&attempt);
            self.forgotten.insert(attempt, self.epoch);
        }
    }

    fn has_live_attempt(&self, task: &TaskId) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|(other, t)| other.task == *task && t.state != TaskState::Exited)
    }

    fn stop(&mut self, attempt: &TaskAttempt) {
        if let Some(task) = self.tasks.get_mut(attempt)
            && task.state != TaskState::Exited
        {
            task.state = TaskState::Exited;
            task.exit_reason = Some(ExitReason::Stopped);
        }
    }
}
