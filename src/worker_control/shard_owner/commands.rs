//! What a holder orders its workers to do, in answers and by direct command.

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
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), cache.machines.get(id)) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (attempt, _) in machine.record.runs() {
            let cancelled = !cache.jobs.contains_key(&attempt.task.job);
            let stop = match desk.stops.get(&attempt) {
                _ if cancelled => Some(Millis(0)),
                Some((grace, _)) => Some(*grace),
                None => None,
            };
            let presence = desk.presence(&attempt);
            match (presence, stop) {
                (Presence::Alive(state), Some(grace)) => {
                    let saving = state == TaskState::Saving && grace > Millis(0);
                    let entry = desk.stops.entry(attempt.clone()).or_insert((grace, None));
                    let due = entry.1.is_none_or(|at| now.since(at) >= STOP_RETRY);
                    if due && !saving {
                        entry.1 = Some(now);
                        commands.push(Command::Stop(attempt, grace));
                    }
                }
                (Presence::Absent | Presence::MayAppear, None) if desk.fresh.contains(&attempt) => {
                    let pending = desk
                        .starts
                        .get(&attempt)
                        .is_some_and(|s| s.direct == Direct::Pending);
                    let unanswered = direct && presence == Presence::MayAppear;
                    if !unanswered && !pending {
                        desk.mark_start(&attempt, direct);
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
        let finished: Vec<TaskAttempt> = desk
            .listed
            .iter()
            .filter(|(attempt, (state, _))| {
                *state == TaskState::Exited
                    && !machine.record.holds(attempt)
                    && desk.may_forget(attempt)
            })
            .map(|(attempt, _)| attempt.clone())
            .collect();
        let in_flight = |attempt: &TaskAttempt| desk.incoming.iter().any(|i| i.attempt == *attempt);
        for attempt in finished {
            if !in_flight(&attempt) && commands.len() < COMMAND_BATCH && !direct {
                desk.starts.remove(&attempt);
                commands.push(Command::Forget(attempt));
            }
        }
        // What runs without a placement is nobody's: it is stopped.
        for (attempt, (state, _)) in &desk.listed {
            if *state != TaskState::Exited && !machine.record.holds(attempt) && desk.confirmed {
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
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), cache.machines.get(id)) else {
            return;
        };
        // What can't bring its reports here can't be reached from here either.
        if desk.call.is_some() || desk.superseded || now < desk.next_call || desk.is_relayed() {
            return;
        }
        // Reports show that the machine lives, not that anything reaches it.
        let quiet = now.since(desk.heard) > heartbeat + Millis(heartbeat.0 / 4 + 300)
            || now.since(desk.reached) > Millis(4 * heartbeat.0 + 2000);
        let rises = desk.confirmed && !quiet && !desk.raised_lately(now);
        if rises && wants_rise(desk, machine, cache) && !desk.rise(now) {
            out.push(Effect::RenewShard(id.shard(self.shards)));
        }
        let take_over = !desk.confirmed;
        let commands = if take_over {
            Vec::new()
        } else {
            self.commands(now, id, cache, true)
        };
        let Some(desk) = self.desks.get_mut(id) else {
            return;
        };
        if commands.is_empty() && !quiet && !take_over {
            return;
        }
        desk.call = Some(commands.clone());
        desk.next_call = now
            + if take_over || quiet {
                CALL_RETRY
            } else {
                Millis(0)
            };
        out.push(Effect::Call {
            machine: id.clone(),
            addr: desk.addr.clone(),
            token: desk.token(),
            epoch: desk.epoch,
            commands,
        });
    }
}

/// Whether only a higher token helps: a cancelled task whose start has no answer, which can only
/// be fenced off; or many exited ones whose start could be repeated once they were forgotten.
pub(super) fn wants_rise(desk: &Desk, machine: &LiveMachine, cache: &WatchCache) -> bool {
    let burden = desk.listed.len() > KEPT && desk.incoming.is_empty() && desk.kept() > KEPT;
    let stuck = || {
        machine.record.runs().any(|(attempt, _)| {
            let wanted =
                !desk.stops.contains_key(&attempt) && cache.jobs.contains_key(&attempt.task.job);
            let start = desk.starts.get(&attempt);
            let unanswered = start.is_some_and(|s| s.direct == Direct::Unknown);
            !wanted && unanswered && desk.presence(&attempt) == Presence::MayAppear
        })
    };
    burden || stuck()
}
