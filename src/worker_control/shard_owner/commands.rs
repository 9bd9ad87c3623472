//! What a shard owner commands its workers to do, in answers and by direct command.

use super::calls::CALL_RETRY_DELAY;
use super::{DirectCall, Effect, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::protocol::{Command, TaskState};
use crate::store::watch_cache::{LiveMachine, WatchCache};
use crate::worker_control::machine_tracker::{CommandRoute, MachineTracker, TaskPresence};

/// Commands in one message: no launch or forget command is added beyond this.
const COMMAND_BATCH: usize = 200;
/// Exited tasks that a worker goes on listing because their direct launches could be repeated.
/// More of them, and the machine's token rises: fewer would be calls, more is longer heartbeats.
const MAX_UNFORGETTABLE_TASKS: usize = 24;

impl ShardOwner {
    /// The leader wants a task stopped.
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
            self.step(now, id, cache, out);
        }
    }

    /// The commands that are due; they are noted as sent.
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
            let room = COMMAND_BATCH.saturating_sub(commands.len());
            commands.extend(forget_commands(tracker, machine, room));
        }
        if tracker.is_confirmed() {
            // A task that runs without a placement belongs to nobody.
            let orphans = tracker
                .alive_tasks()
                .filter(|attempt| !machine.record.holds(attempt));
            commands.extend(orphans.map(|attempt| Command::Stop(attempt.clone(), Millis(0))));
        }
        if !commands.is_empty() {
            // A start is allowed by the record of this revision, a stop by the leader's request, by
            // a cancellation, or by the record that lacks the task.
            tracing::debug!(machine = %id, token = %tracker.token(), record = %machine.revision, ?route, ?commands, "commands are due");
        }
        commands
    }

    /// Sends direct commands: to take a machine over, to start and stop at once, to probe.
    pub(super) fn send_direct_commands(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let quiet_limits = QuietLimits::new(self.heartbeat_interval);
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return;
        };
        // What can't bring its heartbeats here can't be reached from here either.
        if !tracker.calls().may_send(now) || tracker.is_superseded() || tracker.is_relayed() {
            return;
        }
        let quiet = quiet_limits.exceeded(tracker, now);
        let may_raise = tracker.is_confirmed() && !quiet && !tracker.token_raised_recently(now);
        if may_raise && needs_token_raise(tracker, machine, cache) && !tracker.raise_token(now) {
            out.push(Effect::RaiseShardFence(id.shard(self.shards)));
        }
        let take_over = !tracker.is_confirmed();
        let commands = if take_over {
            Vec::new()
        } else {
            self.due_commands(now, id, cache, CommandRoute::DirectCall)
        };
        if commands.is_empty() && !quiet && !take_over {
            return;
        }
        let probe = take_over || quiet;
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
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        tracker.calls_mut().begin(commands.clone(), next_at);
        out.push(Effect::CallWorker(DirectCall {
            machine: id.clone(),
            addr: tracker.addr().to_owned(),
            token: tracker.token(),
            epoch: tracker.epoch(),
            commands,
        }));
    }
}

/// How long a machine may be quiet before it is probed.
struct QuietLimits {
    /// Since its last heartbeat.
    heartbeat: Millis,
    /// Since something of ours arrived: heartbeats show that the machine lives, not that anything
    /// reaches it.
    reached: Millis,
}

impl QuietLimits {
    fn new(heartbeat_interval: Millis) -> Self {
        Self {
            heartbeat: heartbeat_interval + Millis(heartbeat_interval.0 / 4 + 300),
            reached: Millis(4 * heartbeat_interval.0 + 2000),
        }
    }

    fn exceeded(&self, tracker: &MachineTracker, now: MonotonicTime) -> bool {
        tracker.since_heartbeat(now) > self.heartbeat || tracker.since_reached(now) > self.reached
    }
}

/// Launches and stops of the placements that the machine's record shows.
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
        if commands.len() >= COMMAND_BATCH {
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
        // A direct launch is without an answer: only a response may repeat it.
        TaskPresence::MayAppear => route == CommandRoute::HeartbeatResponse,
        _ => false,
    };
    let committed = tracker.placements().is_launchable(&attempt);
    if !may_launch || !committed || tracker.is_launch_pending(&attempt) {
        return None;
    }
    tracker.record_launch(&attempt, route);
    Some(Command::Launch(attempt))
}

/// Exited tasks whose end is recorded are forgotten, never sooner: a forgotten task would start
/// again if its launch came a second time.
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

/// Whether only a higher token helps: a cancelled task whose launch has no answer, which can only
/// be fenced off; or many exited ones whose launch could be repeated once they were forgotten.
fn needs_token_raise(tracker: &MachineTracker, machine: &LiveMachine, cache: &WatchCache) -> bool {
    let burden = tracker.listed_count() > MAX_UNFORGETTABLE_TASKS
        && tracker.placements().pending_count() == 0
        && tracker.unforgettable_count() > MAX_UNFORGETTABLE_TASKS;
    let is_stuck = |attempt: &TaskAttempt| {
        let wanted =
            !tracker.is_stop_requested(attempt) && cache.jobs.contains_key(&attempt.task.job);
        !wanted
            && tracker.is_launch_unanswered(attempt)
            && tracker.presence(attempt) == TaskPresence::MayAppear
    };
    burden
        || machine
            .record
            .attempts()
            .any(|(attempt, _)| is_stuck(&attempt))
}
