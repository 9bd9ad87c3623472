//! All decisions of one controller: the slices put together, still without I/O, clock or
//! randomness of its own. The daemon carries out the effects; tests do so in simulated time.

use crate::cancellation::{RoundId, Rounds, View};
use crate::cloud::{self, Fleet, Overdue, RentOutcome};
use crate::config::Config;
use crate::ids::{
    BlockId, GrantId, Incarnation, JobId, MachineId, Member, Revision, Run, Span, Time, Token,
};
use crate::leadership::{Hearing, Leadership};
use crate::peers::{End, Message};
use crate::placement::{self, Scheduler};
use crate::planning::{History, counter, plan_job};
use crate::store::TxnOutcome;
use crate::store::keys;
use crate::store::records::{PlanBatch, PlanRecord};
use crate::store::replica::Replica;
use crate::store::tokens::Class;
use crate::wire::state::{Event, Txn};
use crate::wire::{Catalog, JobState, ListedMachine, Order, RentRequest, Report};
use crate::workers::{self, CallOutcome, CheckinAnswer, Holder};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whom a transaction's outcome concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TxnOwner {
    Holder(MachineId),
    Leadership,
    /// A batch of plans, by their jobs.
    Plans(Vec<JobId>),
    /// The end of a job.
    Release(JobId),
    Catalog,
    /// Repeated on its own when it is still needed.
    Nobody,
}

#[derive(Debug)]
pub enum Effect {
    Txn {
        owner: TxnOwner,
        class: Class,
        txn: Txn,
    },
    Call {
        machine: MachineId,
        addr: String,
        token: Token,
        session: crate::ids::Session,
        orders: Vec<Order>,
    },
    Peer(Member, Message),
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
    Catalog,
    /// Read how a job that is over has ended.
    Standing(JobId),
}

const SCHEDULE_PAUSE: Span = Span(15);
const SCHEDULE_EVERY: Span = Span(500);
const FLEET_EVERY: Span = Span(400);
const SYNC_EVERY: Span = Span(200);
const HISTORY_EVERY: Span = Span(5000);
const CLEAN_EVERY: Span = Span(2000);
const OVERDUE_EVERY: Span = Span(1000);
/// A holder's own deletion that was not carried out is asked for again after this.
const GIVE_UP_AGAIN: Span = Span(3000);
/// Plans gather for so long, or until a record is half full, to be written in one change.
const PLANS_GATHER: Span = Span(1000);
/// Counters that are brought up to date at once.
const FOLDS: usize = 4;
/// A release without an outcome is tried again after this.
const RELEASE_AGAIN: Span = Span(4000);
const UNHEARD: Span = Span(10_000);
/// The turns of a large fleet lie further apart, by so many machines for a millisecond.
const MACHINES_PER_MS: usize = 4;

pub struct Controller {
    config: Config,
    pub replica: Replica,
    pub leadership: Leadership,
    pub holder: Holder,
    pub scheduler: Scheduler,
    pub fleet: Fleet,
    hearing: Hearing,
    overdue: Overdue,
    next_overdue: Time,
    /// Machines whose deletion was asked for without leading, and when.
    giving_up: BTreeMap<MachineId, Time>,
    rounds: Rounds,
    history: History,
    /// Plans that are made and not yet written.
    plans: BTreeMap<JobId, PlanRecord>,
    plans_in_flight: bool,
    plans_since: Time,
    plans_again: Time,
    plan_batch: u64,
    releasing: BTreeMap<JobId, Time>,
    catalog_in_flight: bool,
    dropping: BTreeMap<MachineId, Time>,
    /// Since when no holder has spoken of a machine without a record.
    unheard: BTreeMap<MachineId, Time>,
    dirty: bool,
    next_schedule: Time,
    last_schedule: Time,
    next_fleet: Time,
    assured: Time,
    next_sync: Time,
    next_history: Time,
    next_clean: Time,
}

impl Controller {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        let zero = Time::default();
        Self {
            config: config.clone(),
            replica: Replica::new(config),
            leadership: Leadership::new(config, incarnation),
            holder: Holder::new(config, incarnation),
            scheduler: Scheduler::new(config),
            fleet: Fleet::new(config),
            hearing: Hearing::new(config),
            overdue: Overdue::default(),
            next_overdue: zero,
            giving_up: BTreeMap::new(),
            rounds: Rounds::default(),
            history: History::default(),
            plans: BTreeMap::new(),
            plans_in_flight: false,
            plans_since: zero,
            plans_again: zero,
            plan_batch: 0,
            releasing: BTreeMap::new(),
            catalog_in_flight: false,
            dropping: BTreeMap::new(),
            unheard: BTreeMap::new(),
            dirty: false,
            next_schedule: zero,
            last_schedule: zero,
            next_fleet: zero,
            assured: zero,
            next_sync: zero,
            next_history: zero,
            next_clean: zero,
        }
    }

    /// The grant holds at least until then. Whoever can't say so may lead no longer without
    /// knowing it: it then stops nothing and leaves the cloud alone, since others place by now.
    pub fn assure(&mut self, until: Time) {
        self.assured = until;
    }

    pub fn set_grant(&mut self, now: Time, grant: Option<GrantId>) -> Vec<Effect> {
        self.leadership.set_grant(grant, &self.replica);
        self.turn(now)
    }

    /// A mirror read anew takes the old one's place.
    pub fn on_snapshot(&mut self, now: Time, mut replica: Replica) -> Vec<Effect> {
        replica.keep_cancelled(&self.replica);
        self.replica = replica;
        self.holder.look_again();
        self.dirty = true;
        self.next_sync = now;
        self.turn(now)
    }

    /// The next changes of the stream; also the jobs that ended by them.
    pub fn on_events(
        &mut self,
        now: Time,
        revision: Revision,
        events: Vec<Event>,
    ) -> (Vec<Effect>, Vec<JobId>) {
        let touched: BTreeSet<MachineId> = events
            .iter()
            .filter_map(|e| keys::machine_of(e.put.as_deref().or(e.delete.as_deref())?))
            .collect();
        let ended = self.replica.apply(revision, events);
        self.dirty = true;
        let mut out = Vec::new();
        self.holder
            .on_changed(now, &touched, &self.replica, &mut out);
        (self.finish(now, out), ended)
    }

    pub fn on_checkin(&mut self, now: Time, report: &Report) -> (CheckinAnswer, Vec<Effect>) {
        self.take_report(now, report, false)
    }

    fn take_report(
        &mut self,
        now: Time,
        report: &Report,
        relayed: bool,
    ) -> (CheckinAnswer, Vec<Effect>) {
        let mut out = Vec::new();
        let answer = self
            .holder
            .on_checkin(now, report, relayed, &self.replica, &mut out);
        (answer, self.finish(now, out))
    }

    /// A report that its worker could not bring here itself. `None`: it should try.
    pub fn on_relayed_checkin(
        &mut self,
        now: Time,
        report: &Report,
    ) -> (Option<CheckinAnswer>, Vec<Effect>) {
        if !self.holder.takes_relayed(now, &report.machine) {
            return (None, Vec::new());
        }
        let (answer, effects) = self.take_report(now, report, true);
        (Some(answer), effects)
    }

    /// Machines held here whose reports have not come straight for so long that they may be cut
    /// off.
    pub fn misses(&self, now: Time) -> Vec<MachineId> {
        self.holder.misses(now)
    }

    /// Whether some controllers can't reach each other: machines may be cut off likewise.
    pub fn set_cut(&mut self, cut: bool) {
        self.holder.cut = cut;
    }

    pub fn on_call(
        &mut self,
        now: Time,
        machine: &MachineId,
        token: Token,
        outcome: CallOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        self.holder
            .on_call(now, machine, token, outcome, &self.replica, &mut out);
        self.finish(now, out)
    }

    pub fn on_txn(&mut self, now: Time, owner: &TxnOwner, outcome: &TxnOutcome) -> Vec<Effect> {
        let mut out = Vec::new();
        match owner {
            TxnOwner::Holder(machine) => {
                self.holder
                    .on_txn(now, machine, outcome, &mut self.replica, &mut out);
                self.dirty = true;
            }
            TxnOwner::Leadership => self.leadership.on_txn(now, outcome),
            TxnOwner::Plans(jobs) => {
                self.plans_in_flight = false;
                // Under any other outcome they are written, or somebody else leads. A refusal
                // for want of tokens comes back at once: without a pause it would go round and
                // round (entry 37769b7d).
                self.plans_again = now + PLANS_GATHER;
                let again = matches!(outcome, TxnOutcome::Refused);
                for job in jobs.iter().filter(|_| again) {
                    let plan = self.replica.jobs.get(job).and_then(|j| j.plan.clone());
                    self.plans.extend(plan.map(|p| (job.clone(), p)));
                }
            }
            TxnOwner::Release(job) => {
                let known = !matches!(outcome, TxnOutcome::Unknown);
                if known && !matches!(outcome, TxnOutcome::Committed(_)) {
                    self.releasing.remove(job);
                }
            }
            TxnOwner::Catalog => self.catalog_in_flight = false,
            TxnOwner::Nobody => {}
        }
        self.finish(now, out)
    }

    pub fn on_peer(&mut self, now: Time, from: &Member, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Cancelled {
                round,
                job,
                revision,
                age,
            } => {
                self.learn_cancelled(now, &job, revision, age, &mut effects);
                let settled = self.settled(now, &job);
                let known = Message::CancelledKnown {
                    round,
                    job,
                    settled,
                };
                effects.push(Effect::Peer(from.clone(), known));
            }
            Message::CancelledKnown {
                round,
                job,
                settled,
            } => self.rounds.on_known(round, &job, from, settled),
            message => self.deliver(now, message, &mut effects),
        }
        effects.extend(self.turn(now));
        effects
    }

    /// Tells everybody of a cancellation that is committed; [`Self::is_settled`] says when its
    /// user may hear of it.
    pub fn announce(
        &mut self,
        now: Time,
        job: &JobId,
        revision: Revision,
        age: Span,
    ) -> (RoundId, Vec<Effect>) {
        let mut effects = Vec::new();
        self.learn_cancelled(now, job, revision, age, &mut effects);
        let round = self.rounds.open(job, revision);
        effects.extend(self.turn(now));
        effects.extend(self.ask_round(now, round));
        (round, effects)
    }

    /// Asks the others, once more if need be: what they answered first was perhaps not proved yet.
    pub fn ask_round(&self, now: Time, round: RoundId) -> Vec<Effect> {
        let Some((job, revision)) = self.rounds.asks(round) else {
            return Vec::new();
        };
        let age = self.overdue.age(now, job).unwrap_or_default();
        let message = Message::Cancelled {
            round,
            job: job.clone(),
            revision,
            age,
        };
        let peers = self.config.peers.keys();
        peers
            .map(|peer| Effect::Peer(peer.clone(), message.clone()))
            .collect()
    }

    pub fn is_settled(&mut self, now: Time, round: RoundId) -> bool {
        let Some(job) = self.rounds.asks(round).map(|(job, _)| job.clone()) else {
            return false;
        };
        let settled = self.settled(now, &job);
        self.rounds
            .on_known(round, &job, &self.config.member, settled);
        let carriers = self.replica.carriers(&job).map(|id| {
            let block = id.block(self.config.blocks());
            let lease = self.replica.blocks.get(&block);
            (block, lease.map(|l| l.revision))
        });
        let view = View {
            revision: self.replica.revision,
            carriers: carriers.collect(),
        };
        self.rounds.is_settled(round, &view)
    }

    /// The blocks held here in which a cancelled job's tasks are proved gone. Where neither a stop
    /// nor a deletion was answered for as long as users allow, it has to do that this holder
    /// knows: a user is not left without an answer for longer.
    fn settled(&self, now: Time, job: &JobId) -> Vec<(BlockId, Revision)> {
        let age = self.overdue.age(now, job);
        let long = age.is_some_and(|a| a >= self.config.cancel);
        let gone = |id: &MachineId| self.fleet.is_deleted(id);
        self.holder.settled(job, long, gone, &self.replica)
    }

    pub fn close_round(&mut self, round: RoundId) {
        self.rounds.close(round);
    }

    /// Acts on a cancellation as the stream would: its tasks are stopped and none is started.
    fn learn_cancelled(
        &mut self,
        now: Time,
        job: &JobId,
        revision: Revision,
        age: Span,
        effects: &mut Vec<Effect>,
    ) {
        self.replica.cancel(job, revision);
        let carriers = self.replica.carriers(job).cloned().collect();
        self.overdue.cancelled(now, job, age);
        let mut out = Vec::new();
        self.holder
            .on_changed(now, &carriers, &self.replica, &mut out);
        self.holder_effects(now, out, effects);
        self.dirty = true;
    }

    pub fn on_catalog(&mut self, now: Time, catalog: Option<Catalog>) -> Vec<Effect> {
        self.fleet.on_catalog(now, catalog);
        self.turn(now)
    }

    pub fn on_list(&mut self, now: Time, machines: Option<Vec<ListedMachine>>) -> Vec<Effect> {
        self.fleet.on_list(now, machines, &self.replica);
        self.turn(now)
    }

    pub fn on_rent(
        &mut self,
        now: Time,
        request: &RentRequest,
        outcome: RentOutcome,
    ) -> Vec<Effect> {
        self.fleet.on_rent(now, request, outcome);
        self.turn(now)
    }

    pub fn on_deleted(&mut self, now: Time, ids: &[MachineId], ok: bool) -> Vec<Effect> {
        let mut cloud = Vec::new();
        self.fleet.on_deleted(now, ids, ok, &mut cloud);
        let mut effects = self.cloud_effects(now, cloud);
        effects.extend(self.turn(now));
        effects
    }

    pub fn on_standing(&mut self, now: Time, job: &JobId, state: JobState) -> Vec<Effect> {
        self.overdue.learn(job, state);
        self.next_overdue = now;
        self.turn(now)
    }

    pub fn tick(&mut self, now: Time, wall: crate::ids::Wall) -> Vec<Effect> {
        self.fleet.wall = wall;
        self.scheduler.wall = wall;
        self.turn(now)
    }

    /// When the next tick is due; events may ask for an earlier one.
    pub fn wants_turn_at(&self, now: Time) -> Time {
        let schedule = if self.dirty {
            self.next_schedule
        } else {
            now + SCHEDULE_EVERY
        };
        schedule.min(self.next_sync)
    }

    fn finish(&mut self, now: Time, out: Vec<workers::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.holder_effects(now, out, &mut effects);
        effects.extend(self.turn(now));
        effects
    }

    /// Carries messages between this controller's own duties, and turns the rest into effects.
    fn holder_effects(&mut self, now: Time, out: Vec<workers::Effect>, effects: &mut Vec<Effect>) {
        let mut queue = VecDeque::from(out);
        while let Some(effect) = queue.pop_front() {
            match effect {
                workers::Effect::Txn { machine, txn } => effects.push(Effect::Txn {
                    owner: TxnOwner::Holder(machine),
                    class: Class::Place,
                    txn,
                }),
                workers::Effect::Call {
                    machine,
                    addr,
                    token,
                    session,
                    orders,
                } => effects.push(Effect::Call {
                    machine,
                    addr,
                    token,
                    session,
                    orders,
                }),
                workers::Effect::ToLeader(message) => {
                    let Some(leader) = &self.replica.leader else {
                        continue;
                    };
                    if leader.value.member == self.config.member {
                        self.deliver(now, message, effects);
                    } else {
                        effects.push(Effect::Peer(leader.value.member.clone(), message));
                    }
                }
                workers::Effect::Found(id, record) => {
                    self.replica.discover(id, record);
                    self.holder.look_again();
                    self.next_sync = now;
                }
                workers::Effect::Lost(id) => self.replica.forget(&id),
                workers::Effect::RenewBlock(block) => self.renew(block, effects),
            }
        }
    }

    fn renew(&self, block: crate::ids::BlockId, effects: &mut Vec<Effect>) {
        if let Some(txn) = self.leadership.renew_block(block, &self.replica) {
            effects.push(Effect::Txn {
                owner: TxnOwner::Nobody,
                class: Class::Place,
                txn,
            });
        }
    }

    fn deliver(&mut self, now: Time, message: Message, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        match message {
            Message::Allot(allotment) => {
                self.holder
                    .on_allot(now, allotment, &self.replica, &mut out);
            }
            Message::Stop {
                machine,
                run,
                grace,
            } => self
                .holder
                .on_stop(now, &machine, run, grace, &self.replica, &mut out),
            Message::Freed(runs) => {
                for (_, run, done) in &runs {
                    if let Some(job) = self.replica.jobs.get_mut(&run.task.job).filter(|_| *done) {
                        job.tell(run.task.index);
                    }
                }
                self.scheduler.on_freed(runs);
                self.dirty = true;
            }
            Message::Refused { fence, runs } => {
                self.scheduler.on_refused(fence, &runs);
                self.dirty = true;
            }
            Message::Ended(ended) => {
                if ended.end == End::Done
                    && let (Some(pipeline), Some(ran)) = (&ended.pipeline, ended.ran)
                {
                    self.history
                        .add(pipeline, &ended.type_name, ended.estimate_s, ran);
                }
                self.scheduler.on_ended(now, &ended, &self.replica);
                self.dirty = true;
            }
            Message::Strays(machines) => self.hearing.on_strays(now, machines),
            Message::Health(health) => {
                let urgent = health.len() == 1;
                for h in &health {
                    if let Some(record) = &h.unrecorded {
                        self.replica.discover(h.machine.clone(), record.clone());
                    }
                }
                self.scheduler.on_health(now, health, &self.replica);
                self.dirty |= urgent;
            }
            // Dealt with before they get here.
            Message::Hello { .. }
            | Message::Word { .. }
            | Message::Relay { .. }
            | Message::Ask { .. }
            | Message::Reply { .. }
            | Message::Cancelled { .. }
            | Message::CancelledKnown { .. } => {}
        }
        self.holder_effects(now, out, effects);
    }

    /// Does whatever is due. Called after every input.
    fn turn(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_sync {
            self.next_sync = now + SYNC_EVERY;
            let mut out = Vec::new();
            self.holder.sync(now, &self.replica, &mut out);
            self.holder_effects(now, out, &mut effects);
        }
        if let Some(txn) = self.leadership.drive(now, &self.replica) {
            effects.push(Effect::Txn {
                owner: TxnOwner::Leadership,
                class: Class::Grant,
                txn,
            });
        }
        let overdue = now >= self.next_overdue;
        if overdue {
            self.next_overdue = now + OVERDUE_EVERY;
            self.overdue.look(now, &self.replica);
        }
        match self.leadership.settled_term(&self.replica) {
            Some(term) if now < self.assured => {
                if overdue {
                    self.give_up_overdue(now, &mut effects);
                    let health = self.scheduler.health.values().map(|h| &h.last);
                    let blocks = self.config.blocks();
                    self.hearing.judge(now, blocks, health, &self.replica);
                    self.leadership.resting = self.hearing.resting();
                }
                self.lead(now, term, &mut effects);
            }
            // Perhaps somebody else leads by now.
            Some(_) => self.give_up_own(now, overdue, &mut effects),
            None => {
                self.give_up_own(now, overdue, &mut effects);
                self.plans.clear();
                self.releasing.clear();
                self.history.clear();
            }
        }
        effects
    }

    fn lead(&mut self, now: Time, term: Revision, effects: &mut Vec<Effect>) {
        let due = (self.dirty && now >= self.next_schedule)
            || now.since(self.last_schedule) >= SCHEDULE_EVERY;
        if due {
            self.dirty = false;
            self.last_schedule = now;
            let pause = Span((self.replica.machines.len() / MACHINES_PER_MS) as u64);
            self.next_schedule = now + SCHEDULE_PAUSE + pause;
            self.plan(now);
            self.release(now, effects);
            let mut out = Vec::new();
            self.scheduler.drive(now, term, &self.replica, &mut out);
            for effect in out {
                match effect {
                    placement::Effect::ToHolder(member, message) => {
                        if member == self.config.member {
                            self.deliver(now, *message, effects);
                        } else {
                            effects.push(Effect::Peer(member, *message));
                        }
                    }
                    placement::Effect::RenewBlock(block) => self.renew(block, effects),
                }
            }
        }
        self.write_plans(now, term, effects);
        if now >= self.next_fleet {
            self.next_fleet = now + FLEET_EVERY;
            let mut out = Vec::new();
            self.fleet
                .drive(now, term, &self.replica, &mut self.scheduler, &mut out);
            effects.extend(self.cloud_effects(now, out));
            self.store_catalog(effects);
        }
        if now >= self.next_history {
            self.next_history = now + HISTORY_EVERY;
            if let Some((pipeline, record)) = self.history.next(&self.replica) {
                let mut txn = Txn::default();
                txn.require(keys::LEADER, term);
                txn.put(keys::history(&pipeline), &record, None);
                effects.push(Effect::Txn {
                    owner: TxnOwner::Nobody,
                    class: Class::Record,
                    txn,
                });
            }
        }
        if now >= self.next_clean {
            self.next_clean = now + CLEAN_EVERY;
            self.forget_lost(now);
            self.fold(effects);
            let mut txn = Txn::default();
            for key in self.replica.orphans() {
                txn.delete(key);
            }
            if !txn.changes.is_empty() {
                effects.push(Effect::Txn {
                    owner: TxnOwner::Nobody,
                    class: Class::Record,
                    txn,
                });
            }
        }
    }

    /// Gives up machines on which a cancelled job's tasks could not be stopped in time.
    fn give_up_overdue(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let patience = self.fleet.patience(&self.replica);
        let silent = |id: &MachineId| self.scheduler.is_silent(now, id, patience, &self.replica);
        let freed = |run: &Run| self.scheduler.is_freed(run);
        let due = self
            .overdue
            .due(now, self.config.cancel, &self.replica, silent, freed);
        effects.extend(due.ask.into_iter().map(Effect::Standing));
        if !due.give_up.is_empty() {
            tracing::info!(machines = ?due.give_up, "cancelled work can't be stopped there");
            self.fleet.give_up(now, due.give_up);
            self.next_fleet = now;
        }
    }

    /// The same by a holder that does not lead, or does not know that it still does: a deletion
    /// needs the cloud and no fence. In an outage of the state service nobody leads for certain.
    fn give_up_own(&mut self, now: Time, due: bool, effects: &mut Vec<Effect>) {
        if !due {
            return;
        }
        let patience = self.fleet.patience(&self.replica);
        let holder = &self.holder;
        let silent = |id: &MachineId| holder.silent(now, id).is_some_and(|s| s >= patience);
        let freed = |run: &Run| holder.is_gone(run);
        let due = self
            .overdue
            .due(now, self.config.cancel, &self.replica, silent, freed);
        self.giving_up
            .retain(|_, at| now.since(*at) < GIVE_UP_AGAIN);
        let (asked, fleet) = (&self.giving_up, &self.fleet);
        let new = |id: &MachineId| !asked.contains_key(id) && !fleet.is_deleted(id);
        let ids: Vec<MachineId> = due.give_up.into_iter().filter(new).collect();
        if !ids.is_empty() {
            tracing::info!(machines = ?ids, "cancelled work can't be stopped on machines held here");
            self.giving_up
                .extend(ids.iter().map(|id| (id.clone(), now)));
            effects.push(Effect::Delete(ids));
        }
    }

    /// Plans what was accepted. The plan serves at once; its record follows.
    fn plan(&mut self, now: Time) {
        let new: Vec<JobId> = self
            .replica
            .jobs
            .iter()
            .filter(|(_, job)| job.plan.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in new {
            let Some(plan) = self
                .replica
                .jobs
                .get(&id)
                .map(|job| plan_job(job, &self.replica))
            else {
                continue;
            };
            if let Some(job) = self.replica.jobs.get_mut(&id) {
                job.plan = Some(plan.clone());
            }
            if self.plans.is_empty() {
                self.plans_since = now;
            }
            self.plans.insert(id, plan);
        }
    }

    /// Writes plans in batches: one change for many. The batch goes once all its jobs are over.
    fn write_plans(&mut self, now: Time, term: Revision, effects: &mut Vec<Effect>) {
        let room = self.config.value_bytes / 2;
        let full = 600 * self.plans.len() > room;
        let due = full || now.since(self.plans_since) >= PLANS_GATHER;
        let waits = self.plans_in_flight || now < self.plans_again;
        if self.plans.is_empty() || waits || !due {
            return;
        }
        let mut batch = PlanBatch::new();
        let mut size = 0;
        while size < room
            && let Some((id, plan)) = self.plans.pop_first()
        {
            if self.replica.jobs.contains_key(&id) {
                let machines = plan.machines.iter().map(|m| 4 + m.as_str().len());
                size += 80 + id.as_str().len() + machines.sum::<usize>();
                batch.insert(id, plan);
            }
        }
        self.plans_since = now;
        if batch.is_empty() {
            return;
        }
        self.plan_batch += 1;
        let name = format!("{term}-{}", self.plan_batch);
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        txn.require(keys::plans(&name), Revision(0));
        txn.put(keys::plans(&name), &batch, None);
        self.plans_in_flight = true;
        effects.push(Effect::Txn {
            owner: TxnOwner::Plans(batch.into_keys().collect()),
            class: Class::Record,
            txn,
        });
    }

    /// Ends jobs all of whose tasks are counted as done.
    fn release(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.releasing
            .retain(|id, at| self.replica.jobs.contains_key(id) && now.since(*at) < RELEASE_AGAIN);
        for (id, job) in &self.replica.jobs {
            if !self.releasing.contains_key(id)
                && let Some(txn) =
                    counter::release(id, job, self.config.segment_tasks(), self.config.txn_ops)
            {
                self.releasing.insert(id.clone(), now);
                effects.push(Effect::Txn {
                    owner: TxnOwner::Release(id.clone()),
                    class: Class::Place,
                    txn,
                });
            }
        }
    }

    /// Forgets machines without a record of which no holder has spoken for a while: what is there
    /// will be found again. Not at once: a holder speaks of a new one only after a moment, and
    /// forgotten before that it was never used (simulated seed 557 of the crowded days).
    fn forget_lost(&mut self, now: Time) {
        let unrecorded = self.replica.machines.iter();
        let unheard: Vec<MachineId> = unrecorded
            .filter(|(id, m)| m.revision == Revision(0) && !self.scheduler.heard_of(now, id))
            .map(|(id, _)| id.clone())
            .collect();
        self.unheard.retain(|id, _| unheard.contains(id));
        for id in unheard {
            let since = *self.unheard.entry(id.clone()).or_insert(now);
            if now.since(since) >= UNHEARD {
                self.replica.forget(&id);
            }
        }
    }

    /// Moves what machines' records count into the jobs' own counters where a record grows long.
    fn fold(&mut self, effects: &mut Vec<Effect>) {
        let long = self.config.value_bytes / 4;
        let records = self.replica.machines.values().map(|m| &m.record);
        let full = records.filter(|r| r.done_bound() > long);
        let jobs: BTreeSet<&JobId> = full.flat_map(|r| r.done.iter().map(|d| &d.job)).collect();
        for id in jobs.into_iter().take(FOLDS) {
            let mut txn = Txn::default();
            if let Some(job) = self.replica.jobs.get(id) {
                let (size, room) = (self.config.segment_tasks(), self.config.txn_ops);
                counter::fold(&mut txn, id, job, size, room);
            }
            if !txn.changes.is_empty() {
                effects.push(Effect::Txn {
                    owner: TxnOwner::Nobody,
                    class: Class::Place,
                    txn,
                });
            }
        }
    }

    fn store_catalog(&mut self, effects: &mut Vec<Effect>) {
        if self.catalog_in_flight {
            return;
        }
        if let Some(catalog) = self.fleet.catalog_to_store(&self.replica) {
            self.catalog_in_flight = true;
            let mut txn = Txn::default();
            txn.put(keys::CATALOG, catalog, None);
            effects.push(Effect::Txn {
                owner: TxnOwner::Catalog,
                class: Class::Place,
                txn,
            });
        }
    }

    fn cloud_effects(&mut self, now: Time, out: Vec<cloud::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in out {
            match effect {
                cloud::Effect::Rent(request) => effects.push(Effect::Rent(request)),
                cloud::Effect::Delete(ids) => effects.push(Effect::Delete(ids)),
                cloud::Effect::List => effects.push(Effect::List),
                cloud::Effect::Catalog => effects.push(Effect::Catalog),
                cloud::Effect::DropRecord(id) => {
                    self.dropping.retain(|_, at| now.since(*at) < Span(1000));
                    if let Some(machine) = self.replica.machines.get(&id)
                        && !self.dropping.contains_key(&id)
                    {
                        // The holder may have placed something meanwhile: then this fails, and
                        // is built anew on what stands.
                        if machine.revision == Revision(0) {
                            self.replica.forget(&id);
                            continue;
                        }
                        self.dropping.insert(id.clone(), now);
                        let mut txn = Txn::default();
                        txn.require(keys::machine(&id), machine.revision);
                        // What was counted there goes into the jobs' own counters first: a
                        // leader that reads everything anew would run it again.
                        let mut all = true;
                        for done in &machine.record.done {
                            let room = self.config.txn_ops - 1 - txn.changes.len();
                            if let Some(job) = self.replica.jobs.get(&done.job) {
                                let size = self.config.segment_tasks();
                                all &= counter::fold(&mut txn, &done.job, job, size, room);
                            }
                        }
                        if all {
                            txn.delete(keys::machine(&id));
                        }
                        effects.push(Effect::Txn {
                            owner: TxnOwner::Nobody,
                            class: Class::Place,
                            txn,
                        });
                    }
                }
            }
        }
        effects
    }
}

#[cfg(test)]
mod tests;
