//! Decisions for all machines of the blocks that this controller holds. No I/O: effects are
//! returned, and their outcomes come back as calls.

use super::desk::{Desk, Direct, Incoming, PendingTxn, Presence};
use crate::config::Config;
use crate::ids::{
    Amounts, BlockId, Incarnation, JobId, MachineId, Member, Revision, Run, Seq, Session, Span,
    TaskId, Time, Token,
};
use crate::peers::{Allotment, End, Ended, MachineHealth, Message};
use crate::store::records::{MachineRecord, OverRecord};
use crate::store::replica::{LiveJob, Replica};
use crate::store::{TxnOutcome, keys};
use crate::wire::state::Txn;
use crate::wire::{JobState, Kind, Order, Report, TaskState, Why};
use std::collections::{BTreeMap, BTreeSet};

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
const HEALTH: Span = Span(1000);
const RENEW_PAUSE: Span = Span(4000);
const COMMAND_BATCH: usize = 200;

pub struct Holder {
    me: Member,
    incarnation: Incarnation,
    blocks: u32,
    txn_ops: usize,
    value_bytes: usize,
    segment_tasks: u32,
    report: Span,
    desks: BTreeMap<MachineId, Desk>,
    waiting: Vec<(Time, Allotment)>,
    renewed: BTreeMap<BlockId, Time>,
    next_health: Time,
    /// The mirror's revision that desks were last compared with.
    seen: Revision,
}

impl Holder {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            me: config.member.clone(),
            incarnation,
            blocks: config.blocks(),
            txn_ops: config.txn_ops,
            value_bytes: config.value_bytes,
            segment_tasks: config.segment_tasks(),
            report: config.report,
            desks: BTreeMap::new(),
            waiting: Vec::new(),
            renewed: BTreeMap::new(),
            next_health: Time::default(),
            seen: Revision(0),
        }
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

    /// Brings the desks in line with the blocks that the mirror says we hold.
    pub fn sync(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        if self.seen != replica.revision {
            self.seen = replica.revision;
            let held: BTreeMap<BlockId, Revision> = replica
                .blocks
                .keys()
                .filter_map(|b| Some((*b, self.fence(replica, *b)?)))
                .collect();
            let blocks = self.blocks;
            self.desks.retain(|id, _| {
                held.contains_key(&id.block(blocks)) && replica.machines.contains_key(id)
            });
            for (id, machine) in &replica.machines {
                let Some(fence) = held.get(&id.block(blocks)) else {
                    continue;
                };
                match self.desks.get_mut(id) {
                    None => {
                        let desk = Desk::new(*fence, &machine.record.addr, now);
                        self.desks.insert(id.clone(), desk);
                    }
                    Some(desk) if desk.fence != *fence => desk.renew(*fence, now),
                    Some(_) => {}
                }
            }
        }
        self.place_waiting(now, replica, out);
        let ids: Vec<MachineId> = self.desks.keys().cloned().collect();
        for id in ids {
            self.drive(now, &id, replica, out);
        }
        if now >= self.next_health {
            self.next_health = now + HEALTH;
            let health: Vec<MachineHealth> = self
                .desks
                .iter()
                .map(|(id, desk)| health(id, desk, now, replica))
                .collect();
            if !health.is_empty() {
                out.push(Effect::ToLeader(Message::Health(health)));
            }
        }
    }

    /// Answers a worker's report.
    pub fn on_checkin(
        &mut self,
        now: Time,
        report: &Report,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) -> CheckinAnswer {
        let block = report.machine.block(self.blocks);
        let Some(fence) = self.fence(replica, block) else {
            let holder = replica.blocks.get(&block).map(|b| b.value.holder.clone());
            return CheckinAnswer::Elsewhere(holder.filter(|h| *h != self.me));
        };
        if report.token.0 > fence.0 {
            if let Some(desk) = self.desks.get_mut(&report.machine) {
                desk.superseded = true;
            }
            return CheckinAnswer::Elsewhere(None);
        }
        if !replica.machines.contains_key(&report.machine) {
            self.register(report, fence, out);
            return CheckinAnswer::Orders(Token(fence.0), Vec::new());
        }
        let id = &report.machine;
        let Some(desk) = self.desks.get_mut(id) else {
            // The mirror has just brought the block or the machine: the desk opens at once.
            return CheckinAnswer::Orders(Token(fence.0), Vec::new());
        };
        let first_word = !desk.confirmed || report.notice_s.is_some() != desk.notice.is_some();
        let newest = (report.session, report.seq) > (desk.session, desk.seq) || desk.seq == Seq(0);
        desk.learn(report, true, now);
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
        CheckinAnswer::Orders(token, orders)
    }

    /// A machine without a record: new, or one that nobody expected. It becomes usable once its
    /// record stands.
    fn register(&mut self, report: &Report, fence: Revision, out: &mut Vec<Effect>) {
        let record = MachineRecord {
            addr: report.addr.clone(),
            type_name: report.type_name.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            jobs: Vec::new(),
        };
        let mut txn = Txn::default();
        txn.require(keys::block(report.machine.block(self.blocks)), fence);
        txn.require(keys::machine(&report.machine), Revision(0));
        txn.put(keys::machine(&report.machine), &record, None);
        out.push(Effect::Txn {
            machine: report.machine.clone(),
            txn,
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
                desk.learn(&report, false, now);
            }
            CallOutcome::Rejected(report) => {
                if current {
                    desk.settle(&orders, Direct::No);
                }
                desk.next_call = now + Span(50);
                if let Some(report) = report {
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
                desk.next_call = now + CALL_RETRY;
            }
        }
        if desk.confirmed && !was_confirmed {
            let message = Message::Health(vec![health(id, desk, now, replica)]);
            out.push(Effect::ToLeader(message));
        }
        self.drive(now, id, replica, out);
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

    pub fn on_allot(
        &mut self,
        now: Time,
        allotment: Allotment,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        self.waiting.push((now, allotment));
        self.place_waiting(now, replica, out);
    }

    fn place_waiting(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        for (since, mut allotment) in std::mem::take(&mut self.waiting) {
            let fence = self.fence(replica, allotment.block);
            let job = allotment.runs.first().map(|r| r.task.job.clone());
            let live = job.as_ref().and_then(|j| replica.jobs.get(j));
            let behind = fence.is_none_or(|f| f < allotment.fence)
                || (live.is_none() && replica.revision < allotment.job_revision);
            if behind && now.since(since) < ALLOT_PATIENCE {
                self.waiting.push((since, allotment));
                continue;
            }
            let fits = fence == Some(allotment.fence)
                && live.is_some_and(|j| j.revision == allotment.job_revision);
            let runs = std::mem::take(&mut allotment.runs);
            let mut refused = Vec::new();
            let mut touched = BTreeSet::new();
            for run in runs {
                let place = live.filter(|_| fits).and_then(|job| {
                    let id = self.choose(job, &allotment, replica)?;
                    Some((job, id))
                });
                match place {
                    Some((job, id)) => {
                        if let Some(desk) = self.desks.get_mut(&id) {
                            desk.incoming.push_back(Incoming {
                                run,
                                spec: job.spec.clone(),
                                job_revision: job.revision,
                            });
                            touched.insert(id);
                        }
                    }
                    None => refused.push(run),
                }
            }
            if !refused.is_empty() {
                out.push(Effect::ToLeader(Message::Refused {
                    fence: allotment.fence,
                    runs: refused,
                }));
            }
            for id in touched {
                self.drive(now, &id, replica, out);
            }
        }
    }

    /// The first of the leader's choices inside the block that fits as the block stands now. The
    /// leader lists every machine of the block that it would accept.
    fn choose(&self, job: &LiveJob, allotment: &Allotment, replica: &Replica) -> Option<MachineId> {
        let need = job.spec.need();
        let fits = |id: &&MachineId| -> Option<bool> {
            let desk = self.desks.get(*id)?;
            let record = &replica.machines.get(*id)?.record;
            let usable = desk.confirmed && !desk.superseded && desk.notice.is_none();
            let allowed = job
                .spec
                .allows(&record.type_name, &record.zone, record.spot);
            let room = replica.machine_type(&record.type_name)?.room();
            let free = room - record.used() - self.promised(desk);
            let size = record.size_bound() + 200 * (desk.incoming.len() + 1);
            let in_block = id.block(self.blocks) == allotment.block;
            Some(in_block && usable && allowed && need.fits(free) && size < self.value_bytes)
        };
        allotment
            .preferred
            .iter()
            .find(|id| fits(id).unwrap_or(false))
            .cloned()
    }

    /// What a desk has taken on that its record does not show yet.
    fn promised(&self, desk: &Desk) -> Amounts {
        desk.incoming
            .iter()
            .fold(Amounts::default(), |sum, i| sum + i.spec.need())
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
                    let ran = desk.running_since.get(&run).map(|at| now.since(*at));
                    let job = replica.jobs.get(&run.task.job);
                    out.push(Effect::ToLeader(Message::Ended(Ended {
                        machine: id.clone(),
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
            TxnOutcome::Unknown => {
                // It may be applied late, but only while the record stands as it did.
                if desk.fence == pending.fence {
                    desk.uncertain = replica.machines.get(id).map(|m| m.revision);
                }
                desk.retry_at = now + TXN_RETRY;
            }
        }
        self.drive(now, id, replica, out);
    }

    /// Does for one machine whatever is due.
    fn drive(&mut self, now: Time, id: &MachineId, replica: &Replica, out: &mut Vec<Effect>) {
        self.commit(now, id, replica, out);
        self.command(now, id, replica, out);
    }

    /// Drops what is proved gone, adds what was allotted, and counts what is done, all in one
    /// transaction under the fence.
    fn commit(&mut self, now: Time, id: &MachineId, replica: &Replica, out: &mut Vec<Effect>) {
        let (blocks, txn_ops, segment_tasks) = (self.blocks, self.txn_ops, self.segment_tasks);
        let (Some(desk), Some(machine)) = (self.desks.get_mut(id), replica.machines.get(id)) else {
            return;
        };
        if desk.uncertain.is_some_and(|r| r != machine.revision) {
            desk.uncertain = None;
        }
        // A placement that was committed after all is no longer on its way.
        desk.incoming.retain(|i| !machine.record.holds(&i.run));
        desk.rejected.retain(|run| !machine.record.holds(run));
        let mut kept = std::collections::VecDeque::new();
        for incoming in std::mem::take(&mut desk.incoming) {
            let job = replica.jobs.get(&incoming.run.task.job);
            if job.is_some_and(|j| j.revision == incoming.job_revision) {
                kept.push_back(incoming);
            } else {
                desk.rejected.push(incoming.run);
            }
        }
        desk.incoming = kept;
        if desk.txn.is_some() {
            return;
        }
        if desk.uncertain.is_none() && !desk.rejected.is_empty() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: desk.fence,
                runs: std::mem::take(&mut desk.rejected),
            }));
        }
        let waits = now < desk.retry_at
            || (replica.revision < desk.retry_revision && now < desk.retry_at + Span(2000));
        if waits || desk.superseded {
            return;
        }
        let mut txn = Txn::default();
        txn.require(keys::block(id.block(blocks)), desk.fence);
        txn.require(keys::machine(id), machine.revision);
        let mut record = machine.record.clone();
        let mut ended = Vec::new();
        let mut done: BTreeMap<JobId, Vec<Run>> = BTreeMap::new();
        for (run, _) in machine.record.runs() {
            let live = replica.jobs.contains_key(&run.task.job);
            let end = match desk.presence(&run) {
                Presence::Exited(Why::Done) if live => {
                    done.entry(run.task.job.clone()).or_default().push(run);
                    continue;
                }
                Presence::Exited(Why::Done) => End::Done,
                Presence::Exited(why) => End::Exited(why),
                Presence::Absent if !live || desk.stops.contains_key(&run) => End::Absent,
                _ => continue,
            };
            record.remove(&run);
            ended.push((run, end));
        }
        for (job_id, runs) in done {
            let Some(job) = replica.jobs.get(&job_id) else {
                continue;
            };
            if !count_done(&mut txn, &job_id, job, &runs, segment_tasks, txn_ops - 1) {
                continue;
            }
            for run in runs {
                record.remove(&run);
                ended.push((run, End::Done));
            }
        }
        let mut jobs_added = BTreeSet::new();
        for incoming in &desk.incoming {
            let job = &incoming.run.task.job;
            if !jobs_added.contains(job) && txn.conditions.len() + 1 > 4 * txn_ops {
                break;
            }
            if jobs_added.insert(job.clone()) {
                txn.require(keys::job(job), incoming.job_revision);
            }
            record.add(&incoming.run, &incoming.spec);
        }
        let touch = desk.uncertain.is_some() && !desk.rejected.is_empty();
        if record == machine.record && !touch {
            return;
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
    }

    /// The commands that are due; what they change is noted as sent.
    fn orders(&mut self, now: Time, id: &MachineId, replica: &Replica, direct: bool) -> Vec<Order> {
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
                (Presence::Absent | Presence::MayAppear, None) => {
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
    fn command(&mut self, now: Time, id: &MachineId, replica: &Replica, out: &mut Vec<Effect>) {
        let report = self.report;
        let Some(desk) = self.desks.get(id) else {
            return;
        };
        if desk.call.is_some() || desk.superseded || now < desk.next_call {
            return;
        }
        let quiet = now.since(desk.heard) > report + Span(report.0 / 4 + 300);
        let take_over = !desk.confirmed;
        let orders = if take_over {
            Vec::new()
        } else {
            self.orders(now, id, replica, true)
        };
        let Some(desk) = self.desks.get_mut(id) else {
            return;
        };
        // A cancelled task whose start has no answer can only be fenced off.
        if desk.confirmed
            && let Some(machine) = replica.machines.get(id)
        {
            let stuck = machine.record.runs().any(|(run, _)| {
                let unwanted =
                    desk.stops.contains_key(&run) || !replica.jobs.contains_key(&run.task.job);
                let answered = desk
                    .starts
                    .get(&run)
                    .is_none_or(|s| s.direct != Direct::Unknown);
                unwanted && !answered && desk.presence(&run) == Presence::MayAppear
            });
            let block = id.block(self.blocks);
            let recent = self
                .renewed
                .get(&block)
                .is_some_and(|at| now.since(*at) < RENEW_PAUSE);
            if stuck && !recent && !quiet {
                self.renewed.insert(block, now);
                out.push(Effect::RenewBlock(block));
            }
        }
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
        silent: now.since(desk.heard),
        confirmed: desk.confirmed && !desk.superseded,
        notice: desk.notice.map(|at| at.since(now)),
        gangs: desk
            .running_since
            .keys()
            .filter(|run| gang(run))
            .map(|run| (run.task.job.clone(), run.attempt))
            .collect(),
    }
}

/// Adds finished tasks to their job's completion counter; the update that completes it releases
/// the job in the same transaction. `false`: the transaction has no room for it.
fn count_done(
    txn: &mut Txn,
    id: &JobId,
    job: &LiveJob,
    runs: &[Run],
    segment_tasks: u32,
    max_ops: usize,
) -> bool {
    let mut changed: BTreeMap<u32, crate::store::records::Bitmap> = BTreeMap::new();
    for run in runs {
        let TaskId { index, .. } = run.task;
        let segment = index / segment_tasks;
        let bits = changed.entry(segment).or_insert_with(|| {
            job.segments
                .get(&segment)
                .map(|s| s.value.clone())
                .unwrap_or_default()
        });
        bits.set(index % segment_tasks);
    }
    let segments = job.spec.tasks.div_ceil(segment_tasks);
    // The tasks of a gang complete together: when one is done, all are. So the loss of a
    // machine just then does not leave the rest to be run again.
    if job.spec.kind == Kind::Gang && segments == 1 {
        let bits = changed.entry(0).or_default();
        (0..job.spec.tasks).for_each(|index| bits.set(index));
    }
    let size = |segment: u32| (job.spec.tasks - segment * segment_tasks).min(segment_tasks);
    let count = |segment: u32| {
        changed
            .get(&segment)
            .or_else(|| job.segments.get(&segment).map(|s| &s.value))
            .map_or(0, crate::store::records::Bitmap::count)
    };
    let fills = changed.iter().any(|(s, bits)| bits.count() == size(*s));
    let complete = fills && (0..segments).all(|s| count(s) == size(s));
    let ops = if complete { 3 } else { changed.len() };
    // Whoever fills a segment must see the others as they are: else two could each leave the
    // release to the other.
    let conditions = if fills {
        segments as usize
    } else {
        changed.len()
    } + 1;
    if txn.changes.len() + ops > max_ops || txn.conditions.len() + conditions > 4 * (max_ops + 1) {
        return false;
    }
    txn.require(keys::job(id), job.revision);
    let revision = |s: u32| job.segments.get(&s).map_or(Revision(0), |s| s.revision);
    for segment in 0..segments {
        if fills || changed.contains_key(&segment) {
            txn.require(keys::segment(id, segment), revision(segment));
        }
    }
    if complete {
        let over = OverRecord {
            state: JobState::Done,
            tasks: job.spec.tasks,
        };
        txn.put(keys::over(id), &over, None);
        txn.delete(keys::job(id));
        txn.delete(keys::plan(id));
        for segment in job.segments.keys() {
            if txn.changes.len() < max_ops {
                txn.delete(keys::segment(id, *segment));
            }
        }
    } else {
        for (segment, bits) in &changed {
            txn.put(keys::segment(id, *segment), bits, None);
        }
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::Attempt;
    use crate::store::records::{Bitmap, JobRecord};
    use crate::wire::state::{Change, Event};
    use rand::rngs::StdRng;
    use rand::seq::SliceRandom;
    use rand::{RngExt, SeedableRng};
    use std::collections::BTreeMap;

    /// A store of keys and revisions, and nothing else.
    #[derive(Default)]
    struct Keys {
        revision: u64,
        held: BTreeMap<String, Revision>,
        writes: usize,
        largest: usize,
    }

    impl Keys {
        fn run(&mut self, txn: &Txn, replica: &mut Replica) -> bool {
            let found = |key: &String| self.held.get(key).copied().unwrap_or(Revision(0));
            if txn.conditions.iter().any(|c| found(&c.key) != c.revision) {
                return false;
            }
            self.revision += 1;
            let revision = Revision(self.revision);
            let mut events = Vec::new();
            for change in &txn.changes {
                self.writes += 1;
                let (put, delete, value) = match change {
                    Change::Put { key, value, .. } => {
                        self.largest = self.largest.max(value.to_string().len());
                        self.held.insert(key.clone(), revision);
                        (Some(key.clone()), None, value.clone())
                    }
                    Change::Delete { key } => {
                        self.held.remove(key);
                        (None, Some(key.clone()), serde_json::Value::Null)
                    }
                };
                events.push(Event {
                    put,
                    delete,
                    value,
                    revision,
                });
            }
            replica.apply(revision, events);
            true
        }
    }

    /// Two holders finish the tasks of the largest array in any order, repeat some, and work
    /// from mirrors that lag. The plain model is a set.
    #[test]
    fn the_counter_of_the_largest_array_counts_each_task_once_and_releases_once() {
        let (value_bytes, txn_ops) = (8192usize, 12usize);
        let config = crate::config::tests::sample_config();
        let segment_tasks = config.segment_tasks();
        let mut spec = crate::wire::tests::spec("job-000001");
        spec.tasks = crate::wire::MAX_TASKS;
        let id = spec.id.clone();
        let (mut keys_held, mut replica) = (Keys::default(), Replica::default());
        let mut accept = Txn::default();
        let record = JobRecord {
            spec,
            accepted: crate::ids::Wall(0),
        };
        accept.put(keys::job(&id), &record, None);
        assert!(keys_held.run(&accept, &mut replica));
        let mut rng = StdRng::seed_from_u64(2);
        let mut order: Vec<u32> = (0..crate::wire::MAX_TASKS).collect();
        order.shuffle(&mut rng);
        let mut model = std::collections::BTreeSet::new();
        let mut at = 0;
        while at < order.len() {
            let n = rng.random_range(1..=160).min(order.len() - at);
            let mut batch = order[at..at + n].to_vec();
            batch.push(order[rng.random_range(0..=at)]);
            let run = |index: &u32| Run {
                task: TaskId {
                    job: id.clone(),
                    index: *index,
                },
                attempt: Attempt(1),
            };
            // The shuffled batch touches more segments than one transaction has room for.
            for part in batch.chunks(8) {
                let runs: Vec<Run> = part.iter().map(run).collect();
                let Some(job) = replica.jobs.get(&id) else {
                    break;
                };
                let mut txn = Txn::default();
                assert!(count_done(
                    &mut txn,
                    &id,
                    job,
                    &runs,
                    segment_tasks,
                    txn_ops - 1
                ));
                assert!(txn.changes.len() < txn_ops && txn.conditions.len() <= 4 * txn_ops);
                assert!(keys_held.run(&txn, &mut replica));
                model.extend(part.iter().copied());
                let released = !replica.jobs.contains_key(&id);
                assert_eq!(released, model.len() == order.len());
                if !released {
                    assert_eq!(replica.jobs[&id].done_count() as usize, model.len());
                }
            }
            at += n;
        }
        assert!(!replica.jobs.contains_key(&id) && keys_held.largest <= value_bytes);
    }

    #[test]
    fn an_update_from_a_lagging_mirror_fails_instead_of_losing_tasks() {
        let mut spec = crate::wire::tests::spec("job-000001");
        spec.tasks = 4;
        let id = spec.id.clone();
        let (mut keys_held, mut replica) = (Keys::default(), Replica::default());
        let mut accept = Txn::default();
        let record = JobRecord {
            spec,
            accepted: crate::ids::Wall(0),
        };
        accept.put(keys::job(&id), &record, None);
        keys_held.run(&accept, &mut replica);
        let finish = |replica: &Replica, index| {
            let run = Run {
                task: TaskId {
                    job: id.clone(),
                    index,
                },
                attempt: Attempt(1),
            };
            let mut txn = Txn::default();
            assert!(count_done(
                &mut txn,
                &id,
                &replica.jobs[&id],
                &[run],
                1024,
                11
            ));
            txn
        };
        let (first, second) = (finish(&replica, 0), finish(&replica, 1));
        assert!(keys_held.run(&first, &mut replica));
        assert!(!keys_held.run(&second, &mut replica));
        assert!(keys_held.run(&finish(&replica, 1), &mut replica));
        let bits: &Bitmap = &replica.jobs[&id].segments[&0].value;
        assert_eq!((bits.get(0), bits.get(1), bits.count()), (true, true, 2));
    }
}
