//! Decisions for all machines of the shards that this controller holds. No I/O: effects are
//! returned, and their outcomes come back as calls.

mod allotments;
mod commands;
mod records;

use super::machine_tracker::{
    DirectLaunch, Incoming, MachineTracker, PendingTxn, TaskPresence, UnwrittenChanges,
};
use crate::config::Config;
use crate::ids::{
    FencingToken, HeartbeatSequence, Incarnation, JobId, MachineId, Member, Millis, MonotonicTime,
    Resources, Revision, ShardId, TaskAttempt, WorkerEpoch,
};
use crate::peers::{
    Allotment, AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message, ShardFence,
};
use crate::protocol::store::Txn;
use crate::protocol::{Command, ExitReason, Heartbeat, JobKind, JobSpec, TaskState};
use crate::store::machine_record::{MachineRecord, size};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::watch_cache::{LiveJob, LiveMachine, WatchCache};
use crate::store::{TxnOutcome, keys};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

#[derive(Debug)]
pub(crate) enum Effect {
    /// Run a transaction; its outcome goes to [`ShardOwner::on_txn`].
    Txn {
        machine: MachineId,
        txn: Txn,
    },
    /// Send commands to a worker; the outcome goes to [`ShardOwner::on_call`].
    Call {
        machine: MachineId,
        addr: String,
        token: FencingToken,
        epoch: WorkerEpoch,
        commands: Vec<Command>,
    },
    ToLeader(Message),
    /// A machine that has no record and answers. Its first placement writes one: until then it
    /// stands in the watch caches alone, and costs no change.
    Found(MachineId, MachineRecord),
    /// Such a machine has said nothing for long.
    Lost(MachineId),
    /// Rewrite the record of a shard that we hold, so that its token rises.
    RenewShard(ShardId),
}

#[derive(Debug)]
pub(crate) enum HeartbeatAnswer {
    Commands(FencingToken, Vec<Command>),
    /// Another controller holds the machine, or may.
    Redirect(Option<Member>),
}

/// What became of a direct command.
#[derive(Debug)]
pub(crate) enum DirectCallOutcome {
    Done(Heartbeat),
    Rejected(Option<Heartbeat>),
    NotSent,
    Unknown,
}

const CALL_RETRY_DELAY: Millis = Millis(700);
const TXN_RETRY_DELAY: Millis = Millis(250);
const STOP_RETRY_INTERVAL: Millis = Millis(2000);
/// How long an allotment waits for the watch cache to bring its job.
const ALLOTMENT_WAIT_LIMIT: Millis = Millis(1500);
/// An allotment that finds no change for its record by then is given back: left without an answer
/// the leader would void it by rewriting the whole shard, and all that is under way there.
const PLACEMENT_EXPIRY: Millis = Millis(5000);
const HEALTH_INTERVAL: Millis = Millis(1000);
/// Exited tasks that a worker goes on listing because their direct starts could be repeated.
/// More of them, and the machine's token rises: fewer would be calls, more is longer heartbeats.
const MAX_UNFORGETTABLE_TASKS: usize = 24;
const COMMAND_BATCH: usize = 200;
/// The part of the key-value store's changes that machines' records may use, over all owners: the
/// rest is for what users ask and for what the leader records.
const RECORD_WRITE_SHARE: f64 = 0.7;
/// A machine without a record that is silent for so long is forgotten: nothing was placed there.
const UNRECORDED_MACHINE_TIMEOUT: Millis = Millis(30_000);
/// While changes are scarce, whatever comes to a machine within this time shares one.
const WRITE_BATCH_DELAY: Millis = Millis(200);
/// While this part of a second's worth is unused, nothing waits for others to share its change.
const IDLE_BUDGET_FRACTION: f64 = 0.9;
/// Desks that have their turn at once.
const TRACKERS_PER_BATCH: usize = 100;
/// Which records are worth writing is looked at again after a millisecond for so many of them.
const UNWRITTEN_MACHINES_PER_MS: usize = 8;
/// While controllers can't reach each other a machine gets the time to find another one that hands
/// its heartbeats on: two tries that hang, and a second after each.
const RELAY_GRACE_PERIOD: Millis = Millis(10_000);
/// A machine that has not answered by then is asked again at its next heartbeat.
const PROBE_RETRY_INTERVAL: Millis = Millis(3000);

pub(crate) struct ShardOwner {
    member: Member,
    incarnation: Incarnation,
    shards: u32,
    txn_ops: usize,
    value_bytes: usize,
    segment_tasks: u32,
    write_rps: f64,
    heartbeat_interval: Millis,
    worker_lease: Millis,
    trackers: BTreeMap<MachineId, MachineTracker>,
    /// Machines whose records are to change, written by worth as the changes allow.
    unwritten: BTreeSet<MachineId>,
    records: TokenBucket,
    /// Machines that are asked for the first time.
    probed: BTreeMap<MachineId, MonotonicTime>,
    /// The leader that was told of ends.
    leader: Option<Revision>,
    /// The shards that the trackers were last compared with.
    held: BTreeMap<ShardId, Revision>,
    waiting: Vec<(MonotonicTime, Allotment)>,
    next_health: MonotonicTime,
    /// All trackers are to be compared with the watch cache, not only those of machines that changed.
    compare_all: bool,
    /// Up to here trackers had their turn.
    batch_end: Option<MachineId>,
    next_flush: MonotonicTime,
    /// Something that nothing may hold back has ripened.
    urgent: bool,
    /// Machines of others that reported here since the leader was told last.
    misdirected: BTreeSet<MachineId>,
    /// Some controllers can't reach each other, and machines perhaps neither.
    pub partitioned: bool,
}

impl ShardOwner {
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            member: config.member.clone(),
            incarnation,
            shards: config.shards(),
            txn_ops: config.state.txn_ops,
            value_bytes: config.state.value_bytes,
            segment_tasks: config.segment_tasks(),
            write_rps: config.state.rates.changes,
            heartbeat_interval: config.heartbeat_interval,
            worker_lease: config.worker_lease,
            trackers: BTreeMap::new(),
            unwritten: BTreeSet::new(),
            records: TokenBucket::new(config.state.rates.changes * RECORD_WRITE_SHARE),
            probed: BTreeMap::new(),
            leader: None,
            held: BTreeMap::new(),
            waiting: Vec::new(),
            next_health: MonotonicTime::default(),
            compare_all: true,
            batch_end: None,
            next_flush: MonotonicTime::default(),
            urgent: false,
            misdirected: BTreeSet::new(),
            partitioned: false,
        }
    }

    /// How many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_change_rate(&mut self, changes: f64) {
        self.write_rps = changes;
    }

    /// The longest that a heartbeat which comes straight can be away.
    fn direct_heartbeat_timeout(&self) -> Millis {
        self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000)
    }

    pub(crate) fn missing_machines(&self, now: MonotonicTime) -> Vec<MachineId> {
        let direct_heartbeat_timeout = self.direct_heartbeat_timeout();
        let since_direct_heartbeat = self
            .trackers
            .iter()
            .filter(|(_, d)| d.is_missing(now, direct_heartbeat_timeout));
        since_direct_heartbeat.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a heartbeat that another controller hands on is taken: from machines that can't bring
    /// it here. Now and then they are sent to try all the same.
    pub(crate) fn accepts_relayed(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        let (direct_heartbeat_timeout, worker_lease) =
            (self.direct_heartbeat_timeout(), self.worker_lease);
        let tracker = self.trackers.get_mut(id);
        tracker.is_some_and(|d| d.accepts_relayed(now, direct_heartbeat_timeout, worker_lease))
    }

    fn fence(&self, cache: &WatchCache, shard: ShardId) -> Option<Revision> {
        let record = cache.shards.get(&shard)?;
        let mine =
            record.value.owner == self.member && record.value.incarnation == self.incarnation;
        mine.then_some(record.revision)
    }

    /// Tasks seen running on a machine, for display.
    pub(crate) fn tracked_count(&self) -> usize {
        self.trackers.len()
    }

    /// The shards held here in which all tasks of a cancelled job are proved gone, but for those
    /// on machines that are deleted. With `known` it suffices that the machines obey this shard owner
    /// alone, which knows of the cancellation.
    pub(crate) fn cleared_shards(
        &self,
        job: &JobId,
        known: bool,
        deleted: impl Fn(&MachineId) -> bool,
        cache: &WatchCache,
    ) -> Vec<ShardFence> {
        let open = |id: &MachineId| {
            let (Some(tracker), Some(machine)) = (self.trackers.get(id), cache.machines.get(id))
            else {
                return true;
            };
            let mut attempts = machine.record.runs().filter(|(r, _)| r.task.job == *job);
            let alone = known && tracker.confirmed && !tracker.superseded;
            !alone && !attempts.all(|(attempt, _)| tracker.is_gone(&attempt))
        };
        let unsettled: BTreeSet<ShardId> = cache
            .machines_with_job(job)
            .filter(|id| !deleted(id) && open(id))
            .map(|id| id.shard(self.shards))
            .collect();
        let held = cache.shards.keys().filter_map(|b| {
            let fence = self.fence(cache, *b)?;
            (!unsettled.contains(b)).then_some(ShardFence { shard: *b, fence })
        });
        held.collect()
    }

    /// Whether nothing has shown for so long that a machine held here can be used. One that obeys
    /// a higher token is another shard owner's by now, and only seems silent from here.
    pub(crate) fn is_silent(&self, now: MonotonicTime, id: &MachineId, for_long: Millis) -> bool {
        let tracker = self.trackers.get(id);
        tracker.is_some_and(|d| !d.superseded && d.silent(now) >= for_long)
    }

    /// Whether a placement here is proved gone, though it may still stand on record.
    pub(crate) fn is_gone(&self, attempt: &TaskAttempt) -> bool {
        self.trackers.values().any(|d| d.reported.contains(attempt))
    }

    /// Brings the trackers in line with the shards that the watch cache says we hold.
    pub(crate) fn reconcile(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.track_machines(now, &BTreeSet::new(), cache);
        self.place_waiting(now, cache, out);
        self.probed
            .retain(|_, at| now.since(*at) < PROBE_RETRY_INTERVAL);
        let owners = cache.members.len().max(1) as f64;
        self.records
            .set_rate(now, self.write_rps * RECORD_WRITE_SHARE / owners);
        for id in self.next_batch() {
            self.step(now, &id, cache, out);
        }
        self.flush(now, cache, out);
        self.report_freed(cache, out);
        let unrecorded = |id: &MachineId| {
            let machine = cache.machines.get(id);
            machine.is_some_and(|m| m.revision == Revision(0))
        };
        let silent = self
            .trackers
            .iter()
            .filter(|(_, d)| d.silent(now) >= UNRECORDED_MACHINE_TIMEOUT);
        let lost = silent.filter(|(id, d)| unrecorded(id) && d.txn.is_none());
        out.extend(lost.map(|(id, _)| Effect::Lost(id.clone())));
        if now >= self.next_health {
            self.next_health = now + HEALTH_INTERVAL;
            let health: Vec<MachineHealth> = self
                .trackers
                .iter()
                .map(|(id, tracker)| {
                    let mut health = health(id, tracker, now, cache);
                    if self.partitioned && !tracker.is_relayed() {
                        health.silent =
                            Millis(health.silent.0.saturating_sub(RELAY_GRACE_PERIOD.0));
                    }
                    health
                })
                .collect();
            if !health.is_empty() {
                out.push(Effect::ToLeader(Message::Health(health)));
            }
            let misdirected = std::mem::take(&mut self.misdirected);
            if !misdirected.is_empty() {
                let misdirected = Message::MisdirectedHeartbeats(misdirected.into_iter().collect());
                out.push(Effect::ToLeader(misdirected));
            }
        }
    }

    /// The watch cache was read anew, or a machine was found without a change of it: on a quiet day no
    /// change would bring its tracker (seen with real processes, entry 54be1785).
    pub(crate) fn compare_all_trackers(&mut self) {
        self.compare_all = true;
    }

    /// The trackers whose turn it is. What comes from a machine or changes its record drives its tracker
    /// at once; the turns are for what only time makes due, and one costs the same on any fleet.
    fn next_batch(&mut self) -> Vec<MachineId> {
        let after = match &self.batch_end {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.trackers.range((after, Bound::Unbounded));
        let ids: Vec<MachineId> = rest
            .map(|(id, _)| id.clone())
            .take(TRACKERS_PER_BATCH)
            .collect();
        self.batch_end = ids
            .last()
            .filter(|_| ids.len() == TRACKERS_PER_BATCH)
            .cloned();
        ids
    }

    /// Opens trackers for machines that came, closes those of machines or shards that went, and
    /// starts afresh those whose shard was rewritten.
    fn track_machines(
        &mut self,
        now: MonotonicTime,
        touched: &BTreeSet<MachineId>,
        cache: &WatchCache,
    ) {
        let held: BTreeMap<ShardId, Revision> = cache
            .shards
            .keys()
            .filter_map(|b| Some((*b, self.fence(cache, *b)?)))
            .collect();
        let all = std::mem::take(&mut self.compare_all) || held != self.held;
        self.held = held;
        if !all {
            for id in touched {
                self.track_machine(now, id, cache);
            }
            return;
        }
        let ids: BTreeSet<MachineId> = self.trackers.keys().cloned().collect();
        let machines = cache.machines.keys().filter(|id| !ids.contains(*id));
        for id in ids.iter().chain(machines) {
            self.track_machine(now, id, cache);
        }
    }

    fn track_machine(&mut self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) {
        let fence = self.held.get(&id.shard(self.shards)).copied();
        let (Some(fence), Some(machine)) = (fence, cache.machines.get(id)) else {
            self.trackers.remove(id);
            self.unwritten.remove(id);
            return;
        };
        match self.trackers.get_mut(id) {
            None => {
                let tracker = MachineTracker::new(fence, &machine.record.addr, now);
                self.trackers.insert(id.clone(), tracker);
            }
            Some(tracker) if tracker.fence != fence => tracker.reset(fence, now),
            Some(_) => {}
        }
    }

    /// After changes of the watch cache: only what they touched is looked at, the rest in its turn.
    pub(crate) fn on_changed(
        &mut self,
        now: MonotonicTime,
        machines: &BTreeSet<MachineId>,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.track_machines(now, machines, cache);
        self.place_waiting(now, cache, out);
        for id in machines {
            self.step(now, id, cache, out);
        }
        self.flush(now, cache, out);
    }

    /// Tells the leader of ends before they are written: the room can be given out again, so
    /// that one change writes the end and the next placement; and a job whose tasks are all done
    /// ends without waiting for records. A new leader is told anew.
    fn report_freed(&mut self, cache: &WatchCache, out: &mut Vec<Effect>) {
        let leader = cache.leader.as_ref().map(|l| l.revision);
        if self.leader != leader {
            self.leader = leader;
            self.trackers.values_mut().for_each(|d| d.reported.clear());
        }
        let mut freed = Vec::new();
        for id in &self.unwritten {
            let Some(tracker) = self.trackers.get_mut(id) else {
                continue;
            };
            for (attempt, done) in tracker.unwritten.iter().flat_map(|r| &r.ended) {
                // Once told it is never started again, whatever becomes of the reason.
                tracker.launchable.remove(attempt);
                if tracker.reported.insert(attempt.clone()) {
                    freed.push(FreedAttempt {
                        machine: id.clone(),
                        attempt: attempt.clone(),
                        done: *done,
                    });
                }
            }
        }
        if !freed.is_empty() {
            out.push(Effect::ToLeader(Message::Freed(freed)));
        }
    }

    /// Answers a worker's heartbeat, which came straight or through another controller.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        relayed: bool,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) -> HeartbeatAnswer {
        let shard = heartbeat.machine.shard(self.shards);
        let Some(fence) = self.fence(cache, shard) else {
            let owner = cache.shards.get(&shard).map(|b| b.value.owner.clone());
            self.misdirected.insert(heartbeat.machine.clone());
            return HeartbeatAnswer::Redirect(owner.filter(|h| *h != self.member));
        };
        if heartbeat.token.fence() > fence {
            if let Some(tracker) = self.trackers.get_mut(&heartbeat.machine) {
                tracker.superseded = true;
            }
            return HeartbeatAnswer::Redirect(None);
        }
        if !cache.machines.contains_key(&heartbeat.machine) {
            self.probe_unknown(now, heartbeat, fence, out);
            return HeartbeatAnswer::Commands(at_least(fence, heartbeat), Vec::new());
        }
        let id = &heartbeat.machine;
        let Some(tracker) = self.trackers.get_mut(id) else {
            // The watch cache has just brought the shard or the machine: the tracker opens at once.
            return HeartbeatAnswer::Commands(at_least(fence, heartbeat), Vec::new());
        };
        let first_word =
            !tracker.confirmed || heartbeat.notice_s.is_some() != tracker.notice.is_some();
        let newest = (heartbeat.epoch, heartbeat.sequence) > (tracker.epoch, tracker.sequence)
            || tracker.sequence == HeartbeatSequence(0);
        tracker.apply_heartbeat(heartbeat, true, now);
        if newest && !relayed {
            tracker.on_direct_heartbeat(now);
        }
        let token = tracker.token();
        let commands = if newest && !tracker.superseded {
            self.commands(now, id, cache, false)
        } else {
            Vec::new()
        };
        if first_word && let Some(tracker) = self.trackers.get(id) {
            let message = Message::Health(vec![health(id, tracker, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.step(now, id, cache, out);
        self.flush(now, cache, out);
        HeartbeatAnswer::Commands(token, commands)
    }

    /// A machine without a record: new, one that nobody expected, or one that is long deleted
    /// and of which a copy of a heartbeat has come late. Only a live one answers when it is asked.
    fn probe_unknown(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        fence: Revision,
        out: &mut Vec<Effect>,
    ) {
        if self.probed.contains_key(&heartbeat.machine) {
            return;
        }
        self.probed.insert(heartbeat.machine.clone(), now);
        out.push(Effect::Call {
            machine: heartbeat.machine.clone(),
            addr: heartbeat.addr.clone(),
            token: at_least(fence, heartbeat),
            epoch: heartbeat.epoch,
            commands: Vec::new(),
        });
    }

    pub(crate) fn on_call(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        fence: FencingToken,
        outcome: DirectCallOutcome,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            let held = self.fence(cache, id.shard(self.shards));
            if let DirectCallOutcome::Done(heartbeat) = &outcome
                && held == Some(fence.fence())
                && !cache.machines.contains_key(id)
                && heartbeat.machine == *id
            {
                let (kind, zone) = (&heartbeat.type_name, &heartbeat.zone);
                let record = MachineRecord::new(&heartbeat.addr, kind, zone, heartbeat.spot);
                out.push(Effect::Found(id.clone(), record));
            }
            return;
        };
        let commands = tracker.call.take().unwrap_or_default();
        let current = tracker.token() == fence;
        let was_confirmed = tracker.confirmed;
        match outcome {
            DirectCallOutcome::Done(heartbeat) => {
                if current {
                    tracker.record_launch_outcomes(&commands, DirectLaunch::Answered);
                }
                tracker.mark_reached(now);
                tracker.apply_heartbeat(&heartbeat, false, now);
            }
            DirectCallOutcome::Rejected(heartbeat) => {
                if current {
                    tracker.record_launch_outcomes(&commands, DirectLaunch::No);
                }
                tracker.next_call = now + Millis(50);
                if let Some(heartbeat) = heartbeat {
                    tracker.mark_reached(now);
                    tracker.apply_heartbeat(&heartbeat, false, now);
                }
            }
            DirectCallOutcome::NotSent | DirectCallOutcome::Unknown => {
                let direct = if matches!(outcome, DirectCallOutcome::NotSent) {
                    DirectLaunch::No
                } else {
                    DirectLaunch::Unknown
                };
                if current {
                    tracker.record_launch_outcomes(&commands, direct);
                }
                tracker.failed_calls += 1;
                tracker.next_call = now + CALL_RETRY_DELAY;
            }
        }
        if tracker.confirmed && !was_confirmed {
            let message = Message::Health(vec![health(id, tracker, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.step(now, id, cache, out);
        self.flush(now, cache, out);
    }

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
            tracker.stops.entry(attempt).or_insert((grace, None));
            self.step(now, id, cache, out);
        }
    }

    pub(crate) fn on_txn(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        outcome: &TxnOutcome,
        cache: &mut WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        let Some(pending) = tracker.txn.take() else {
            return;
        };
        match outcome {
            TxnOutcome::Committed(revision) => {
                let type_name = pending.record.type_name.clone();
                cache.put_machine(id.clone(), pending.record, *revision);
                if let Some(machine) = cache.machines.get(id) {
                    tracker
                        .incoming
                        .retain(|i| !machine.record.holds(&i.attempt));
                }
                for (attempt, end) in pending.ended {
                    tracker.stops.remove(&attempt);
                    tracker.reported.remove(&attempt);
                    let ran = tracker.running_since.get(&attempt).map(|at| now.since(*at));
                    let job = cache.jobs.get(&attempt.task.job);
                    out.push(Effect::ToLeader(Message::EndedAttempt(EndedAttempt {
                        machine: id.clone(),
                        revision: *revision,
                        type_name: type_name.clone(),
                        estimate_s: job.map_or(0.0, |j| j.spec.estimate_s),
                        pipeline: job.map(|j| j.spec.pipeline.clone()),
                        end,
                        ran,
                        attempt,
                    })));
                }
            }
            TxnOutcome::Failed(_, revision) => {
                // The watch cache is behind: once it has caught up, the change is built anew from it.
                tracker.retry_revision = *revision;
                tracker.retry_at = now + TXN_RETRY_DELAY;
            }
            TxnOutcome::Refused => tracker.retry_at = now + TXN_RETRY_DELAY,
            TxnOutcome::Invalid => {
                tracing::info!(machine = %id, bytes = pending.record.size(), "machine record is too large for the key-value store");
                tracker.too_large = true;
                tracker.retry_at = now + TXN_RETRY_DELAY;
            }
            TxnOutcome::Unknown => {
                // It may be applied late, but only while the record stands as it did.
                if tracker.fence == pending.fence {
                    tracker.uncertain = cache.machines.get(id).map(|m| m.revision);
                }
                tracker.retry_at = now + TXN_RETRY_DELAY;
            }
        }
        self.step(now, id, cache, out);
        self.flush(now, cache, out);
    }

    /// Does for one machine whatever is due; what its record lacks waits for [`Self::flush`].
    fn step(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.note_unwritten(now, id, cache, out);
        self.command(now, id, cache, out);
    }
}

/// The token for a machine without a tracker: one that had a tracker of ours before may have seen it
/// raised, and drops what carries a lower one.
fn at_least(fence: Revision, heartbeat: &Heartbeat) -> FencingToken {
    let base = FencingToken::of(fence, 0);
    if heartbeat.token.fence() == fence {
        base.max(heartbeat.token)
    } else {
        base
    }
}

fn health(
    id: &MachineId,
    tracker: &MachineTracker,
    now: MonotonicTime,
    cache: &WatchCache,
) -> MachineHealth {
    let gang = |attempt: &TaskAttempt| {
        cache
            .jobs
            .get(&attempt.task.job)
            .is_some_and(|j| j.spec.kind == JobKind::Gang)
    };
    MachineHealth {
        machine: id.clone(),
        fence: tracker.fence,
        silent: tracker.silent(now),
        since_direct_heartbeat: tracker.since_direct_heartbeat(now),
        confirmed: tracker.confirmed && !tracker.superseded,
        notice: tracker.notice.map(|at| at.since(now)),
        unrecorded: cache
            .machines
            .get(id)
            .filter(|m| m.revision == Revision(0))
            .map(|m| m.record.clone()),
        gangs: tracker
            .running_since
            .keys()
            .filter(|attempt| gang(attempt))
            .map(|attempt| (attempt.task.job.clone(), attempt.number))
            .collect(),
    }
}
