//! Launch commands whose effect on a worker is not settled yet.

use super::presence::TaskPresence;
use crate::ids::{HeartbeatSequence, TaskAttempt, WorkerEpoch};
use crate::protocol::Command;
use std::collections::BTreeMap;

/// How commands are sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum CommandRoute {
    /// In the response to a heartbeat. Workers drop late responses.
    HeartbeatResponse,
    /// By direct command, which may be carried out late or more than once.
    DirectCall,
}

/// How a launch was sent by direct command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::worker_control) enum DirectLaunch {
    /// Not sent, or certainly not carried out.
    No,
    /// Sent; the answer is awaited.
    Pending,
    /// Answered: it was carried out then. A repeat has no effect while the worker lists the task.
    Answered,
    /// No answer: it may be carried out minutes late, even after the task was forgotten.
    Unknown,
}

/// A launch that was sent under the tracker's own token.
#[derive(Clone, Copy, Debug)]
struct LaunchRecord {
    /// The worker's epoch when it was sent last.
    epoch: WorkerEpoch,
    /// What became of direct commands with it.
    direct: DirectLaunch,
    /// The heartbeat in whose response it was sent last. Workers drop late responses, and send
    /// their next heartbeat only after that, so a later heartbeat tells what became of it.
    in_response: Option<HeartbeatSequence>,
}

/// The launches that were sent to one machine under its current token.
#[derive(Debug, Default)]
pub(super) struct Launches {
    sent: BTreeMap<TaskAttempt, LaunchRecord>,
}

impl Launches {
    /// Notes that a launch is sent now.
    pub(super) fn record(
        &mut self,
        attempt: &TaskAttempt,
        route: CommandRoute,
        epoch: WorkerEpoch,
        heartbeat_sequence: HeartbeatSequence,
    ) {
        let launch = self.sent.entry(attempt.clone()).or_insert(LaunchRecord {
            epoch,
            direct: DirectLaunch::No,
            in_response: None,
        });
        launch.epoch = epoch;
        match route {
            CommandRoute::HeartbeatResponse => launch.in_response = Some(heartbeat_sequence),
            // An earlier one without an answer stays unanswered, whatever becomes of this one.
            CommandRoute::DirectCall if launch.direct == DirectLaunch::Unknown => {}
            CommandRoute::DirectCall => launch.direct = DirectLaunch::Pending,
        }
    }

    /// Notes the outcome of direct launches. Those of an earlier token are not known any more.
    pub(super) fn record_outcomes(&mut self, commands: &[Command], direct: DirectLaunch) {
        for command in commands {
            if let Command::Launch(attempt) = command
                && let Some(launch) = self.sent.get_mut(attempt)
                && launch.direct == DirectLaunch::Pending
            {
                launch.direct = direct;
                if direct == DirectLaunch::No && launch.in_response.is_none() {
                    self.sent.remove(attempt);
                }
            }
        }
    }

    /// Drops all launches: none of them can take effect any more.
    pub(super) fn clear(&mut self) {
        self.sent.clear();
    }

    /// Drops launches that were sent to earlier epochs of the worker.
    pub(super) fn drop_before(&mut self, epoch: WorkerEpoch) {
        self.sent.retain(|_, launch| launch.epoch >= epoch);
    }

    /// Drops one launch, whose task the worker is told to forget.
    pub(super) fn remove(&mut self, attempt: &TaskAttempt) {
        self.sent.remove(attempt);
    }

    /// Whether a launch of the attempt was sent.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.sent.contains_key(attempt)
    }

    /// Whether a direct launch is in flight: its answer has not come yet.
    pub(super) fn is_pending(&self, attempt: &TaskAttempt) -> bool {
        self.direct(attempt) == DirectLaunch::Pending
    }

    /// Whether a direct launch was left without an answer.
    pub(super) fn is_unanswered(&self, attempt: &TaskAttempt) -> bool {
        self.direct(attempt) == DirectLaunch::Unknown
    }

    /// Whether no direct launch could start the task once more after it was forgotten: one
    /// without an answer comes late, one that was carried out may be repeated. Launches in
    /// responses can't: workers drop late ones.
    pub(super) fn allow_forgetting(&self, attempt: &TaskAttempt) -> bool {
        self.direct(attempt) == DirectLaunch::No
    }

    /// What is certain of an attempt that the worker does not list.
    pub(super) fn presence_of_unlisted(
        &self,
        attempt: &TaskAttempt,
        heartbeat_sequence: HeartbeatSequence,
    ) -> TaskPresence {
        let Some(launch) = self.sent.get(attempt) else {
            return TaskPresence::Absent;
        };
        match launch.direct {
            DirectLaunch::Pending | DirectLaunch::Unknown => TaskPresence::MayAppear,
            DirectLaunch::No | DirectLaunch::Answered => {
                let settled = launch
                    .in_response
                    .is_none_or(|sequence| heartbeat_sequence > sequence);
                if settled {
                    TaskPresence::Absent
                } else {
                    TaskPresence::Unclear
                }
            }
        }
    }

    fn direct(&self, attempt: &TaskAttempt) -> DirectLaunch {
        self.sent
            .get(attempt)
            .map_or(DirectLaunch::No, |launch| launch.direct)
    }
}
