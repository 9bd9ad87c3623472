//! Launch commands whose effect on a worker is not settled yet.

use super::presence::TaskPresence;
use crate::ids::{HeartbeatSequence, TaskAttempt, WorkerEpoch};
use crate::protocol::Command;
use std::collections::BTreeMap;

/// The route on which commands are sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum CommandRoute {
    /// In the response to a heartbeat. Workers drop late responses.
    HeartbeatResponse,
    /// In a direct call, which may be executed late or more than once.
    DirectCall,
}

/// The state of the direct calls that carry a launch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum DirectLaunch {
    /// Not sent by direct call, or known not to be executed.
    NotExecuted,
    /// Sent; the answer has not arrived yet.
    Pending,
    /// Answered: the launch was executed. A repeated copy has no effect while the worker lists the
    /// task.
    Answered,
    /// No answer arrived: the launch may be executed minutes late, even after the worker has
    /// forgotten the task.
    Unknown,
}

/// A launch that was sent under the tracker's current token.
#[derive(Clone, Copy, Debug)]
struct LaunchRecord {
    /// The worker's epoch when the launch was last sent.
    epoch: WorkerEpoch,
    /// The state of its direct calls.
    direct: DirectLaunch,
    /// Sequence number of the heartbeat whose response last carried the launch. Workers drop late
    /// responses and send the next heartbeat only after the response or its timeout, so a later
    /// heartbeat shows whether the launch was executed.
    in_response: Option<HeartbeatSequence>,
}

/// The unsettled launches that were sent to one machine under its current token.
#[derive(Debug, Default)]
pub(super) struct Launches {
    sent: BTreeMap<TaskAttempt, LaunchRecord>,
}

impl Launches {
    /// Records that a launch is sent.
    pub(super) fn record(
        &mut self,
        attempt: &TaskAttempt,
        route: CommandRoute,
        epoch: WorkerEpoch,
        heartbeat_sequence: HeartbeatSequence,
    ) {
        let launch = self.sent.entry(attempt.clone()).or_insert(LaunchRecord {
            epoch,
            direct: DirectLaunch::NotExecuted,
            in_response: None,
        });
        launch.epoch = epoch;
        match route {
            CommandRoute::HeartbeatResponse => launch.in_response = Some(heartbeat_sequence),
            // An earlier direct launch without an answer remains unanswered, whatever the outcome
            // of this one.
            CommandRoute::DirectCall if launch.direct == DirectLaunch::Unknown => {}
            CommandRoute::DirectCall => launch.direct = DirectLaunch::Pending,
        }
    }

    /// Records the outcome of direct launches. Launches under an earlier token are no longer
    /// tracked and are skipped.
    pub(super) fn record_outcomes(&mut self, commands: &[Command], direct: DirectLaunch) {
        for command in commands {
            if let Command::Launch(attempt) = command
                && let Some(launch) = self.sent.get_mut(attempt)
                && launch.direct == DirectLaunch::Pending
            {
                launch.direct = direct;
                if direct == DirectLaunch::NotExecuted && launch.in_response.is_none() {
                    self.sent.remove(attempt);
                }
            }
        }
    }

    /// Removes all launches, none of which can take effect any more.
    pub(super) fn clear(&mut self) {
        self.sent.clear();
    }

    /// Removes launches that were sent to earlier epochs of the worker.
    pub(super) fn remove_before_epoch(&mut self, epoch: WorkerEpoch) {
        self.sent.retain(|_, launch| launch.epoch >= epoch);
    }

    /// Removes the launch of a task that the worker is told to forget.
    pub(super) fn remove(&mut self, attempt: &TaskAttempt) {
        self.sent.remove(attempt);
    }

    /// Returns whether a launch of the attempt is recorded.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.sent.contains_key(attempt)
    }

    /// Returns whether a direct launch of the attempt is in flight.
    pub(super) fn is_pending(&self, attempt: &TaskAttempt) -> bool {
        self.direct_launch(attempt) == DirectLaunch::Pending
    }

    /// Returns whether a direct launch of the attempt ended without an answer.
    pub(super) fn is_unanswered(&self, attempt: &TaskAttempt) -> bool {
        self.direct_launch(attempt) == DirectLaunch::Unknown
    }

    /// Returns whether no direct launch could start the task again after it was forgotten. A direct
    /// launch without an answer may arrive late, and one that was executed may be repeated.
    /// Launches in heartbeat responses can't, because workers drop late responses.
    pub(super) fn allows_forgetting(&self, attempt: &TaskAttempt) -> bool {
        self.direct_launch(attempt) == DirectLaunch::NotExecuted
    }

    /// Returns the presence of an attempt that the worker does not list.
    pub(super) fn presence_of_unlisted(
        &self,
        attempt: &TaskAttempt,
        heartbeat_sequence: HeartbeatSequence,
    ) -> TaskPresence {
        let Some(launch) = self.sent.get(attempt) else {
            return TaskPresence::Absent;
        };
        match launch.direct {
            DirectLaunch::Pending | DirectLaunch::Unknown => TaskPresence::MayStart,
            DirectLaunch::NotExecuted | DirectLaunch::Answered => {
                let settled = launch
                    .in_response
                    .is_none_or(|sequence| heartbeat_sequence > sequence);
                if settled {
                    TaskPresence::Absent
                } else {
                    TaskPresence::Unknown
                }
            }
        }
    }

    fn direct_launch(&self, attempt: &TaskAttempt) -> DirectLaunch {
        self.sent
            .get(attempt)
            .map_or(DirectLaunch::NotExecuted, |launch| launch.direct)
    }
}
