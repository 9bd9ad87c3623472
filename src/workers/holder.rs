//! Decisions for all machines of the blocks that this controller holds. No I/O: effects are
//! returned, and their outcomes come back as calls.

mod allotments;
mod commands;
mod records;

use super::desk::{Desk, Direct, Incoming, PendingTxn, Presence, Ripe};
use crate::config::Config;
use crate::ids::{
    Amounts, BlockId, Incarnation, JobId, MachineId, Member, Revision, Run, Seq, Session, Span,
    Time, Token,
};
use crate::peers::{Allotment, End, Ended, MachineHealth, Message};
use crate::store::machine_record::{MachineRecord, size};
use crate::store::replica::{LiveJob, LiveMachine, Replica};
use crate::store::tokens::{Bucket, Class};
use crate::store::{TxnOutcome, keys};
use crate::wire::state::Txn;
use crate::wire::{JobSpec, Kind, Order, Report, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

#[derive(Debug)]
pub enum Effect {
    /// Run a transaction; its outcome goes to [`Holder::on_txn`].
    Txn {
        machine: MachineId,
        txn: Txn,
    },
    /// Send commands to a worker; the outcome goes to [`Holder::on_call`].
    Call {
        machine: MachineId,
        addr: String,
        token: Token,
        session: Session,
        orders: Vec<Order>,
    },
    ToLeader(Message),
    /// A machine that has no record and answers. Its first placement writes one: until then it
    /// stands in the mirrors alone, and costs no change.
    Found(MachineId, MachineRecord),
    /// Such a machine has said nothing for long.
    Lost(MachineId),
    /// Rewrite the record of a block that we hold, so that its token rises.
    RenewBlock(BlockId),
}

#[derive(Debug)]
pub enum CheckinAnswer {
    Orders(Token, Vec<Order>),
    /// Another controller holds the machine, or may.
    Elsewhere(Option<Member>),
}

/// What became of a direct command.
#[derive(Debug)]
pub enum CallOutcome {
    Done(Report),
    Rejected(Option<Report>),
    NotSent,
    Unknown,
}

const CALL_RETRY: Span = Span(700);
const TXN_RETRY: Span = Span(250);
const STOP_RETRY: Span = Span(2000);
/// How long an allotment waits for the mirror to bring its job.
const ALLOT_PATIENCE: Span = Span(1500);
/// An allotment that finds no change for its record by then is given back: left without an answer
/// the leader would void it by rewriting the whole block, and all that is under way there.
const GIVEN_BACK: Span = Span(5000);
const HEALTH: Span = Span(1000);
/// Exited tasks that a worker goes on listing because their direct starts could be repeated.
/// More of them, and the machine's token rises: fewer would be calls, more is longer reports.
const KEPT: usize = 24;
const COMMAND_BATCH: usize = 200;
/// The part of the state service's changes that machines' records may use, over all holders: the
/// rest is for what users ask and for what the leader records.
const RECORDS_SHARE: f64 = 0.7;
/// A machine without a record that is silent for so long is forgotten: nothing was placed there.
const LOST: Span = Span(30_000);
/// While changes are scarce, whatever comes to a machine within this time shares one.
const GATHER: Span = Span(200);
/// While this part of a second's worth is unused, nothing waits for others to share its change.
const LEISURE: f64 = 0.9;
/// Desks that have their turn at once.
const TURNS: usize = 100;
/// Which records are worth writing is looked at again after a millisecond for so many of them.
const RIPE_PER_MS: usize = 8;
/// While controllers can't reach each other a machine gets the time to find another one that hands
/// its reports on: two tries that hang, and a second after each.
const DETOUR: Span = Span(10_000);
/// A machine that has not answered by then is asked again at its next report.
const GREET_AGAIN: Span = Span(3000);

pub struct Holder {
    me: Member,
    incarnation: Incarnation,
    blocks: u32,
    txn_ops: usize,
    value_bytes: usize,
    segment_tasks: u32,
    write_rps: f64,
    report: Span,
    lease: Span,
    desks: BTreeMap<MachineId, Desk>,
    /// Machines whose records are to change, written by worth as the changes allow.
    ripe: BTreeSet<MachineId>,
    records: Bucket,
    /// Machines that are asked for the first time.
    greeted: BTreeMap<MachineId, Time>,
    /// The leader that was told of ends.
    leader: Option<Revision>,
    /// The blocks that the desks were last compared with.
    held: BTreeMap<BlockId, Revision>,
    waiting: Vec<(Time, Allotment)>,
    next_health: Time,
    /// All desks are to be compared with the mirror, not only those of machines that changed.
    compare: bool,
    /// Up to here desks had their turn.
    turned: Option<MachineId>,
    next_flush: Time,
    /// Something that nothing may hold back has ripened.
    urgent: bool,
    /// Machines of others that reported here since the leader was told last.
    strays: BTreeSet<MachineId>,
    /// Some controllers can't reach each other, and machines perhaps neither.
    pub cut: bool,
}

impl Holder {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            me: config.member.clone(),
            incarnation,
            blocks: config.blocks(),
            txn_ops: config.state.txn_ops,
            value_bytes: config.state.value_bytes,
            segment_tasks: config.segment_tasks(),
            write_rps: config.state.rates.changes,
            report: config.report,
            lease: config.lease,
            desks: BTreeMap::new(),
            ripe: BTreeSet::new(),
            records: Bucket::new(config.state.rates.changes * RECORDS_SHARE),
            greeted: BTreeMap::new(),
            leader: None,
            held: BTreeMap::new(),
            waiting: Vec::new(),
            next_health: Time::default(),
            compare: true,
            turned: None,
            next_flush: Time::default(),
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
    fn straight(&self) -> Span {
        self.report + Span(self.report.0 / 4 + 1000)
    }

    pub fn misses(&self, now: Time) -> Vec<MachineId> {
        let straight = self.straight();
        let missed = self
            .desks
            .iter()
            .filter(|(_, d)| d.is_missed(now, straight));
        missed.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a report that another controller hands on is taken: from machines that can't bring
    /// it here. Now and then they are sent to try all the same.
    pub fn takes_relayed(&mut self, now: Time, id: &MachineId) -> bool {
        let (straight, lease) = (self.straight(), self.lease);
        let desk = self.desks.get_mut(id);
        desk.is_some_and(|d| d.takes_relayed(now, straight, lease))
    }

    fn fence(&self, replica: &Replica, block: BlockId) -> Option<Revision> {
        let record = replica.blocks.get(&block)?;
        let mine = record.value.holder == self.me && record.value.incarnation == self.incarnation;
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
        replica: &Replica,
    ) -> Vec<(BlockId, Revision)> {
        let open = |id: &MachineId| {
            let (Some(desk), Some(machine)) = (self.desks.get(id), replica.machines.get(id)) else {
                return true;
            };
            let mut runs = machine.record.runs().filter(|(r, _)| r.task.job == *job);
            let alone = known && desk.confirmed && !desk.superseded;
            !alone && !runs.all(|(run, _)| desk.is_gone(&run))
        };
        let unsettled: BTreeSet<BlockId> = replica
            .carriers(job)
            .filter(|id| !deleted(id) && open(id))
            .map(|id| id.block(self.blocks))
            .collect();
        let held = replica.blocks.keys().filter_map(|b| {
            let fence = self.fence(replica, *b)?;
            (!unsettled.contains(b)).then_some((*b, fence))
        });
        held.collect()
    }

    /// Whether nothing has shown for so long that a machine held here can be used. One that obeys
    /// a higher token is another holder's by now, and only seems silent from here.
    pub fn is_silent(&self, now: Time, id: &MachineId, for_long: Span) -> bool {
        let desk = self.desks.get(id);
        desk.is_some_and(|d| !d.superseded && d.silent(now) >= for_long)
    }

    /// Whether a placement here is proved gone, though it may still stand on record.
    pub fn is_gone(&self, run: &Run) -> bool {
        self.desks.values().any(|d| d.told.contains(run))
    }

    /// Brings the desks in line with the blocks that the mirror says we hold.
    pub fn sync(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        self.open_desks(now, &BTreeSet::new(), replica);
        self.place_waiting(now, replica, out);
        self.greeted.retain(|_, at| now.since(*at) < GREET_AGAIN);
        let holders = replica.members.len().max(1) as f64;
        self.records
            .set_rate(now, self.write_rps * RECORDS_SHARE / holders);
        for id in self.next_turns() {
            self.drive(now, &id, replica, out);
        }
        self.flush(now, replica, out);
        self.tell_freed(replica, out);
        let unrecorded = |id: &MachineId| {
            let machine = replica.machines.get(id);
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
                    let mut health = health(id, desk, now, replica);
                    if self.cut && !desk.is_relayed() {
                        health.silent = Span(health.silent.0.saturating_sub(DETOUR.0));
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
    fn open_desks(&mut self, now: Time, touched: &BTreeSet<MachineId>, replica: &Replica) {
        let held: BTreeMap<BlockId, Revision> = replica
            .blocks
            .keys()
            .filter_map(|b| Some((*b, self.fence(replica, *b)?)))
            .collect();
        let all = std::mem::take(&mut self.compare) || held != self.held;
        self.held = held;
        if !all {
            for id in touched {
                self.open_desk(now, id, replica);
            }
            return;
        }
        let ids: BTreeSet<MachineId> = self.desks.keys().cloned().collect();
        let machines = replica.machines.keys().filter(|id| !ids.contains(*id));
        for id in ids.iter().chain(machines) {
            self.open_desk(now, id, replica);
        }
    }

    fn open_desk(&mut self, now: Time, id: &MachineId, replica: &Replica) {
        let fence = self.held.get(&id.block(self.blocks)).copied();
        let (Some(fence), Some(machine)) = (fence, replica.machines.get(id)) else {
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
        now: Time,
        machines: &BTreeSet<MachineId>,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        self.open_desks(now, machines, replica);
        self.place_waiting(now, replica, out);
        for id in machines {
            self.drive(now, id, replica, out);
        }
        self.flush(now, replica, out);
    }

    /// Tells the leader of ends before they are written: the room can be given out again, so
    /// that one change writes the end and the next placement; and a job whose tasks are all done
    /// ends without waiting for records. A new leader is told anew.
    fn tell_freed(&mut self, replica: &Replica, out: &mut Vec<Effect>) {
        let leader = replica.leader.as_ref().map(|l| l.revision);
        if self.leader != leader {
            self.leader = leader;
            self.desks.values_mut().for_each(|d| d.told.clear());
        }
        let mut freed = Vec::new();
        for id in &self.ripe {
            let Some(desk) = self.desks.get_mut(id) else {
                continue;
            };
            for (run, done) in desk.ripe.iter().flat_map(|r| &r.ended) {
                // Once told it is never started again, whatever becomes of the reason.
                desk.fresh.remove(run);
                if desk.told.insert(run.clone()) {
                    freed.push((id.clone(), run.clone(), *done));
                }
            }
        }
        if !freed.is_empty() {
            out.push(Effect::ToLeader(Message::Freed(freed)));
        }
    }

    /// Answers a worker's report, which came straight or through another controller.
    pub fn on_checkin(
        &mut self,
        now: Time,
        report: &Report,
        relayed: bool,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) -> CheckinAnswer {
        let block = report.machine.block(self.blocks);
        let Some(fence) = self.fence(replica, block) else {
            let holder = replica.blocks.get(&block).map(|b| b.value.holder.clone());
            self.strays.insert(report.machine.clone());
            return CheckinAnswer::Elsewhere(holder.filter(|h| *h != self.me));
        };
        if report.token.fence() > fence {
            if let Some(desk) = self.desks.get_mut(&report.machine) {
                desk.superseded = true;
            }
            return CheckinAnswer::Elsewhere(None);
        }
        if !replica.machines.contains_key(&report.machine) {
            self.greet(now, report, fence, out);
            return CheckinAnswer::Orders(at_least(fence, report), Vec::new());
        }
        let id = &report.machine;
        let Some(desk) = self.desks.get_mut(id) else {
            // The mirror has just brought the block or the machine: the desk opens at once.
            return CheckinAnswer::Orders(at_least(fence, report), Vec::new());
        };
        let first_word = !desk.confirmed || report.notice_s.is_some() != desk.notice.is_some();
        let newest = (report.session, report.seq) > (desk.session, desk.seq) || desk.seq == Seq(0);
        desk.learn(report, true, now);
        if newest && !relayed {
            desk.on_straight(now);
        }
        let token = desk.token();
        let orders = if newest && !desk.superseded {
            self.orders(now, id, replica, false)
        } else {
            Vec::new()
        };
        if first_word && let Some(desk) = self.desks.get(id) {
            let message = Message::Health(vec![health(id, desk, now, replica)]);
            out.push(Effect::ToLeader(message));
        }
        self.drive(now, id, replica, out);
        self.flush(now, replica, out);
        CheckinAnswer::Orders(token, orders)
    }

    /// A machine without a record: new, one that nobody expected, or one that is long deleted
    /// and of which a copy of a report has come late. Only a live one answers when it is asked.
    fn greet(&mut self, now: Time, report: &Report, fence: Revision, out: &mut Vec<Effect>) {
        if self.greeted.contains_key(&report.machine) {
            return;
        }
        self.greeted.insert(report.machine.clone(), now);
        out.push(Effect::Call {
            machine: report.machine.clone(),
            addr: report.addr.clone(),
            token: at_least(fence, report),
            session: report.session,
            orders: Vec::new(),
        });
    }

    pub fn on_call(
        &mut self,
        now: Time,
        id: &MachineId,
        fence: Token,
        outcome: CallOutcome,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        let Some(desk) = self.desks.get_mut(id) else {
            let held = self.fence(replica, id.block(self.blocks));
            if let CallOutcome::Done(report) = &outcome
                && held == Some(fence.fence())
                && !replica.machines.contains_key(id)
                && report.machine == *id
            {
                let (kind, zone) = (&report.type_name, &report.zone);
                let record = MachineRecord::new(&report.addr, kind, zone, report.spot);
                out.push(Effect::Found(id.clone(), record));
            }
            return;
        };
        let orders = desk.call.take().unwrap_or_default();
        let current = desk.token() == fence;
        let was_confirmed = desk.confirmed;
        match outcome {
            CallOutcome::Done(report) => {
                if current {
                    desk.settle(&orders, Direct::Settled);
                }
                desk.reach(now);
                desk.learn(&report, false, now);
            }
            CallOutcome::Rejected(report) => {
                if current {
                    desk.settle(&orders, Direct::No);
                }
                desk.next_call = now + Span(50);
                if let Some(report) = report {
                    desk.reach(now);
                    desk.learn(&report, false, now);
                }
            }
            CallOutcome::NotSent | CallOutcome::Unknown => {
                let direct = if matches!(outcome, CallOutcome::NotSent) {
                    Direct::No
                } else {
                    Direct::Unknown
                };
                if current {
                    desk.settle(&orders, direct);
                }
                desk.failed_calls += 1;
                desk.next_call = now + CALL_RETRY;
            }
        }
        if desk.confirmed && !was_confirmed {
            let message = Message::Health(vec![health(id, desk, now, replica)]);
            out.push(Effect::ToLeader(message));
        }
        self.drive(now, id, replica, out);
        self.flush(now, replica, out);
    }

    pub fn on_stop(
        &mut self,
        now: Time,
        id: &MachineId,
        run: Run,
        grace: Span,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        if let Some(desk) = self.desks.get_mut(id) {
            desk.stops.entry(run).or_insert((grace, None));
            self.drive(now, id, replica, out);
        }
    }

    pub fn on_txn(
        &mut self,
        now: Time,
        id: &MachineId,
        outcome: &TxnOutcome,
        replica: &mut Replica,
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
                replica.put_machine(id.clone(), pending.record, *revision);
                if let Some(machine) = replica.machines.get(id) {
                    desk.incoming.retain(|i| !machine.record.holds(&i.run));
                }
                for (run, end) in pending.ended {
                    desk.stops.remove(&run);
                    desk.told.remove(&run);
                    let ran = desk.running_since.get(&run).map(|at| now.since(*at));
                    let job = replica.jobs.get(&run.task.job);
                    out.push(Effect::ToLeader(Message::Ended(Ended {
                        machine: id.clone(),
                        revision: *revision,
                        type_name: type_name.clone(),
                        estimate_s: job.map_or(0.0, |j| j.spec.estimate_s),
                        pipeline: job.map(|j| j.spec.pipeline.clone()),
                        end,
                        ran,
                        run,
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
                    desk.uncertain = replica.machines.get(id).map(|m| m.revision);
                }
                desk.retry_at = now + TXN_RETRY;
            }
        }
        self.drive(now, id, replica, out);
        self.flush(now, replica, out);
    }

    /// Does for one machine whatever is due; what its record lacks waits for [`Self::flush`].
    fn drive(&mut self, now: Time, id: &MachineId, replica: &Replica, out: &mut Vec<Effect>) {
        self.ripen(now, id, replica, out);
        self.command(now, id, replica, out);
    }
}

/// The token for a machine without a desk: one that had a desk of ours before may have seen it
/// raised, and drops what carries a lower one.
fn at_least(fence: Revision, report: &Report) -> Token {
    let base = Token::of(fence, 0);
    if report.token.fence() == fence {
        base.max(report.token)
    } else {
        base
    }
}

fn health(id: &MachineId, desk: &Desk, now: Time, replica: &Replica) -> MachineHealth {
    let gang = |run: &Run| {
        replica
            .jobs
            .get(&run.task.job)
            .is_some_and(|j| j.spec.kind == Kind::Gang)
    };
    MachineHealth {
        machine: id.clone(),
        fence: desk.fence,
        silent: desk.silent(now),
        missed: desk.missed(now),
        confirmed: desk.confirmed && !desk.superseded,
        notice: desk.notice.map(|at| at.since(now)),
        unrecorded: replica
            .machines
            .get(id)
            .filter(|m| m.revision == Revision(0))
            .map(|m| m.record.clone()),
        gangs: desk
            .running_since
            .keys()
            .filter(|run| gang(run))
            .map(|run| (run.task.job.clone(), run.attempt))
            .collect(),
    }
}
