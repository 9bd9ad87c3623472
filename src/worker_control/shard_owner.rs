//! Decisions for all machines of the blocks that this controller holds. No I/O: effects are
//! returned, and their outcomes come back as calls.

mod allotments;
mod commands;
mod records;

use super::desk::{Desk, Direct, Incoming, PendingTxn, Presence, Ripe};
use crate::config::Config;
use crate::ids::{
    FencingToken, HeartbeatSequence, Incarnation, JobId, MachineId, Member, Millis, MonotonicTime,
    Resources, Revision, ShardId, TaskAttempt, WorkerEpoch,
};
use crate::peers::{Allotment, AttemptOutcome, EndedAttempt, MachineHealth, Message};
use crate::protocol::store::Txn;
use crate::protocol::{Command, ExitReason, Heartbeat, JobKind, JobSpec, TaskState};
use crate::store::machine_record::{MachineRecord, size};
use crate::store::tokens::{Bucket, Class};
use crate::store::watch_cache::{LiveJob, LiveMachine, WatchCache};
use crate::store::{TxnOutcome, keys};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

#[derive(Debug)]
pub enum Effect {
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
    /// stands in the mirrors alone, and costs no change.
    Found(MachineId, MachineRecord),
    /// Such a machine has said nothing for long.
    Lost(MachineId),
    /// Rewrite the record of a block that we hold, so that its token rises.
    RenewShard(ShardId),
}

#[derive(Debug)]
pub enum HeartbeatAnswer {
    Commands(FencingToken, Vec<Command>),
    /// Another controller holds the machine, or may.
    Redirect(Option<Member>),
}

/// What became of a direct command.
#[derive(Debug)]
pub enum CallOutcome {
    Done(Heartbeat),
    Rejected(Option<Heartbeat>),
    NotSent,
    Unknown,
}

const CALL_RETRY: Millis = Millis(700);
const TXN_RETRY: Millis = Millis(250);
const STOP_RETRY: Millis = Millis(2000);
/// How long an allotment waits for the mirror to bring its job.
const ALLOT_PATIENCE: Millis = Millis(1500);
/// An allotment that finds no change for its record by then is given back: left without an answer
/// the leader would void it by rewriting the whole block, and all that is under way there.
const GIVEN_BACK: Millis = Millis(5000);
const HEALTH: Millis = Millis(1000);
/// Exited tasks that a worker goes on listing because their direct starts could be repeated.
/// More of them, and the machine's token rises: fewer would be calls, more is longer reports.
const KEPT: usize = 24;
const COMMAND_BATCH: usize = 200;
/// The part of the state service's changes that machines' records may use, over all holders: the
/// rest is for what users ask and for what the leader records.
const RECORDS_SHARE: f64 = 0.7;
/// A machine without a record that is silent for so long is forgotten: nothing was placed there.
const LOST: Millis = Millis(30_000);
/// While changes are scarce, whatever comes to a machine within this time shares one.
const GATHER: Millis = Millis(200);
/// While this part of a second's worth is unused, nothing waits for others to share its change.
const LEISURE: f64 = 0.9;
/// Desks that have their turn at once.
const TURNS: usize = 100;
/// Which records are worth writing is looked at again after a millisecond for so many of them.
const RIPE_PER_MS: usize = 8;
/// While controllers can't reach each other a machine gets the time to find another one that hands
/// its reports on: two tries that hang, and a second after each.
const DETOUR: Millis = Millis(10_000);
/// A machine that has not answered by then is asked again at its next report.
const GREET_AGAIN: Millis = Millis(3000);

pub struct ShardOwner {
    me: Member,
    incarnation: Incarnation,
    shards: u32,
    txn_ops: usize,
    value_bytes: usize,
    segment_tasks: u32,
    write_rps: f64,
    heartbeat_interval: Millis,
    worker_lease: Millis,
    desks: BTreeMap<MachineId, Desk>,
    /// Machines whose records are to change, written by worth as the changes allow.
    ripe: BTreeSet<MachineId>,
    records: Bucket,
    /// Machines that are asked for the first time.
    greeted: BTreeMap<MachineId, MonotonicTime>,
    /// The leader that was told of ends.
    leader: Option<Revision>,
    /// The blocks that the desks were last compared with.
    held: BTreeMap<ShardId, Revision>,
    waiting: Vec<(MonotonicTime, Allotment)>,
    next_health: MonotonicTime,
    /// All desks are to be compared with the mirror, not only those of machines that changed.
    compare: bool,
    /// Up to here desks had their turn.
    turned: Option<MachineId>,
    next_flush: MonotonicTime,
    /// Something that nothing may hold back has ripened.
    urgent: bool,
    /// Machines of others that reported here since the leader was told last.
    strays: BTreeSet<MachineId>,
    /// Some controllers can't reach each other, and machines perhaps neither.
    pub cut: bool,
}

impl ShardOwner {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            me: config.member.clone(),
            incarnation,
            shards: config.shards(),
            txn_ops: config.state.txn_ops,
            value_bytes: config.state.value_bytes,
            segment_tasks: config.segment_tasks(),
            write_rps: config.state.rates.changes,
            heartbeat_interval: config.heartbeat_interval,
            worker_lease: config.worker_lease,
            desks: BTreeMap::new(),
            ripe: BTreeSet::new(),
            records: Bucket::new(config.state.rates.changes * RECORDS_SHARE),
            greeted: BTreeMap::new(),
            leader: None,
            held: BTreeMap::new(),
            waiting: Vec::new(),
            next_health: MonotonicTime::default(),
            compare: true,
            turned: None,
            next_flush: MonotonicTime::default(),
            urgent: false,
            strays: BTreeSet::new(),
            cut: false,
        }
    }

    /// How many changes the state service takes in a second from all controllers.
    pub fn set_change_rate(&mut self, changes: f64) {
        self.write_rps = changes;
    }

    /// The longest that a report which comes straight can be away.
    fn straight(&self) -> Millis {
        self.heartbeat_interval + Millis(self.heartbeat_interval.0 / 4 + 1000)
    }

    pub fn misses(&self, now: MonotonicTime) -> Vec<MachineId> {
        let straight = self.straight();
        let missed = self
            .desks
            .iter()
            .filter(|(_, d)| d.is_missed(now, straight));
        missed.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a report that another controller hands on is taken: from machines that can't bring
    /// it here. Now and then they are sent to try all the same.
    pub fn takes_relayed(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        let (straight, worker_lease) = (self.straight(), self.worker_lease);
        let desk = self.desks.get_mut(id);
        desk.is_some_and(|d| d.takes_relayed(now, straight, worker_lease))
    }

    fn fence(&self, cache: &WatchCache, shard: ShardId) -> Option<Revision> {
        let record = cache.shards.get(&shard)?;
        let mine = record.value.owner == self.me && record.value.incarnation == self.incarnation;
        mine.then_some(record.revision)
    }

    /// Tasks seen running on a machine, for display.
    pub fn desk_count(&self) -> usize {
        self.desks.len()
    }

    /// The blocks held here in which all tasks of a cancelled job are proved gone, but for those
    /// on machines that are deleted. With `known` it suffices that the machines obey this holder
    /// alone, which knows of the cancellation.
    pub fn settled(
        &self,
        job: &JobId,
        known: bool,
        deleted: impl Fn(&MachineId) -> bool,
        cache: &WatchCache,
    ) -> Vec<(ShardId, Revision)> {
        let open = |id: &MachineId| {
            let (Some(desk), Some(machine)) = (self.desks.get(id), cache.machines.get(id)) else {
                return true;
            };
            let mut attempts = machine.record.runs().filter(|(r, _)| r.task.job == *job);
            let alone = known && desk.confirmed && !desk.superseded;
            !alone && !attempts.all(|(attempt, _)| desk.is_gone(&attempt))
        };
        let unsettled: BTreeSet<ShardId> = cache
            .carriers(job)
            .filter(|id| !deleted(id) && open(id))
            .map(|id| id.shard(self.shards))
            .collect();
        let held = cache.shards.keys().filter_map(|b| {
            let fence = self.fence(cache, *b)?;
            (!unsettled.contains(b)).then_some((*b, fence))
        });
        held.collect()
    }

    /// Whether nothing has shown for so long that a machine held here can be used. One that obeys
    /// a higher token is another holder's by now, and only seems silent from here.
    pub fn is_silent(&self, now: MonotonicTime, id: &MachineId, for_long: Millis) -> bool {
        let desk = self.desks.get(id);
        desk.is_some_and(|d| !d.superseded && d.silent(now) >= for_long)
    }

    /// Whether a placement here is proved gone, though it may still stand on record.
    pub fn is_gone(&self, attempt: &TaskAttempt) -> bool {
        self.desks.values().any(|d| d.told.contains(attempt))
    }

    /// Brings the desks in line with the blocks that the mirror says we hold.
    pub fn sync(&mut self, now: MonotonicTime, cache: &WatchCache, out: &mut Vec<Effect>) {
        self.open_desks(now, &BTreeSet::new(), cache);
        self.place_waiting(now, cache, out);
        self.greeted.retain(|_, at| now.since(*at) < GREET_AGAIN);
        let owners = cache.members.len().max(1) as f64;
        self.records
            .set_rate(now, self.write_rps * RECORDS_SHARE / owners);
        for id in self.next_turns() {
            self.drive(now, &id, cache, out);
        }
        self.flush(now, cache, out);
        self.tell_freed(cache, out);
        let unrecorded = |id: &MachineId| {
            let machine = cache.machines.get(id);
            machine.is_some_and(|m| m.revision == Revision(0))
        };
        let silent = self.desks.iter().filter(|(_, d)| d.silent(now) >= LOST);
        let lost = silent.filter(|(id, d)| unrecorded(id) && d.txn.is_none());
        out.extend(lost.map(|(id, _)| Effect::Lost(id.clone())));
        if now >= self.next_health {
            self.next_health = now + HEALTH;
            let health: Vec<MachineHealth> = self
                .desks
                .iter()
                .map(|(id, desk)| {
                    let mut health = health(id, desk, now, cache);
                    if self.cut && !desk.is_relayed() {
                        health.silent = Millis(health.silent.0.saturating_sub(DETOUR.0));
                    }
                    health
                })
                .collect();
            if !health.is_empty() {
                out.push(Effect::ToLeader(Message::Health(health)));
            }
            let strays = std::mem::take(&mut self.strays);
            if !strays.is_empty() {
                let strays = Message::Strays(strays.into_iter().collect());
                out.push(Effect::ToLeader(strays));
            }
        }
    }

    /// The mirror was read anew, or a machine was found without a change of it: on a quiet day no
    /// change would bring its desk (seen with real processes, entry 54be1785).
    pub fn look_again(&mut self) {
        self.compare = true;
    }

    /// The desks whose turn it is. What comes from a machine or changes its record drives its desk
    /// at once; the turns are for what only time makes due, and one costs the same on any fleet.
    fn next_turns(&mut self) -> Vec<MachineId> {
        let after = match &self.turned {
            Some(id) => Bound::Excluded(id.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.desks.range((after, Bound::Unbounded));
        let ids: Vec<MachineId> = rest.map(|(id, _)| id.clone()).take(TURNS).collect();
        self.turned = ids.last().filter(|_| ids.len() == TURNS).cloned();
        ids
    }

    /// Opens desks for machines that came, closes those of machines or blocks that went, and
    /// starts afresh those whose block was rewritten.
    fn open_desks(
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
        let all = std::mem::take(&mut self.compare) || held != self.held;
        self.held = held;
        if !all {
            for id in touched {
                self.open_desk(now, id, cache);
            }
            return;
        }
        let ids: BTreeSet<MachineId> = self.desks.keys().cloned().collect();
        let machines = cache.machines.keys().filter(|id| !ids.contains(*id));
        for id in ids.iter().chain(machines) {
            self.open_desk(now, id, cache);
        }
    }

    fn open_desk(&mut self, now: MonotonicTime, id: &MachineId, cache: &WatchCache) {
        let fence = self.held.get(&id.shard(self.shards)).copied();
        let (Some(fence), Some(machine)) = (fence, cache.machines.get(id)) else {
            self.desks.remove(id);
            self.ripe.remove(id);
            return;
        };
        match self.desks.get_mut(id) {
            None => {
                let desk = Desk::new(fence, &machine.record.addr, now);
                self.desks.insert(id.clone(), desk);
            }
            Some(desk) if desk.fence != fence => desk.renew(fence, now),
            Some(_) => {}
        }
    }

    /// After changes of the mirror: only what they touched is looked at, the rest in its turn.
    pub fn on_changed(
        &mut self,
        now: MonotonicTime,
        machines: &BTreeSet<MachineId>,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.open_desks(now, machines, cache);
        self.place_waiting(now, cache, out);
        for id in machines {
            self.drive(now, id, cache, out);
        }
        self.flush(now, cache, out);
    }

    /// Tells the leader of ends before they are written: the room can be given out again, so
    /// that one change writes the end and the next placement; and a job whose tasks are all done
    /// ends without waiting for records. A new leader is told anew.
    fn tell_freed(&mut self, cache: &WatchCache, out: &mut Vec<Effect>) {
        let leader = cache.leader.as_ref().map(|l| l.revision);
        if self.leader != leader {
            self.leader = leader;
            self.desks.values_mut().for_each(|d| d.told.clear());
        }
        let mut freed = Vec::new();
        for id in &self.ripe {
            let Some(desk) = self.desks.get_mut(id) else {
                continue;
            };
            for (attempt, done) in desk.ripe.iter().flat_map(|r| &r.ended) {
                // Once told it is never started again, whatever becomes of the reason.
                desk.fresh.remove(attempt);
                if desk.told.insert(attempt.clone()) {
                    freed.push((id.clone(), attempt.clone(), *done));
                }
            }
        }
        if !freed.is_empty() {
            out.push(Effect::ToLeader(Message::Freed(freed)));
        }
    }

    /// Answers a worker's report, which came straight or through another controller.
    pub fn on_heartbeat(
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
            self.strays.insert(heartbeat.machine.clone());
            return HeartbeatAnswer::Redirect(owner.filter(|h| *h != self.me));
        };
        if heartbeat.token.fence() > fence {
            if let Some(desk) = self.desks.get_mut(&heartbeat.machine) {
                desk.superseded = true;
            }
            return HeartbeatAnswer::Redirect(None);
        }
        if !cache.machines.contains_key(&heartbeat.machine) {
            self.greet(now, heartbeat, fence, out);
            return HeartbeatAnswer::Commands(at_least(fence, heartbeat), Vec::new());
        }
        let id = &heartbeat.machine;
        let Some(desk) = self.desks.get_mut(id) else {
            // The mirror has just brought the block or the machine: the desk opens at once.
            return HeartbeatAnswer::Commands(at_least(fence, heartbeat), Vec::new());
        };
        let first_word = !desk.confirmed || heartbeat.notice_s.is_some() != desk.notice.is_some();
        let newest = (heartbeat.epoch, heartbeat.sequence) > (desk.epoch, desk.sequence)
            || desk.sequence == HeartbeatSequence(0);
        desk.learn(heartbeat, true, now);
        if newest && !relayed {
            desk.on_straight(now);
        }
        let token = desk.token();
        let commands = if newest && !desk.superseded {
            self.commands(now, id, cache, false)
        } else {
            Vec::new()
        };
        if first_word && let Some(desk) = self.desks.get(id) {
            let message = Message::Health(vec![health(id, desk, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.drive(now, id, cache, out);
        self.flush(now, cache, out);
        HeartbeatAnswer::Commands(token, commands)
    }

    /// A machine without a record: new, one that nobody expected, or one that is long deleted
    /// and of which a copy of a report has come late. Only a live one answers when it is asked.
    fn greet(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        fence: Revision,
        out: &mut Vec<Effect>,
    ) {
        if self.greeted.contains_key(&heartbeat.machine) {
            return;
        }
        self.greeted.insert(heartbeat.machine.clone(), now);
        out.push(Effect::Call {
            machine: heartbeat.machine.clone(),
            addr: heartbeat.addr.clone(),
            token: at_least(fence, heartbeat),
            epoch: heartbeat.epoch,
            commands: Vec::new(),
        });
    }

    pub fn on_call(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        fence: FencingToken,
        outcome: CallOutcome,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(desk) = self.desks.get_mut(id) else {
            let held = self.fence(cache, id.shard(self.shards));
            if let CallOutcome::Done(heartbeat) = &outcome
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
        let commands = desk.call.take().unwrap_or_default();
        let current = desk.token() == fence;
        let was_confirmed = desk.confirmed;
        match outcome {
            CallOutcome::Done(heartbeat) => {
                if current {
                    desk.settle(&commands, Direct::Settled);
                }
                desk.reach(now);
                desk.learn(&heartbeat, false, now);
            }
            CallOutcome::Rejected(heartbeat) => {
                if current {
                    desk.settle(&commands, Direct::No);
                }
                desk.next_call = now + Millis(50);
                if let Some(heartbeat) = heartbeat {
                    desk.reach(now);
                    desk.learn(&heartbeat, false, now);
                }
            }
            CallOutcome::NotSent | CallOutcome::Unknown => {
                let direct = if matches!(outcome, CallOutcome::NotSent) {
                    Direct::No
                } else {
                    Direct::Unknown
                };
                if current {
                    desk.settle(&commands, direct);
                }
                desk.failed_calls += 1;
                desk.next_call = now + CALL_RETRY;
            }
        }
        if desk.confirmed && !was_confirmed {
            let message = Message::Health(vec![health(id, desk, now, cache)]);
            out.push(Effect::ToLeader(message));
        }
        self.drive(now, id, cache, out);
        self.flush(now, cache, out);
    }

    pub fn on_stop(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        attempt: TaskAttempt,
        grace: Millis,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        if let Some(desk) = self.desks.get_mut(id) {
            desk.stops.entry(attempt).or_insert((grace, None));
            self.drive(now, id, cache, out);
        }
    }

    pub fn on_txn(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        outcome: &TxnOutcome,
        cache: &mut WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let Some(desk) = self.desks.get_mut(id) else {
            return;
        };
        let Some(pending) = desk.txn.take() else {
            return;
        };
        match outcome {
            TxnOutcome::Committed(revision) => {
                let type_name = pending.record.type_name.clone();
                cache.put_machine(id.clone(), pending.record, *revision);
                if let Some(machine) = cache.machines.get(id) {
                    desk.incoming.retain(|i| !machine.record.holds(&i.attempt));
                }
                for (attempt, end) in pending.ended {
                    desk.stops.remove(&attempt);
                    desk.told.remove(&attempt);
                    let ran = desk.running_since.get(&attempt).map(|at| now.since(*at));
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
                // The mirror is behind: once it has caught up, the change is built anew from it.
                desk.retry_revision = *revision;
                desk.retry_at = now + TXN_RETRY;
            }
            TxnOutcome::Refused => desk.retry_at = now + TXN_RETRY,
            TxnOutcome::Invalid => {
                tracing::info!(machine = %id, bytes = pending.record.size(), "record is too large for the state service");
                desk.too_large = true;
                desk.retry_at = now + TXN_RETRY;
            }
            TxnOutcome::Unknown => {
                // It may be applied late, but only while the record stands as it did.
                if desk.fence == pending.fence {
                    desk.uncertain = cache.machines.get(id).map(|m| m.revision);
                }
                desk.retry_at = now + TXN_RETRY;
            }
        }
        self.drive(now, id, cache, out);
        self.flush(now, cache, out);
    }

    /// Does for one machine whatever is due; what its record lacks waits for [`Self::flush`].
    fn drive(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.ripen(now, id, cache, out);
        self.command(now, id, cache, out);
    }
}

/// The token for a machine without a desk: one that had a desk of ours before may have seen it
/// raised, and drops what carries a lower one.
fn at_least(fence: Revision, heartbeat: &Heartbeat) -> FencingToken {
    let base = FencingToken::of(fence, 0);
    if heartbeat.token.fence() == fence {
        base.max(heartbeat.token)
    } else {
        base
    }
}

fn health(id: &MachineId, desk: &Desk, now: MonotonicTime, cache: &WatchCache) -> MachineHealth {
    let gang = |attempt: &TaskAttempt| {
        cache
            .jobs
            .get(&attempt.task.job)
            .is_some_and(|j| j.spec.kind == JobKind::Gang)
    };
    MachineHealth {
        machine: id.clone(),
        fence: desk.fence,
        silent: desk.silent(now),
        missed: desk.missed(now),
        confirmed: desk.confirmed && !desk.superseded,
        notice: desk.notice.map(|at| at.since(now)),
        unrecorded: cache
            .machines
            .get(id)
            .filter(|m| m.revision == Revision(0))
            .map(|m| m.record.clone()),
        gangs: desk
            .running_since
            .keys()
            .filter(|attempt| gang(attempt))
            .map(|attempt| (attempt.task.job.clone(), attempt.number))
            .collect(),
    }
}
