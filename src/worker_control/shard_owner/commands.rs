//! What a shard owner orders its workers to do, in answers and by direct command.

use super::*;

impl ShardOwner {
    /// The commands that are due; what they change is noted as sent.
    pub(super) fn commands(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        direct: bool,
    ) -> Vec<Command> {
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (attempt, _) in machine.record.runs() {
            let cancelled = !cache.jobs.contains_key(&attempt.task.job);
            let stop = match tracker.stops.get(&attempt) {
                _ if cancelled => Some(Millis(0)),
                Some((grace, _)) => Some(*grace),
                None => None,
            };
            let presence = tracker.presence(&attempt);
            match (presence, stop) {
                (TaskPresence::Alive(state), Some(grace)) => {
                    let saving = state == TaskState::Saving && grace > Millis(0);
                    let entry = tracker
                        .stops
                        .entry(attempt.clone())
                        .or_insert((grace, None));
                    let due = entry
                        .1
                        .is_none_or(|at| now.since(at) >= STOP_RETRY_INTERVAL);
                    if due && !saving {
                        entry.1 = Some(now);
                        commands.push(Command::Stop(attempt, grace));
                    }
                }
                (TaskPresence::Absent | TaskPresence::MayAppear, None)
                    if tracker.launchable.contains(&attempt) =>
                {
                    let pending = tracker
                        .launches
                        .get(&attempt)
                        .is_some_and(|s| s.direct == DirectLaunch::Pending);
                    let unanswered = direct && presence == TaskPresence::MayAppear;
                    if !unanswered && !pending {
                        tracker.record_launch(&attempt, direct);
                        commands.push(Command::Launch(attempt));
                    }
                }
                _ => {}
            }
            if commands.len() >= COMMAND_BATCH {
                break;
            }
        }
        // Exited tasks whose end is recorded are forgotten, never sooner: a forgotten task
        // would start again if its start came a second time.
        let finished: Vec<TaskAttempt> = tracker
            .listed
            .iter()
            .filter(|(attempt, (state, _))| {
                *state == TaskState::Exited
                    && !machine.record.holds(attempt)
                    && tracker.may_forget(attempt)
            })
            .map(|(attempt, _)| attempt.clone())
            .collect();
        let in_flight =
            |attempt: &TaskAttempt| tracker.incoming.iter().any(|i| i.attempt == *attempt);
        for attempt in finished {
            if !in_flight(&attempt) && commands.len() < COMMAND_BATCH && !direct {
                tracker.launches.remove(&attempt);
                commands.push(Command::Forget(attempt));
            }
        }
        // What runs without a placement is nobody's: it is stopped.
        for (attempt, (state, _)) in &tracker.listed {
            if *state != TaskState::Exited && !machine.record.holds(attempt) && tracker.confirmed {
                commands.push(Command::Stop(attempt.clone(), Millis(0)));
            }
        }
        commands
    }

    /// Sends direct commands: to take a machine over, to start and stop at once, to probe.
    pub(super) fn command(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let heartbeat = self.heartbeat_interval;
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return;
        };
        // What can't bring its heartbeats here can't be reached from here either.
        if tracker.call.is_some()
            || tracker.superseded
            || now < tracker.next_call
            || tracker.is_relayed()
        {
            return;
        }
        // Heartbeats show that the machine lives, not that anything reaches it.
        let quiet = now.since(tracker.last_heartbeat) > heartbeat + Millis(heartbeat.0 / 4 + 300)
            || now.since(tracker.last_reached) > Millis(4 * heartbeat.0 + 2000);
        let may_raise = tracker.confirmed && !quiet && !tracker.token_raised_recently(now);
        if may_raise && needs_token_raise(tracker, machine, cache) && !tracker.raise_token(now) {
            out.push(Effect::RenewShard(id.shard(self.shards)));
        }
        let take_over = !tracker.confirmed;
        let commands = if take_over {
            Vec::new()
        } else {
            self.commands(now, id, cache, true)
        };
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        if commands.is_empty() && !quiet && !take_over {
            return;
        }
        tracker.call = Some(commands.clone());
        tracker.next_call = now
            + if take_over || quiet {
                CALL_RETRY_DELAY
            } else {
                Millis(0)
            };
        out.push(Effect::Call {
            machine: id.clone(),
            addr: tracker.addr.clone(),
            token: tracker.token(),
            epoch: tracker.epoch,
            commands,
        });
    }
}

/// Whether only a higher token helps: a cancelled task whose start has no answer, which can only
/// be fenced off; or many exited ones whose start could be repeated once they were forgotten.
pub(super) fn needs_token_raise(
    tracker: &MachineTracker,
    machine: &LiveMachine,
    cache: &WatchCache,
) -> bool {
    let burden = tracker.listed.len() > MAX_UNFORGETTABLE_TASKS
        && tracker.incoming.is_empty()
        && tracker.unforgettable_count() > MAX_UNFORGETTABLE_TASKS;
    let stuck = || {
        machine.record.runs().any(|(attempt, _)| {
            let wanted =
                !tracker.stops.contains_key(&attempt) && cache.jobs.contains_key(&attempt.task.job);
            let launch = tracker.launches.get(&attempt);
            let unanswered = launch.is_some_and(|s| s.direct == DirectLaunch::Unknown);
            !wanted && unanswered && tracker.presence(&attempt) == TaskPresence::MayAppear
        })
    };
    burden || stuck()
}
