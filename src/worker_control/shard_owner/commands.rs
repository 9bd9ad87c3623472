//! Commands to workers, sent in heartbeat responses and by direct call.

use super::calls::CALL_RETRY_DELAY;
use super::{DirectCall, Effect, SentCall, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::protocol::{Command, TaskState};
use crate::store::watch_cache::{LiveMachine, WatchCache};
use crate::worker_control::machine_tracker::{CommandRoute, MachineTracker, TaskPresence};

/// Maximum number of commands in one message; the others follow in later messages. Only stop
/// commands for tasks without a placement may exceed it.
const MAX_COMMANDS_PER_MESSAGE: usize = 200;
/// Maximum number of exited tasks that a worker keeps listing so that a repeated direct launch does
/// not start them again. Beyond it, and once no placement is pending, the machine's token is
/// raised. This makes the direct launches void, so that the worker can forget the tasks. A smaller
/// limit costs more calls, a larger one makes heartbeats longer.
const MAX_RETAINED_EXITED_TASKS: usize = 24;

impl ShardOwner {
    /// Handles the leader's request to stop a task.
    pub(crate) fn on_stop(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        attempt: TaskAttempt,
        grace: Millis,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.request_stop(attempt, grace);
            self.process_machine(now, id, cache, out);
        }
    }

    /// Returns the commands that are due and records them as sent.
    pub(super) fn due_commands(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        route: CommandRoute,
    ) -> Vec<Command> {
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return Vec::new();
        };
        let mut commands = placement_commands(now, tracker, machine, cache, route);
        if route == CommandRoute::HeartbeatResponse {
            let room = MAX_COMMANDS_PER_MESSAGE.saturating_sub(commands.len());
            commands.extend(forget_commands(tracker, machine, room));
        }
        if tracker.is_confirmed() {
            // A task that has not exited and has no placement is orphaned.
            let orphans = tracker
                .alive_tasks()
                .filter(|attempt| !machine.record.holds(attempt));
            commands.extend(orphans.map(|attempt| Command::Stop(attempt.clone(), Millis(0))));
        }
        if !commands.is_empty() {
            // A launch is justified by the record at this revision. A stop is justified by the
            // leader's request, by a cancellation, or by the absence of the task from the record.
            tracing::debug!(machine = %id, token = %tracker.token(), record = %machine.revision, ?route, ?commands, "sending commands to worker");
        }
        commands
    }

    /// Calls the worker directly if needed: to make it accept the current token, to launch or stop
    /// tasks without waiting for a heartbeat, or to probe it.
    pub(super) fn send_direct_commands(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let probe_thresholds = ProbeThresholds::new(self.heartbeat_interval);
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return;
        };
        // A machine that can't send its heartbeats here can't be reached from here either.
        if !tracker.calls().may_send(now) || tracker.is_superseded() || tracker.is_relayed() {
            return;
        }
        let probe_due = probe_thresholds.exceeded(tracker, now);
        let may_raise = tracker.is_confirmed() && !probe_due && !tracker.token_raised_recently(now);
        if may_raise && needs_token_raise(tracker, machine, cache) && !tracker.raise_token(now) {
            out.push(Effect::RaiseShardFence(id.shard(self.shards)));
        }
        let is_unconfirmed = !tracker.is_confirmed();
        let commands = if is_unconfirmed {
            Vec::new()
        } else {
            self.due_commands(now, id, cache, CommandRoute::DirectCall)
        };
        if commands.is_empty() && !probe_due && !is_unconfirmed {
            return;
        }
        let probe = is_unconfirmed || probe_due;
        let pause = if probe { CALL_RETRY_DELAY } else { Millis(0) };
        self.send_call(id, commands, now + pause, out);
    }

    fn send_call(
        &mut self,
        id: &MachineId,
        commands: Vec<Command>,
        next_at: MonotonicTime,
        out: &mut Vec<Effect>,
    ) {
        let request = self.next_request();
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        tracker
            .calls_mut()
            .begin(request, commands.clone(), next_at);
        out.push(Effect::CallWorker(DirectCall {
            sent: SentCall {
                machine: id.clone(),
                id: request,
                token: tracker.token(),
            },
            addr: tracker.addr().to_owned(),
            epoch: tracker.epoch(),
            commands,
        }));
    }
}

/// Times after which a machine is probed.
struct ProbeThresholds {
    /// Maximum time since the last heartbeat.
    since_heartbeat: Millis,
    /// Maximum time since the machine last proved that a message from this controller reached it.
    /// Heartbeats only show that the machine is alive, not that messages reach it.
    since_reached: Millis,
}

impl ProbeThresholds {
    fn new(heartbeat_interval: Millis) -> Self {
        Self {
            since_heartbeat: heartbeat_interval + Millis(heartbeat_interval.0 / 4 + 300),
            since_reached: Millis(4 * heartbeat_interval.0 + 2000),
        }
    }

    fn exceeded(&self, tracker: &MachineTracker, now: MonotonicTime) -> bool {
        tracker.since_heartbeat(now) > self.since_heartbeat
            || tracker.since_reached(now) > self.since_reached
    }
}

/// Returns the launch and stop commands for the placements in the machine's record.
fn placement_commands(
    now: MonotonicTime,
    tracker: &mut MachineTracker,
    machine: &LiveMachine,
    cache: &WatchCache,
    route: CommandRoute,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for (attempt, _) in machine.record.attempts() {
        let cancelled = !cache.jobs.contains_key(&attempt.task.job);
        let stop_grace = if cancelled {
            Some(Millis(0))
        } else {
            tracker.stop_grace(&attempt)
        };
        commands.extend(match stop_grace {
            Some(grace) => stop_command(now, tracker, attempt, grace),
            None => launch_command(tracker, attempt, route),
        });
        if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
            break;
        }
    }
    commands
}

fn stop_command(
    now: MonotonicTime,
    tracker: &mut MachineTracker,
    attempt: TaskAttempt,
    grace: Millis,
) -> Option<Command> {
    let TaskPresence::Alive(state) = tracker.presence(&attempt) else {
        return None;
    };
    tracker.request_stop(attempt.clone(), grace);
    let saving = state == TaskState::Saving && grace > Millis(0);
    let send = !saving && tracker.send_stop_if_due(&attempt, now);
    send.then_some(Command::Stop(attempt, grace))
}

fn launch_command(
    tracker: &mut MachineTracker,
    attempt: TaskAttempt,
    route: CommandRoute,
) -> Option<Command> {
    let may_launch = match tracker.presence(&attempt) {
        TaskPresence::Absent => true,
        // An earlier direct launch has no answer: only a heartbeat response may repeat it, and only
        // once the call has ended.
        TaskPresence::MayStart => route == CommandRoute::HeartbeatResponse,
        _ => false,
    };
    let committed = tracker.placements().is_launchable(&attempt);
    if !may_launch || !committed || tracker.is_launch_pending(&attempt) {
        return None;
    }
    tracker.record_launch(&attempt, route);
    Some(Command::Launch(attempt))
}

/// Returns forget commands for exited tasks whose end is recorded, at most `limit`. A task must not
/// be forgotten before that: it would start again if its launch arrived a second time.
fn forget_commands(
    tracker: &mut MachineTracker,
    machine: &LiveMachine,
    limit: usize,
) -> Vec<Command> {
    let finished = tracker.exited_tasks().filter(|attempt| {
        !machine.record.holds(attempt)
            && tracker.may_forget(attempt)
            && !tracker.placements().is_pending(attempt)
    });
    let finished: Vec<TaskAttempt> = finished.take(limit).cloned().collect();
    for attempt in &finished {
        tracker.forget_launch(attempt);
    }
    finished.into_iter().map(Command::Forget).collect()
}

/// Returns whether the token must be raised. This is the case for a cancelled task or one to be
/// stopped whose direct launch has no answer, because only a higher token prevents its start. It is
/// also the case for more than [`MAX_RETAINED_EXITED_TASKS`] exited tasks that would start again if
/// they were forgotten and their launches repeated, unless a placement is pending.
fn needs_token_raise(tracker: &MachineTracker, machine: &LiveMachine, cache: &WatchCache) -> bool {
    let too_many_retained = tracker.listed_count() > MAX_RETAINED_EXITED_TASKS
        && tracker.placements().pending_count() == 0
        && tracker.retained_exited_count() > MAX_RETAINED_EXITED_TASKS;
    let needs_fencing = |attempt: &TaskAttempt| {
        let wanted =
            !tracker.is_stop_requested(attempt) && cache.jobs.contains_key(&attempt.task.job);
        !wanted
            && tracker.is_launch_unanswered(attempt)
            && tracker.presence(attempt) == TaskPresence::MayStart
    };
    too_many_retained
        || machine
            .record
            .attempts()
            .any(|(attempt, _)| needs_fencing(&attempt))
}
