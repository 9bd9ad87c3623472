//! What the records of a holder's machines lack, and when that is written.

use super::*;

impl Holder {
    /// Notes what a machine's record lacks: what is proved gone, what was allotted, what is done.
    pub(super) fn ripen(
        &mut self,
        now: Time,
        id: &MachineId,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), replica.machines.get(id)) else {
            self.ripe.remove(id);
            return;
        };
        if desk.uncertain.is_some_and(|r| r != machine.revision) {
            desk.uncertain = None;
        }
        // A placement that was committed after all is no longer on its way.
        desk.incoming.retain(|i| !machine.record.holds(&i.run));
        desk.rejected.retain(|run| !machine.record.holds(run));
        let idle = desk.txn.is_none();
        let stands = |i: &Incoming| {
            let job = replica.jobs.get(&i.run.task.job);
            let late = idle && now.since(i.since) >= GIVEN_BACK;
            !late && job.is_some_and(|j| j.revision == i.job_revision)
        };
        if !desk.incoming.iter().all(stands) {
            let all = std::mem::take(&mut desk.incoming);
            let (kept, gone): (VecDeque<_>, VecDeque<_>) = all.into_iter().partition(stands);
            desk.incoming = kept;
            desk.rejected.extend(gone.into_iter().map(|i| i.run));
        }
        if desk.txn.is_some() {
            self.ripe.remove(id);
            return;
        }
        if desk.uncertain.is_none() && !desk.rejected.is_empty() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: desk.fence,
                runs: std::mem::take(&mut desk.rejected),
            }));
        }
        let touch = desk.uncertain.is_some() && !desk.rejected.is_empty();
        let ripe = ripe(desk, machine, replica, touch, now);
        if let Some(ripe) = &ripe {
            self.ripe.insert(id.clone());
            self.urgent |= ripe.urgent && now >= desk.retry_at;
        } else {
            self.ripe.remove(id);
        }
        desk.ripe = ripe;
    }

    /// Writes records while there are changes for it, those that are worth most first. What
    /// people or other decisions wait for goes at once.
    pub(super) fn flush(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        if self.ripe.is_empty() || (now < self.next_flush && !self.urgent) {
            return;
        }
        self.urgent = false;
        self.next_flush = now + Span((self.ripe.len() / RIPE_PER_MS) as u64);
        let scarce = !self.records.allows(now, 1.0, Class::Place);
        let leisure = self.records.part(now) >= LEISURE;
        let mut order: Vec<(u64, &MachineId)> = Vec::new();
        for id in &self.ripe {
            let Some(desk) = self.desks.get(id) else {
                continue;
            };
            let waits = now < desk.retry_at
                || (replica.revision < desk.retry_revision && now < desk.retry_at + Span(2000));
            if let Some(ripe) = desk.ripe.as_ref().filter(|_| !waits && !desk.superseded)
                && (leisure || now.since(ripe.since) >= GATHER)
                && (ripe.urgent || (!scarce && ripe.worth(now) > 0))
            {
                let worth = if ripe.urgent {
                    u64::MAX
                } else {
                    ripe.worth(now)
                };
                order.push((worth, id));
            }
        }
        order.sort_by_key(|(worth, _)| std::cmp::Reverse(*worth));
        let order: Vec<(u64, MachineId)> =
            order.into_iter().map(|(w, id)| (w, id.clone())).collect();
        for (worth, id) in order {
            if worth < u64::MAX && !self.records.allows(now, 1.0, Class::Place) {
                break;
            }
            if self.commit(now, &id, replica, out) {
                self.records.spend(1.0);
            }
        }
    }

    /// Drops what is proved gone, counts what is done, and adds what was allotted, all in one
    /// change under the fence.
    pub(super) fn commit(
        &mut self,
        now: Time,
        id: &MachineId,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) -> bool {
        self.ripe.remove(id);
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), replica.machines.get(id)) else {
            return false;
        };
        let Some(ripe) = desk.ripe.take() else {
            return false;
        };
        let mut txn = Txn::default();
        txn.require(keys::block(id.block(self.blocks)), desk.fence);
        txn.require(keys::machine(id), machine.revision);
        let mut record = machine.record.clone();
        let segment_tasks = self.segment_tasks;
        record.done.retain(|done| {
            let job = replica.jobs.get(&done.job);
            job.is_some_and(|j| j.needs(done, segment_tasks))
        });
        let mut ended = Vec::new();
        for (run, _) in ripe.ended {
            let Some(end) = ended_as(desk, &run, replica) else {
                continue;
            };
            let job = replica.jobs.get(&run.task.job);
            if let (End::Done, Some(job)) = (end, job) {
                // The tasks of a gang complete together: when one is done, all are. So the loss
                // of a machine just then does not leave the rest to be run again.
                match job.spec.kind {
                    Kind::Gang => record.count(&run.task.job, 0, job.spec.tasks - 1),
                    _ => record.count(&run.task.job, run.task.index, run.task.index),
                }
            }
            record.remove(&run);
            ended.push((run, end));
        }
        add_incoming(desk, &mut record, &mut txn, self.value_bytes, self.txn_ops);
        if record.size() > self.value_bytes && desk.too_large {
            // It gets smaller with more ends.
            desk.retry_at = now + TXN_RETRY;
            return false;
        }
        desk.too_large = false;
        let placed = |run: &Run| record.holds(run);
        desk.fresh.retain(placed);
        let touch = desk.uncertain.is_some() && !desk.rejected.is_empty();
        if record == machine.record && !touch {
            return false;
        }
        txn.put(keys::machine(id), &record, None);
        desk.txn = Some(PendingTxn {
            record,
            ended,
            fence: desk.fence,
        });
        out.push(Effect::Txn {
            machine: id.clone(),
            txn,
        });
        true
    }
}

/// Adds what was allotted to a machine's record, as far as it fits. What does not is given back.
fn add_incoming(
    desk: &mut Desk,
    record: &mut MachineRecord,
    txn: &mut Txn,
    value_bytes: usize,
    txn_ops: usize,
) {
    let mut jobs_added = BTreeSet::new();
    let mut too_large = BTreeSet::new();
    for incoming in &desk.incoming {
        let job = &incoming.run.task.job;
        if !jobs_added.contains(job) && txn.conditions.len() + 1 > 4 * txn_ops {
            break;
        }
        let added = record.size_of_adding(&incoming.run, &incoming.spec);
        if record.size() + added > value_bytes {
            too_large.insert(incoming.run.clone());
            continue;
        }
        if jobs_added.insert(job.clone()) {
            txn.require(keys::job(job), incoming.job_revision);
        }
        record.add(&incoming.run, &incoming.spec);
        desk.fresh.insert(incoming.run.clone());
    }
    desk.incoming.retain(|i| !too_large.contains(&i.run));
    desk.rejected.extend(too_large);
}

/// How a placement has ended, once that is proved.
pub(super) fn ended_as(desk: &Desk, run: &Run, replica: &Replica) -> Option<End> {
    match desk.presence(run) {
        Presence::Exited(Why::Done) => Some(End::Done),
        Presence::Exited(why) => Some(End::Exited(why)),
        Presence::Absent
            if desk.stops.contains_key(run)
                || !desk.fresh.contains(run)
                || !replica.jobs.contains_key(&run.task.job) =>
        {
            Some(End::Absent)
        }
        _ => None,
    }
}

/// What a record lacks, if anything, and how much it is worth to write it.
pub(super) fn ripe(
    desk: &Desk,
    machine: &LiveMachine,
    replica: &Replica,
    touch: bool,
    now: Time,
) -> Option<Ripe> {
    let mut ripe = Ripe {
        since: desk.ripe.as_ref().map_or(now, |r| r.since),
        incoming: desk.incoming.len(),
        ended: Vec::new(),
        freed: Amounts::default(),
        idle: false,
        urgent: touch,
    };
    let waited_for = |kind: Kind| kind != Kind::Array;
    ripe.urgent |= desk.incoming.iter().any(|i| waited_for(i.spec.kind));
    for (run, placed) in machine.record.runs() {
        let Some(end) = ended_as(desk, &run, replica) else {
            continue;
        };
        ripe.freed = ripe.freed + placed.need;
        if let Some(job) = replica.jobs.get(&run.task.job) {
            // A failure waits to be tried elsewhere.
            ripe.urgent |= waited_for(job.spec.kind) || end != End::Done;
        }
        ripe.ended.push((run, end == End::Done));
    }
    ripe.idle = ripe.incoming == 0 && ripe.ended.len() == machine.record.runs().count();
    (touch || ripe.incoming > 0 || !ripe.ended.is_empty()).then_some(ripe)
}
