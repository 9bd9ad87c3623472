//! The presence of tasks on a machine, and the state of the commands for them.

use super::MachineTracker;
use super::launches::{CommandRoute, DirectLaunch};
use super::presence::TaskPresence;
use crate::ids::{Millis, MonotonicTime, TaskAttempt};
use crate::protocol::{Command, ExitReason, TaskState};

impl MachineTracker {
    /// Returns what is proved about the presence of an attempt. Only a status under the current
    /// token is proof: after it no launch of an earlier shard owner can take effect.
    pub(in crate::worker_control) fn presence(&self, attempt: &TaskAttempt) -> TaskPresence {
        if !self.is_confirmed() {
            return TaskPresence::Unknown;
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

    /// Returns whether an attempt is proved gone and no command that was sent can start it.
    pub(in crate::worker_control) fn is_gone(&self, attempt: &TaskAttempt) -> bool {
        let presence = self.presence(attempt);
        matches!(presence, TaskPresence::Absent | TaskPresence::Exited(_))
    }

    /// Returns whether the worker may forget an exited task: the machine obeys the current token,
    /// and no launch that was sent can start the task again.
    pub(in crate::worker_control) fn may_forget(&self, attempt: &TaskAttempt) -> bool {
        self.is_confirmed() && self.launches.allows_forgetting(attempt)
    }

    /// Returns the number of exited tasks that the worker may only forget after the token was
    /// raised.
    pub(in crate::worker_control) fn retained_exited_count(&self) -> usize {
        let exited = self.observed.exited();
        exited.filter(|attempt| !self.may_forget(attempt)).count()
    }

    /// Returns the number of tasks that the worker lists.
    pub(in crate::worker_control) fn listed_count(&self) -> usize {
        self.observed.listed_count()
    }

    /// Returns the tasks that the worker lists as exited.
    pub(in crate::worker_control) fn exited_tasks(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.exited()
    }

    /// Returns the listed tasks that have not exited.
    pub(in crate::worker_control) fn alive_tasks(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.alive()
    }

    /// Returns the listed tasks that were seen running.
    pub(in crate::worker_control) fn seen_running(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.observed.seen_running()
    }

    /// Returns when a listed task was first seen running.
    pub(in crate::worker_control) fn running_since(
        &self,
        attempt: &TaskAttempt,
    ) -> Option<MonotonicTime> {
        self.observed.running_since(attempt)
    }

    /// Records that a launch is sent.
    pub(in crate::worker_control) fn record_launch(
        &mut self,
        attempt: &TaskAttempt,
        route: CommandRoute,
    ) {
        let epoch = self.observed.epoch();
        let sequence = self.observed.heartbeat_sequence();
        self.launches.record(attempt, route, epoch, sequence);
    }

    /// Records the outcome of direct launches. Launches under an earlier token are no longer
    /// tracked and are skipped.
    pub(in crate::worker_control) fn record_launch_outcomes(
        &mut self,
        commands: &[Command],
        direct: DirectLaunch,
    ) {
        self.launches.record_outcomes(commands, direct);
    }

    /// Returns whether a direct launch of the attempt is in flight.
    pub(in crate::worker_control) fn is_launch_pending(&self, attempt: &TaskAttempt) -> bool {
        self.launches.is_pending(attempt)
    }

    /// Returns whether a direct launch of the attempt ended without an answer.
    pub(in crate::worker_control) fn is_launch_unanswered(&self, attempt: &TaskAttempt) -> bool {
        self.launches.is_unanswered(attempt)
    }

    /// Removes the launch of a task that the worker is told to forget.
    pub(in crate::worker_control) fn forget_launch(&mut self, attempt: &TaskAttempt) {
        self.launches.remove(attempt);
    }

    /// Adds a stop request. An earlier request for the same attempt is kept.
    pub(in crate::worker_control) fn request_stop(&mut self, attempt: TaskAttempt, grace: Millis) {
        self.stops.add(attempt, grace);
    }

    /// Returns the grace period of a requested stop.
    pub(in crate::worker_control) fn stop_grace(&self, attempt: &TaskAttempt) -> Option<Millis> {
        self.stops.grace(attempt)
    }

    /// Returns whether a stop of the attempt is requested.
    pub(in crate::worker_control) fn is_stop_requested(&self, attempt: &TaskAttempt) -> bool {
        self.stops.contains(attempt)
    }

    /// Returns whether the command for a requested stop is due. If so, records it as sent.
    pub(in crate::worker_control) fn send_stop_if_due(
        &mut self,
        attempt: &TaskAttempt,
        now: MonotonicTime,
    ) -> bool {
        self.stops.send_if_due(attempt, now)
    }

    /// Removes the remaining state of an attempt whose end is written.
    pub(in crate::worker_control) fn on_end_written(&mut self, attempt: &TaskAttempt) {
        self.stops.remove(attempt);
        self.placements.forget_reported(attempt);
    }
}
