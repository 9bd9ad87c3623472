//! All decisions of one controller: the slices put together, still without I/O, clock or
//! randomness of its own. The daemon carries out the effects; tests do so in simulated time.

mod cancel;
mod dependents;
mod lead;

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
use dependents::Dependents;
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
    /// The release of a job that waited for others.
    Dependent(JobId),
    /// The cancellation of jobs that need a cancelled one.
    CancelledDependents(Vec<JobId>),
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
/// Machine types that the state service refused for their size are offered again after this.
const CATALOG_AGAIN: Span = Span(60_000);
/// The removal of a machine's record is tried again after this.
const DROP_AGAIN: Span = Span(1000);
/// For so long at the most it waits for jobs that are counted there.
const COUNTED_FOR: Span = Span(60_000);
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
    dependents: Dependents,
    catalog_in_flight: bool,
    catalog_again: Time,
    dropping: BTreeMap<MachineId, Time>,
    /// Since when machines are gone whose records still stand.
    gone_since: BTreeMap<MachineId, Time>,
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
            dependents: Dependents::default(),
            catalog_in_flight: false,
            catalog_again: zero,
            dropping: BTreeMap::new(),
            gone_since: BTreeMap::new(),
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
                    let plan = self.replica.plan(job).cloned();
                    self.plans.extend(plan.map(|p| (job.clone(), p)));
                }
            }
            TxnOwner::Release(job) => {
                let known = !matches!(outcome, TxnOutcome::Unknown);
                if known && !matches!(outcome, TxnOutcome::Committed(_)) {
                    self.releasing.remove(job);
                }
                if matches!(outcome, TxnOutcome::Committed(_)) {
                    self.learn_outcome(job, JobState::Done);
                }
            }
            TxnOwner::Dependent(job) => self.on_release(now, job, outcome),
            TxnOwner::CancelledDependents(jobs) => {
                if let TxnOutcome::Committed(revision) = outcome {
                    self.dependents_cancelled(jobs, *revision);
                }
            }
            TxnOwner::Catalog => {
                self.catalog_in_flight = false;
                if matches!(outcome, TxnOutcome::Invalid) {
                    tracing::error!(
                        "the machine types do not fit into a value of the state service"
                    );
                    self.catalog_again = now + CATALOG_AGAIN;
                }
            }
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
        self.learn_outcome(job, state);
        self.next_overdue = now;
        self.turn(now)
    }

    pub fn tick(&mut self, now: Time, wall: crate::ids::Wall) -> Vec<Effect> {
        self.fleet.wall = wall;
        self.scheduler.wall = wall;
        self.turn(now)
    }

    /// How many changes the state service takes in a second from all controllers.
    pub fn set_change_rate(&mut self, changes: f64) {
        self.holder.set_change_rate(changes);
        self.scheduler.set_change_rate(changes);
        self.fleet.change_rate = changes;
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
                self.dependents.clear();
                self.releasing.clear();
                self.history.clear();
            }
        }
        effects
    }
}

#[cfg(test)]
mod tests;
