//! What the records of a holder's machines lack, and when that is written.

use super::*;

impl ShardOwner {
    /// Notes what a machine's record lacks: what is proved gone, what was allotted, what is done.
    pub(super) fn ripen(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), cache.machines.get(id)) else {
            self.ripe.remove(id);
            return;
        };
        if desk.uncertain.is_some_and(|r| r != machine.revision) {
            desk.uncertain = None;
        }
        // A placement that was committed after all is no longer on its way.
        desk.incoming.retain(|i| !machine.record.holds(&i.attempt));
        desk.rejected
            .retain(|attempt| !machine.record.holds(attempt));
        let idle = desk.txn.is_none();
        let stands = |i: &Incoming| {
            let job = cache.jobs.get(&i.attempt.task.job);
            let late = idle && now.since(i.since) >= GIVEN_BACK;
            !late && job.is_some_and(|j| j.revision == i.job_revision)
        };
        if !desk.incoming.iter().all(stands) {
            let all = std::mem::take(&mut desk.incoming);
            let (kept, gone): (VecDeque<_>, VecDeque<_>) = all.into_iter().partition(stands);
            desk.incoming = kept;
            desk.rejected.extend(gone.into_iter().map(|i| i.attempt));
        }
        if desk.txn.is_some() {
            self.ripe.remove(id);
            return;
        }
        if desk.uncertain.is_none() && !desk.rejected.is_empty() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: desk.fence,
                attempts: std::mem::take(&mut desk.rejected),
            }));
        }
        let touch = desk.uncertain.is_some() && !desk.rejected.is_empty();
        let ripe = ripe(desk, machine, cache, touch, now);
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
    pub(super) fn flush(&mut self, now: MonotonicTime, cache: &WatchCache, out: &mut Vec<Effect>) {
        if self.ripe.is_empty() || (now < self.next_flush && !self.urgent) {
            return;
        }
        self.urgent = false;
        self.next_flush = now + Millis((self.ripe.len() / RIPE_PER_MS) as u64);
        let scarce = !self.records.allows(now, 1.0, Class::Place);
        let leisure = self.records.part(now) >= LEISURE;
        let mut command: Vec<(u64, &MachineId)> = Vec::new();
        for id in &self.ripe {
            let Some(desk) = self.desks.get(id) else {
                continue;
            };
            let waits = now < desk.retry_at
                || (cache.revision < desk.retry_revision && now < desk.retry_at + Millis(2000));
            if let Some(ripe) = desk.ripe.as_ref().filter(|_| !waits && !desk.superseded)
                && (leisure || now.since(ripe.since) >= GATHER)
                && (ripe.urgent || (!scarce && ripe.worth(now) > 0))
            {
                let worth = if ripe.urgent {
                    u64::MAX
                } else {
                    ripe.worth(now)
                };
                command.push((worth, id));
            }
        }
        command.sort_by_key(|(worth, _)| std::cmp::Reverse(*worth));
        let command: Vec<(u64, MachineId)> =
            command.into_iter().map(|(w, id)| (w, id.clone())).collect();
        for (worth, id) in command {
            if worth < u64::MAX && !self.records.allows(now, 1.0, Class::Place) {
                break;
            }
            if self.commit(now, &id, cache, out) {
                self.records.spend(1.0);
            }
        }
    }

    /// Drops what is proved gone, counts what is done, and adds what was allotted, all in one
    /// change under the fence.
    pub(super) fn commit(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) -> bool {
        self.ripe.remove(id);
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), cache.machines.get(id)) else {
            return false;
        };
        let Some(ripe) = desk.ripe.take() else {
            return false;
        };
        let mut txn = Txn::default();
        txn.require(keys::shard(id.shard(self.shards)), desk.fence);
        txn.require(keys::machine(id), machine.revision);
        let mut record = machine.record.clone();
        let segment_tasks = self.segment_tasks;
        record.done.retain(|done| {
            let job = cache.jobs.get(&done.job);
            job.is_some_and(|j| j.needs(done, segment_tasks))
        });
        let mut ended = Vec::new();
        for (attempt, _) in ripe.ended {
            let Some(end) = ended_as(desk, &attempt, cache) else {
                continue;
            };
            let job = cache.jobs.get(&attempt.task.job);
            if let (AttemptOutcome::Done, Some(job)) = (end, job) {
                // The tasks of a gang complete together: when one is done, all are. So the loss
                // of a machine just then does not leave the rest to be run again.
                match job.spec.kind {
                    JobKind::Gang => record.count(&attempt.task.job, 0, job.spec.tasks - 1),
                    _ => record.count(&attempt.task.job, attempt.task.index, attempt.task.index),
                }
            }
            record.remove(&attempt);
            ended.push((attempt, end));
        }
        add_incoming(desk, &mut record, &mut txn, self.value_bytes, self.txn_ops);
        if record.size() > self.value_bytes && desk.too_large {
            // It gets smaller with more ends.
            desk.retry_at = now + TXN_RETRY;
            return false;
        }
        desk.too_large = false;
        let placed = |attempt: &TaskAttempt| record.holds(attempt);
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
        let job = &incoming.attempt.task.job;
        if !jobs_added.contains(job) && txn.conditions.len() + 1 > 4 * txn_ops {
            break;
        }
        let added = record.size_of_adding(&incoming.attempt, &incoming.spec);
        if record.size() + added > value_bytes {
            too_large.insert(incoming.attempt.clone());
            continue;
        }
        if jobs_added.insert(job.clone()) {
            txn.require(keys::job(job), incoming.job_revision);
        }
        record.add(&incoming.attempt, &incoming.spec);
        desk.fresh.insert(incoming.attempt.clone());
    }
    desk.incoming.retain(|i| !too_large.contains(&i.attempt));
    desk.rejected.extend(too_large);
}

/// How a placement has ended, once that is proved.
pub(super) fn ended_as(
    desk: &Desk,
    attempt: &TaskAttempt,
    cache: &WatchCache,
) -> Option<AttemptOutcome> {
    match desk.presence(attempt) {
        Presence::Exited(ExitReason::Done) => Some(AttemptOutcome::Done),
        Presence::Exited(exit_reason) => Some(AttemptOutcome::Exited(exit_reason)),
        Presence::Absent
            if desk.stops.contains_key(attempt)
                || !desk.fresh.contains(attempt)
                || !cache.jobs.contains_key(&attempt.task.job) =>
        {
            Some(AttemptOutcome::Absent)
        }
        _ => None,
    }
}

/// What a record lacks, if anything, and how much it is worth to write it.
pub(super) fn ripe(
    desk: &Desk,
    machine: &LiveMachine,
    cache: &WatchCache,
    touch: bool,
    now: MonotonicTime,
) -> Option<Ripe> {
    let mut ripe = Ripe {
        since: desk.ripe.as_ref().map_or(now, |r| r.since),
        incoming: desk.incoming.len(),
        ended: Vec::new(),
        freed: Resources::default(),
        idle: false,
        urgent: touch,
    };
    let waited_for = |kind: JobKind| kind != JobKind::Array;
    ripe.urgent |= desk.incoming.iter().any(|i| waited_for(i.spec.kind));
    for (attempt, placed) in machine.record.runs() {
        let Some(end) = ended_as(desk, &attempt, cache) else {
            continue;
        };
        ripe.freed = ripe.freed + placed.need;
        if let Some(job) = cache.jobs.get(&attempt.task.job) {
            // A failure waits to be tried elsewhere.
            ripe.urgent |= waited_for(job.spec.kind) || end != AttemptOutcome::Done;
        }
        ripe.ended.push((attempt, end == AttemptOutcome::Done));
    }
    ripe.idle = ripe.incoming == 0 && ripe.ended.len() == machine.record.runs().count();
    (touch || ripe.incoming > 0 || !ripe.ended.is_empty()).then_some(ripe)
}
