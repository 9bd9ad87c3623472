//! What the records of a shard owner's machines lack, and when that is written.

use super::*;

impl ShardOwner {
    /// Notes what a machine's record lacks: what is proved gone, what was allotted, what is done.
    pub(super) fn note_unwritten(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            self.unwritten.remove(id);
            return;
        };
        if tracker.uncertain.is_some_and(|r| r != machine.revision) {
            tracker.uncertain = None;
        }
        // A placement that was committed after all is no longer on its way.
        tracker
            .incoming
            .retain(|i| !machine.record.holds(&i.attempt));
        tracker
            .rejected
            .retain(|attempt| !machine.record.holds(attempt));
        let idle = tracker.txn.is_none();
        let stands = |i: &Incoming| {
            let job = cache.jobs.get(&i.attempt.task.job);
            let late = idle && now.since(i.since) >= PLACEMENT_EXPIRY;
            !late && job.is_some_and(|j| j.revision == i.job_revision)
        };
        if !tracker.incoming.iter().all(stands) {
            let all = std::mem::take(&mut tracker.incoming);
            let (kept, gone): (VecDeque<_>, VecDeque<_>) = all.into_iter().partition(stands);
            tracker.incoming = kept;
            tracker.rejected.extend(gone.into_iter().map(|i| i.attempt));
        }
        if tracker.txn.is_some() {
            self.unwritten.remove(id);
            return;
        }
        if tracker.uncertain.is_none() && !tracker.rejected.is_empty() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: tracker.fence,
                attempts: std::mem::take(&mut tracker.rejected),
            }));
        }
        let touch = tracker.uncertain.is_some() && !tracker.rejected.is_empty();
        let unwritten = unwritten(tracker, machine, cache, touch, now);
        if let Some(unwritten) = &unwritten {
            self.unwritten.insert(id.clone());
            self.urgent |= unwritten.urgent && now >= tracker.retry_at;
        } else {
            self.unwritten.remove(id);
        }
        tracker.unwritten = unwritten;
    }

    /// Writes records while there are changes for it, those that are worth most first. What
    /// people or other decisions wait for goes at once.
    pub(super) fn flush(&mut self, now: MonotonicTime, cache: &WatchCache, out: &mut Vec<Effect>) {
        if self.unwritten.is_empty() || (now < self.next_flush && !self.urgent) {
            return;
        }
        self.urgent = false;
        self.next_flush = now + Millis((self.unwritten.len() / UNWRITTEN_MACHINES_PER_MS) as u64);
        let scarce = !self.records.allows(now, 1.0, RequestClass::Place);
        let leisure = self.records.available_fraction(now) >= IDLE_BUDGET_FRACTION;
        let mut command: Vec<(u64, &MachineId)> = Vec::new();
        for id in &self.unwritten {
            let Some(tracker) = self.trackers.get(id) else {
                continue;
            };
            let waits = now < tracker.retry_at
                || (cache.revision < tracker.retry_revision
                    && now < tracker.retry_at + Millis(2000));
            if let Some(unwritten) = tracker
                .unwritten
                .as_ref()
                .filter(|_| !waits && !tracker.superseded)
                && (leisure || now.since(unwritten.since) >= WRITE_BATCH_DELAY)
                && (unwritten.urgent || (!scarce && unwritten.write_priority(now) > 0))
            {
                let write_priority = if unwritten.urgent {
                    u64::MAX
                } else {
                    unwritten.write_priority(now)
                };
                command.push((write_priority, id));
            }
        }
        command.sort_by_key(|(write_priority, _)| std::cmp::Reverse(*write_priority));
        let command: Vec<(u64, MachineId)> =
            command.into_iter().map(|(w, id)| (w, id.clone())).collect();
        for (write_priority, id) in command {
            if write_priority < u64::MAX && !self.records.allows(now, 1.0, RequestClass::Place) {
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
        self.unwritten.remove(id);
        let (Some(tracker), Some(machine)) = (self.trackers.get_mut(id), cache.machines.get(id))
        else {
            return false;
        };
        let Some(unwritten) = tracker.unwritten.take() else {
            return false;
        };
        let mut txn = Txn::default();
        txn.require(keys::shard(id.shard(self.shards)), tracker.fence);
        txn.require(keys::machine(id), machine.revision);
        let mut record = machine.record.clone();
        let segment_tasks = self.segment_tasks;
        record.done.retain(|done| {
            let job = cache.jobs.get(&done.job);
            job.is_some_and(|j| j.needs(done, segment_tasks))
        });
        let mut ended = Vec::new();
        for (attempt, _) in unwritten.ended {
            let Some(end) = attempt_outcome(tracker, &attempt, cache) else {
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
        add_incoming(
            tracker,
            &mut record,
            &mut txn,
            self.value_bytes,
            self.txn_ops,
        );
        if record.size() > self.value_bytes && tracker.too_large {
            // It gets smaller with more ends.
            tracker.retry_at = now + TXN_RETRY_DELAY;
            return false;
        }
        tracker.too_large = false;
        let placed = |attempt: &TaskAttempt| record.holds(attempt);
        tracker.launchable.retain(placed);
        let touch = tracker.uncertain.is_some() && !tracker.rejected.is_empty();
        if record == machine.record && !touch {
            return false;
        }
        txn.put(keys::machine(id), &record, None);
        tracker.txn = Some(PendingTxn {
            record,
            ended,
            fence: tracker.fence,
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
    tracker: &mut MachineTracker,
    record: &mut MachineRecord,
    txn: &mut Txn,
    value_bytes: usize,
    txn_ops: usize,
) {
    let mut jobs_added = BTreeSet::new();
    let mut too_large = BTreeSet::new();
    for incoming in &tracker.incoming {
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
        tracker.launchable.insert(incoming.attempt.clone());
    }
    tracker.incoming.retain(|i| !too_large.contains(&i.attempt));
    tracker.rejected.extend(too_large);
}

/// How a placement has ended, once that is proved.
pub(super) fn attempt_outcome(
    tracker: &MachineTracker,
    attempt: &TaskAttempt,
    cache: &WatchCache,
) -> Option<AttemptOutcome> {
    match tracker.presence(attempt) {
        TaskPresence::Exited(ExitReason::Done) => Some(AttemptOutcome::Done),
        TaskPresence::Exited(exit_reason) => Some(AttemptOutcome::Exited(exit_reason)),
        TaskPresence::Absent
            if tracker.stops.contains_key(attempt)
                || !tracker.launchable.contains(attempt)
                || !cache.jobs.contains_key(&attempt.task.job) =>
        {
            Some(AttemptOutcome::Absent)
        }
        _ => None,
    }
}

/// What a record lacks, if anything, and how much it is worth to write it.
pub(super) fn unwritten(
    tracker: &MachineTracker,
    machine: &LiveMachine,
    cache: &WatchCache,
    touch: bool,
    now: MonotonicTime,
) -> Option<UnwrittenChanges> {
    let mut unwritten = UnwrittenChanges {
        since: tracker.unwritten.as_ref().map_or(now, |r| r.since),
        incoming: tracker.incoming.len(),
        ended: Vec::new(),
        freed: Resources::default(),
        idle: false,
        urgent: touch,
    };
    let waited_for = |kind: JobKind| kind != JobKind::Array;
    unwritten.urgent |= tracker.incoming.iter().any(|i| waited_for(i.spec.kind));
    for (attempt, placed) in machine.record.runs() {
        let Some(end) = attempt_outcome(tracker, &attempt, cache) else {
            continue;
        };
        unwritten.freed = unwritten.freed + placed.need;
        if let Some(job) = cache.jobs.get(&attempt.task.job) {
            // A failure waits to be tried elsewhere.
            unwritten.urgent |= waited_for(job.spec.kind) || end != AttemptOutcome::Done;
        }
        unwritten.ended.push((attempt, end == AttemptOutcome::Done));
    }
    unwritten.idle =
        unwritten.incoming == 0 && unwritten.ended.len() == machine.record.runs().count();
    (touch || unwritten.incoming > 0 || !unwritten.ended.is_empty()).then_some(unwritten)
}
