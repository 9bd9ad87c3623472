//! What a holder orders its workers to do, in answers and by direct command.

use super::*;

impl Holder {
    /// The commands that are due; what they change is noted as sent.
    pub(super) fn orders(
        &mut self,
        now: Time,
        id: &MachineId,
        replica: &Replica,
        direct: bool,
    ) -> Vec<Order> {
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), replica.machines.get(id)) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (run, _) in machine.record.runs() {
            let cancelled = !replica.jobs.contains_key(&run.task.job);
            let stop = match desk.stops.get(&run) {
                _ if cancelled => Some(Span(0)),
                Some((grace, _)) => Some(*grace),
                None => None,
            };
            let presence = desk.presence(&run);
            match (presence, stop) {
                (Presence::Alive(state), Some(grace)) => {
                    let saving = state == TaskState::Saving && grace > Span(0);
                    let entry = desk.stops.entry(run.clone()).or_insert((grace, None));
                    let due = entry.1.is_none_or(|at| now.since(at) >= STOP_RETRY);
                    if due && !saving {
                        entry.1 = Some(now);
                        orders.push(Order::Stop(run, grace));
                    }
                }
                (Presence::Absent | Presence::MayAppear, None) if desk.fresh.contains(&run) => {
                    let pending = desk
                        .starts
                        .get(&run)
                        .is_some_and(|s| s.direct == Direct::Pending);
                    let unanswered = direct && presence == Presence::MayAppear;
                    if !unanswered && !pending {
                        desk.mark_start(&run, direct);
                        orders.push(Order::Start(run));
                    }
                }
                _ => {}
            }
            if orders.len() >= COMMAND_BATCH {
                break;
            }
        }
        // Exited tasks whose end is recorded are forgotten, never sooner: a forgotten task
        // would start again if its start came a second time.
        let finished: Vec<Run> = desk
            .listed
            .iter()
            .filter(|(run, (state, _))| {
                *state == TaskState::Exited && !machine.record.holds(run) && desk.may_forget(run)
            })
            .map(|(run, _)| run.clone())
            .collect();
        let in_flight = |run: &Run| desk.incoming.iter().any(|i| i.run == *run);
        for run in finished {
            if !in_flight(&run) && orders.len() < COMMAND_BATCH && !direct {
                desk.starts.remove(&run);
                orders.push(Order::Forget(run));
            }
        }
        // What runs without a placement is nobody's: it is stopped.
        for (run, (state, _)) in &desk.listed {
            if *state != TaskState::Exited && !machine.record.holds(run) && desk.confirmed {
                orders.push(Order::Stop(run.clone(), Span(0)));
            }
        }
        orders
    }

    /// Sends direct commands: to take a machine over, to start and stop at once, to probe.
    pub(super) fn command(
        &mut self,
        now: Time,
        id: &MachineId,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        let report = self.report;
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), replica.machines.get(id)) else {
            return;
        };
        // What can't bring its reports here can't be reached from here either.
        if desk.call.is_some() || desk.superseded || now < desk.next_call || desk.is_relayed() {
            return;
        }
        // Reports show that the machine lives, not that anything reaches it.
        let quiet = now.since(desk.heard) > report + Span(report.0 / 4 + 300)
            || now.since(desk.reached) > Span(4 * report.0 + 2000);
        let rises = desk.confirmed && !quiet && !desk.raised_lately(now);
        if rises && wants_rise(desk, machine, replica) && !desk.rise(now) {
            out.push(Effect::RenewBlock(id.block(self.blocks)));
        }
        let take_over = !desk.confirmed;
        let orders = if take_over {
            Vec::new()
        } else {
            self.orders(now, id, replica, true)
        };
        let Some(desk) = self.desks.get_mut(id) else {
            return;
        };
        if orders.is_empty() && !quiet && !take_over {
            return;
        }
        desk.call = Some(orders.clone());
        desk.next_call = now
            + if take_over || quiet {
                CALL_RETRY
            } else {
                Span(0)
            };
        out.push(Effect::Call {
            machine: id.clone(),
            addr: desk.addr.clone(),
            token: desk.token(),
            session: desk.session,
            orders,
        });
    }
}

/// Whether only a higher token helps: a cancelled task whose start has no answer, which can only
/// be fenced off; or many exited ones whose start could be repeated once they were forgotten.
pub(super) fn wants_rise(desk: &Desk, machine: &LiveMachine, replica: &Replica) -> bool {
    let burden = desk.listed.len() > KEPT && desk.incoming.is_empty() && desk.kept() > KEPT;
    let stuck = || {
        machine.record.runs().any(|(run, _)| {
            let wanted = !desk.stops.contains_key(&run) && replica.jobs.contains_key(&run.task.job);
            let start = desk.starts.get(&run);
            let unanswered = start.is_some_and(|s| s.direct == Direct::Unknown);
            !wanted && unanswered && desk.presence(&run) == Presence::MayAppear
        })
    };
    burden || stuck()
}
