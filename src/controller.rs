//! All decisions of one controller: the slices put together, still without I/O, clock or
//! randomness of its own. The daemon carries out the effects; tests do so in simulated time.

mod cancel;
mod dependents;
mod lead;

use crate::cancellation::{RoundId, Rounds, View};
use crate::cloud::{self, Fleet, Overdue, RentOutcome};
use crate::config::Config;
use crate::ids::{
    FencingToken, Incarnation, JobId, LeaseId, MachineId, Member, Millis, MonotonicTime, Revision,
    ShardId, TaskAttempt,
};
use crate::leadership::{Hearing, Leadership};
use crate::peers::{AttemptOutcome, Message};
use crate::placement::{self, Scheduler};
use crate::planning::{History, counter, plan_job};
use crate::protocol::store::{Event, Txn};
use crate::protocol::{Catalog, Command, Heartbeat, JobState, ListedMachine, RentRequest};
use crate::store::TxnOutcome;
use crate::store::keys;
use crate::store::records::{PlanBatch, PlanRecord};
use crate::store::tokens::Class;
use crate::store::watch_cache::WatchCache;
use crate::workers::{self, CallOutcome, HeartbeatAnswer, ShardOwner};
use dependents::Dependents;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whom a transaction's outcome concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TxnRequester {
    ShardOwner(MachineId),
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
        requester: TxnRequester,
        class: Class,
        txn: Txn,
    },
    Call {
        machine: MachineId,
        addr: String,
        token: FencingToken,
        epoch: crate::ids::WorkerEpoch,
        commands: Vec<Command>,
    },
    Peer(Member, Message),
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
    Catalog,
    /// Read how a job that is over has ended.
    Standing(JobId),
}

const SCHEDULE_PAUSE: Millis = Millis(15);
const SCHEDULE_EVERY: Millis = Millis(500);
const FLEET_EVERY: Millis = Millis(400);
const SYNC_EVERY: Millis = Millis(200);
const HISTORY_EVERY: Millis = Millis(5000);
const CLEAN_EVERY: Millis = Millis(2000);
const OVERDUE_EVERY: Millis = Millis(1000);
/// A holder's own deletion that was not carried out is asked for again after this.
const GIVE_UP_AGAIN: Millis = Millis(3000);
/// Plans gather for so long, or until a record is half full, to be written in one change.
const PLANS_GATHER: Millis = Millis(1000);
/// Counters that are brought up to date at once.
const FOLDS: usize = 4;
/// A release without an outcome is tried again after this.
const RELEASE_AGAIN: Millis = Millis(4000);
/// Machine types that the state service refused for their size are offered again after this.
const CATALOG_AGAIN: Millis = Millis(60_000);
/// The removal of a machine's record is tried again after this.
const DROP_AGAIN: Millis = Millis(1000);
/// For so long at the most it waits for jobs that are counted there.
const COUNTED_FOR: Millis = Millis(60_000);
const UNHEARD: Millis = Millis(10_000);
/// The turns of a large fleet lie further apart, by so many machines for a millisecond.
const MACHINES_PER_MS: usize = 4;

pub struct Controller {
    config: Config,
    pub cache: WatchCache,
    pub leadership: Leadership,
    pub shard_owner: ShardOwner,
    pub scheduler: Scheduler,
    pub fleet: Fleet,
    hearing: Hearing,
    overdue: Overdue,
    next_overdue: MonotonicTime,
    /// Machines whose deletion was asked for without leading, and when.
    giving_up: BTreeMap<MachineId, MonotonicTime>,
    rounds: Rounds,
    history: History,
    /// Plans that are made and not yet written.
    plans: BTreeMap<JobId, PlanRecord>,
    plans_in_flight: bool,
    plans_since: MonotonicTime,
    plans_again: MonotonicTime,
    plan_batch: u64,
    releasing: BTreeMap<JobId, MonotonicTime>,
    dependents: Dependents,
    catalog_in_flight: bool,
    catalog_again: MonotonicTime,
    dropping: BTreeMap<MachineId, MonotonicTime>,
    /// Since when machines are gone whose records still stand.
    gone_since: BTreeMap<MachineId, MonotonicTime>,
    /// Since when no holder has spoken of a machine without a record.
    unheard: BTreeMap<MachineId, MonotonicTime>,
    dirty: bool,
    next_schedule: MonotonicTime,
    last_schedule: MonotonicTime,
    next_fleet: MonotonicTime,
    assured: MonotonicTime,
    next_sync: MonotonicTime,
    next_history: MonotonicTime,
    next_clean: MonotonicTime,
}

impl Controller {
    pub fn new(config: &Config, incarnation: Incarnation) -> Self {
        let zero = MonotonicTime::default();
        Self {
            config: config.clone(),
            cache: WatchCache::new(config),
            leadership: Leadership::new(config, incarnation),
            shard_owner: ShardOwner::new(config, incarnation),
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
    pub fn assure(&mut self, until: MonotonicTime) {
        self.assured = until;
    }

    pub fn set_lease(&mut self, now: MonotonicTime, lease: Option<LeaseId>) -> Vec<Effect> {
        self.leadership.set_lease(lease, &self.cache);
        self.turn(now)
    }

    /// A mirror read anew takes the old one's place.
    pub fn on_snapshot(&mut self, now: MonotonicTime, mut cache: WatchCache) -> Vec<Effect> {
        cache.keep_cancelled(&self.cache);
        self.cache = cache;
        self.shard_owner.look_again();
        self.dirty = true;
        self.next_sync = now;
        self.turn(now)
    }

    /// The next changes of the stream; also the jobs that ended by them.
    pub fn on_events(
        &mut self,
        now: MonotonicTime,
        revision: Revision,
        events: Vec<Event>,
    ) -> (Vec<Effect>, Vec<JobId>) {
        let touched: BTreeSet<MachineId> = events
            .iter()
            .filter_map(|e| keys::machine_of(e.put.as_deref().or(e.delete.as_deref())?))
            .collect();
        let ended = self.cache.apply(revision, events);
        self.dirty = true;
        let mut out = Vec::new();
        self.shard_owner
            .on_changed(now, &touched, &self.cache, &mut out);
        (self.finish(now, out), ended)
    }

    pub fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        self.process_heartbeat(now, heartbeat, false)
    }

    fn process_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        relayed: bool,
    ) -> (HeartbeatAnswer, Vec<Effect>) {
        let mut out = Vec::new();
        let answer = self
            .shard_owner
            .on_heartbeat(now, heartbeat, relayed, &self.cache, &mut out);
        (answer, self.finish(now, out))
    }

    /// A report that its worker could not bring here itself. `None`: it should try.
    pub fn on_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> (Option<HeartbeatAnswer>, Vec<Effect>) {
        if !self.shard_owner.takes_relayed(now, &heartbeat.machine) {
            return (None, Vec::new());
        }
        let (answer, effects) = self.process_heartbeat(now, heartbeat, true);
        (Some(answer), effects)
    }

    /// Machines held here whose reports have not come straight for so long that they may be cut
    /// off.
    pub fn misses(&self, now: MonotonicTime) -> Vec<MachineId> {
        self.shard_owner.misses(now)
    }

    /// Whether some controllers can't reach each other: machines may be cut off likewise.
    pub fn set_cut(&mut self, cut: bool) {
        self.shard_owner.cut = cut;
    }

    pub fn on_call(
        &mut self,
        now: MonotonicTime,
        machine: &MachineId,
        token: FencingToken,
        outcome: CallOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        self.shard_owner
            .on_call(now, machine, token, outcome, &self.cache, &mut out);
        self.finish(now, out)
    }

    pub fn on_txn(
        &mut self,
        now: MonotonicTime,
        requester: &TxnRequester,
        outcome: &TxnOutcome,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        match requester {
            TxnRequester::ShardOwner(machine) => {
                self.shard_owner
                    .on_txn(now, machine, outcome, &mut self.cache, &mut out);
                self.dirty = true;
            }
            TxnRequester::Leadership => self.leadership.on_txn(now, outcome),
            TxnRequester::Plans(jobs) => {
                self.plans_in_flight = false;
                // Under any other outcome they are written, or somebody else leads. A refusal
                // for want of tokens comes back at once: without a pause it would go round and
                // round (entry 37769b7d).
                self.plans_again = now + PLANS_GATHER;
                let again = matches!(outcome, TxnOutcome::Refused);
                for job in jobs.iter().filter(|_| again) {
                    let plan = self.cache.plan(job).cloned();
                    self.plans.extend(plan.map(|p| (job.clone(), p)));
                }
            }
            TxnRequester::Release(job) => {
                let known = !matches!(outcome, TxnOutcome::Unknown);
                if known && !matches!(outcome, TxnOutcome::Committed(_)) {
                    self.releasing.remove(job);
                }
                if matches!(outcome, TxnOutcome::Committed(_)) {
                    self.learn_outcome(job, JobState::Done);
                }
            }
            TxnRequester::Dependent(job) => self.on_release(now, job, outcome),
            TxnRequester::CancelledDependents(jobs) => {
                if let TxnOutcome::Committed(revision) = outcome {
                    self.dependents_cancelled(jobs, *revision);
                }
            }
            TxnRequester::Catalog => {
                self.catalog_in_flight = false;
                if matches!(outcome, TxnOutcome::Invalid) {
                    tracing::error!(
                        "the machine types do not fit into a value of the state service"
                    );
                    self.catalog_again = now + CATALOG_AGAIN;
                }
            }
            TxnRequester::Nobody => {}
        }
        self.finish(now, out)
    }

    pub fn on_peer(&mut self, now: MonotonicTime, from: &Member, message: Message) -> Vec<Effect> {
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

    pub fn on_catalog(&mut self, now: MonotonicTime, catalog: Option<Catalog>) -> Vec<Effect> {
        self.fleet.on_catalog(now, catalog);
        self.turn(now)
    }

    pub fn on_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
    ) -> Vec<Effect> {
        self.fleet.on_list(now, machines, &self.cache);
        self.turn(now)
    }

    pub fn on_rent(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) -> Vec<Effect> {
        self.fleet.on_rent(now, request, outcome);
        self.turn(now)
    }

    pub fn on_deleted(&mut self, now: MonotonicTime, ids: &[MachineId], ok: bool) -> Vec<Effect> {
        let mut cloud = Vec::new();
        self.fleet.on_deleted(now, ids, ok, &mut cloud);
        let mut effects = self.cloud_effects(now, cloud);
        effects.extend(self.turn(now));
        effects
    }

    pub fn on_standing(&mut self, now: MonotonicTime, job: &JobId, state: JobState) -> Vec<Effect> {
        self.overdue.learn(job, state);
        self.learn_outcome(job, state);
        self.next_overdue = now;
        self.turn(now)
    }

    pub fn tick(&mut self, now: MonotonicTime, unix_time: crate::ids::UnixTime) -> Vec<Effect> {
        self.fleet.unix_time = unix_time;
        self.scheduler.unix_time = unix_time;
        self.turn(now)
    }

    /// How many changes the state service takes in a second from all controllers.
    pub fn set_change_rate(&mut self, changes: f64) {
        self.shard_owner.set_change_rate(changes);
        self.scheduler.set_change_rate(changes);
        self.fleet.change_rate = changes;
    }

    /// When the next tick is due; events may ask for an earlier one.
    pub fn wants_turn_at(&self, now: MonotonicTime) -> MonotonicTime {
        let schedule = if self.dirty {
            self.next_schedule
        } else {
            now + SCHEDULE_EVERY
        };
        schedule.min(self.next_sync)
    }

    fn finish(&mut self, now: MonotonicTime, out: Vec<workers::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.apply_owner_effects(now, out, &mut effects);
        effects.extend(self.turn(now));
        effects
    }

    /// Carries messages between this controller's own duties, and turns the rest into effects.
    fn apply_owner_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<workers::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let mut queue = VecDeque::from(out);
        while let Some(effect) = queue.pop_front() {
            match effect {
                workers::Effect::Txn { machine, txn } => effects.push(Effect::Txn {
                    requester: TxnRequester::ShardOwner(machine),
                    class: Class::Place,
                    txn,
                }),
                workers::Effect::Call {
                    machine,
                    addr,
                    token,
                    epoch,
                    commands,
                } => effects.push(Effect::Call {
                    machine,
                    addr,
                    token,
                    epoch,
                    commands,
                }),
                workers::Effect::ToLeader(message) => {
                    let Some(leader) = &self.cache.leader else {
                        continue;
                    };
                    if leader.value.member == self.config.member {
                        self.deliver(now, message, effects);
                    } else {
                        effects.push(Effect::Peer(leader.value.member.clone(), message));
                    }
                }
                workers::Effect::Found(id, record) => {
                    self.cache.discover(id, record);
                    self.shard_owner.look_again();
                    self.next_sync = now;
                }
                workers::Effect::Lost(id) => self.cache.forget(&id),
                workers::Effect::RenewShard(shard) => self.renew(shard, effects),
            }
        }
    }

    fn renew(&self, shard: crate::ids::ShardId, effects: &mut Vec<Effect>) {
        if let Some(txn) = self.leadership.renew_shard(shard, &self.cache) {
            effects.push(Effect::Txn {
                requester: TxnRequester::Nobody,
                class: Class::Place,
                txn,
            });
        }
    }

    fn deliver(&mut self, now: MonotonicTime, message: Message, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        match message {
            Message::Allot(allotment) => {
                self.shard_owner
                    .on_allot(now, allotment, &self.cache, &mut out);
            }
            Message::Stop {
                machine,
                attempt,
                grace,
            } => self
                .shard_owner
                .on_stop(now, &machine, attempt, grace, &self.cache, &mut out),
            Message::Freed(attempts) => {
                for (_, attempt, done) in &attempts {
                    if let Some(job) = self.cache.jobs.get_mut(&attempt.task.job).filter(|_| *done)
                    {
                        job.tell(attempt.task.index);
                    }
                }
                self.scheduler.on_freed(attempts);
                self.dirty = true;
            }
            Message::Refused { fence, attempts } => {
                self.scheduler.on_refused(fence, &attempts);
                self.dirty = true;
            }
            Message::EndedAttempt(ended) => {
                if ended.end == AttemptOutcome::Done
                    && let (Some(pipeline), Some(ran)) = (&ended.pipeline, ended.ran)
                {
                    self.history
                        .add(pipeline, &ended.type_name, ended.estimate_s, ran);
                }
                self.scheduler.on_ended(now, &ended, &self.cache);
                self.dirty = true;
            }
            Message::Strays(machines) => self.hearing.on_strays(now, machines),
            Message::Health(health) => {
                let urgent = health.len() == 1;
                for h in &health {
                    if let Some(record) = &h.unrecorded {
                        self.cache.discover(h.machine.clone(), record.clone());
                    }
                }
                self.scheduler.on_health(now, health, &self.cache);
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
        self.apply_owner_effects(now, out, effects);
    }

    /// Does whatever is due. Called after every input.
    fn turn(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_sync {
            self.next_sync = now + SYNC_EVERY;
            let mut out = Vec::new();
            self.shard_owner.sync(now, &self.cache, &mut out);
            self.apply_owner_effects(now, out, &mut effects);
        }
        if let Some(txn) = self.leadership.drive(now, &self.cache) {
            effects.push(Effect::Txn {
                requester: TxnRequester::Leadership,
                class: Class::Lease,
                txn,
            });
        }
        let overdue = now >= self.next_overdue;
        if overdue {
            self.next_overdue = now + OVERDUE_EVERY;
            self.overdue.look(now, &self.cache);
        }
        match self.leadership.settled_term(&self.cache) {
            Some(term) if now < self.assured => {
                if overdue {
                    self.give_up_overdue(now, &mut effects);
                    let health = self.scheduler.health.values().map(|h| &h.last);
                    let shards = self.config.shards();
                    self.hearing.judge(now, shards, health, &self.cache);
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
