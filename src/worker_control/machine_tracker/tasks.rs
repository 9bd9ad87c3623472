//! What is certain about the tasks of a machine, and the commands for them.

use super::MachineTracker;
use super::launches::{CommandRoute, DirectLaunch};
use super::presence::TaskPresence;
use crate::ids::{Millis, MonotonicTime, TaskAttempt};
use crate::protocol::{Command, ExitReason, TaskState};

impl MachineTracker {
    /// What is certain about a placement. Only a heartbeat under our own token counts: no launch
    /// of an earlier shard owner can take effect after it.
    pub(in crate::worker_control) fn presence(&self, attempt: &TaskAttempt) -> TaskPresence {
        if !self.is_confirmed() {
            return TaskPresence::Unclear;
        }
        match self.observed.task(attempt) {
            Some(task) if task.state == TaskState::Exited => {
                TaskPresence::Exited(task.exit_reason.unwrap_or(ExitReason::Error))
            }
            Some(task) => TaskPresence::Alive(task.state),
            None => {
                let sequence = self.observed.heartbeat_sequence();
                self.launches.presence_of_unlisted(attempt, sequence)
            }
        }
    }

    /// Whether a placement is proved gone, and nothing that was sent can start it.
    pub(in crate::worker_control) fn is_gone(&self, attempt: &TaskAttempt) -> bool {
        let presence = self.presence(attempt);
        matches!(presence, TaskPresence::Absent | TaskPresence::Exited(_))
    }

    /// Whether the worker may forget an exited task: nothing that was sent can start it again.
    pub(in crate::worker_control) fn may_forget(&self, attempt: &TaskAttempt) -> bool {
        self.is_confirmed() && self.launches.allow_forgetting(attempt)
    }

    /// Exited tasks that only a higher token lets the worker forget.
    pub(in crate::worker_control) fn unforgettable_count(&self) -> usize {
        let exited = self.observed.exited();
        exited.filter(|attempt| !self.may_forget(attempt)).count()
    }

    /// How many tasks the worker lists.
    pub(in crate::worker_control) fn listed_count(&self) -> usize {
        self.observed.listed_count()
    }

    /// Tasks that the worker lists as exited.
    pub(in crate::worker_control) fn exited_tasks(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.exited()
    }

    /// Tasks that the worker lists and that have not exited.
    pub(in crate::worker_control) fn alive_tasks(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.alive()
    }

    /// Tasks that were seen running and are still listed.
    pub(in crate::worker_control) fn seen_running(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.seen_running()
    }

    /// When a listed task was first seen running.
    pub(in crate::worker_control) fn running_since(
        &self,
        attempt: &TaskAttempt,
    ) -> Option<MonotonicTime> {
        self.observed.running_since(attempt)
    }

    /// Notes that a launch is sent now.
    pub(in crate::worker_control) fn record_launch(
        &mut self,
        attempt: &TaskAttempt,
        route: CommandRoute,
    ) {
        let epoch = self.observed.epoch();
        let sequence = self.observed.heartbeat_sequence();
        self.launches.record(attempt, route, epoch, sequence);
    }

    /// Notes the outcome of direct launches. Those of an earlier token are not known any more.
    pub(in crate::worker_control) fn record_launch_outcomes(
        &mut self,
        commands: &[Command],
        direct: DirectLaunch,
    ) {
        self.launches.record_outcomes(commands, direct);
    }

    /// Whether a direct launch is in flight: its answer has not come yet.
    pub(in crate::worker_control) fn is_launch_pending(&self, attempt: &TaskAttempt) -> bool {
        self.launches.is_pending(attempt)
    }

    /// Whether a direct launch was left without an answer.
    pub(in crate::worker_control) fn is_launch_unanswered(&self, attempt: &TaskAttempt) -> bool {
        self.launches.is_unanswered(attempt)
    }

    /// Drops the launch of a task that the worker is told to forget.
    pub(in crate::worker_control) fn forget_launch(&mut self, attempt: &TaskAttempt) {
        self.launches.remove(attempt);
    }

    /// Adds a stop request; an earlier one for the same attempt stays as it is.
    pub(in crate::worker_control) fn request_stop(&mut self, attempt: TaskAttempt, grace: Millis) {
        self.stops.add(attempt, grace);
    }

    /// The grace time of a requested stop.
    pub(in crate::worker_control) fn stop_grace(&self, attempt: &TaskAttempt) -> Option<Millis> {
        self.stops.grace(attempt)
    }

    /// Whether a stop of the attempt is requested.
    pub(in crate::worker_control) fn is_stop_requested(&self, attempt: &TaskAttempt) -> bool {
        self.stops.contains(attempt)
    }

    /// Whether the command for a requested stop is due. If so it counts as sent now.
    pub(in crate::worker_control) fn send_stop_if_due(
        &mut self,
        attempt: &TaskAttempt,
        now: MonotonicTime,
    ) -> bool {
        self.stops.send_if_due(attempt, now)
    }

    /// The attempt's end is written: nothing more is to be done for it.
    pub(in crate::worker_control) fn on_end_written(&mut self, attempt: &TaskAttempt) {
        self.stops.remove(attempt);
        self.placements.forget_reported(attempt);
    }
}
