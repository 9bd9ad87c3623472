//! Allots tasks to blocks. The leader counts every placement that is not proved gone and every
//! allotment of its term, and prefers each job's placement group; the holders place.

use super::accounts::Accounts;
use super::faults::Faults;
use super::gangs::{Gangs, Next, missing};
use super::order::{guaranteed, oldest_first, rank};
use crate::config::Config;
use crate::ids::{
    Amounts, Attempt, BlockId, JobId, MachineId, Member, Revision, Run, Span, TaskId, TeamId, Time,
    TypeName, Wall, Zone,
};
use crate::peers::{Allotment, End, Ended, MachineHealth, Message, attempt};
use crate::store::records::PlacedJob;
use crate::store::replica::{LiveJob, LiveMachine, Replica};
use crate::store::tokens::{Bucket, Class};
use crate::wire::{JobSpec, Kind, Priority, Why};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Debug)]
pub enum Effect {
    ToHolder(Member, Box<Message>),
    /// An allotment has gone without an answer: rewriting the block voids it.
    RenewBlock(BlockId),
}

/// Tasks for which no machine has room.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    pub job: JobId,
    pub need: Amounts,
    pub tasks: u64,
    pub seconds: f64,
    pub priority: Priority,
    /// All tasks at the same time: a service or a gang.
    pub together: bool,
    /// Only a machine that has the image will do.
    pub cached_only: bool,
}

/// An allotment without an answer for so long is voided by rewriting its block. Holders give back
/// what they can't write well before that.
const ANSWER: Span = Span(8000);
/// A machine whose holder says nothing of it is not used.
const HEALTH_AGE: Span = Span(5000);
/// A preemption that has freed nothing by then is forgotten.
const PREEMPT: Span = Span(10_000);
/// Replicas for which room is kept at least.
const SPARE_REPLICAS: u64 = 2;
/// Seconds of fetching that a replica is spared if possible.
const QUICK: f64 = 0.8;
/// How long it waits for the place that is being made.
const AWAIT: Span = Span(1200);
/// The part of the state service's changes that arrays are placed with: each machine that is
/// given tasks has its record written for them, and others need changes as well.
const RECORDS_SHARE: f64 = 0.65;
/// While a smaller part of a second's worth is left, tasks go where one change places the most.
/// Near the full: else single tasks on nearly full machines use up what a large array needs next.
const PLENTY: f64 = 0.9;
/// Steps in which the number of tasks that a machine takes at once counts.
const TOGETHER: u64 = 4;
/// Tasks for which victims are looked for in one turn: each looks at every machine.
const LOOKS: usize = 24;
/// Machines of a block that its holder may choose from.
const CHOICES: usize = 6;
/// A job within a guarantee that has waited so long stands behind work that does not end.
const STALLED: Span = Span(120_000);
/// Fetching is worth waiting for another place from this part of a task's own time on. Below, the
/// wait costs more than it saves, and places of few tasks use up changes (Savannah fleet, calm).
const FETCH_PART: f64 = 0.2;
/// An array that has waited so long for its first task takes any place.
const PATIENT: Span = Span(60_000);
/// Tasks of one allotment.
const BATCH: usize = 400;

struct Allotted {
    block: BlockId,
    fence: Revision,
    machine: MachineId,
    team: TeamId,
    need: Amounts,
    at: Time,
}

/// Numbers of attempts: never used twice, since a term's number leads them.
#[derive(Default)]
struct Attempts {
    term: Revision,
    counter: u64,
}

impl Attempts {
    fn next(&mut self) -> Attempt {
        self.counter += 1;
        attempt(self.term, self.counter)
    }
}

/// An allotment on its way out, with what it is booked under.
struct Outgoing {
    holder: Member,
    machine: MachineId,
    team: TeamId,
    need: Amounts,
    allotment: Allotment,
}

/// What the holder of a machine last said of it.
#[derive(Clone, Debug)]
pub struct Health {
    pub at: Time,
    pub last: MachineHealth,
}

pub struct Scheduler {
    config: Rc<Config>,
    attempts: Attempts,
    allotted: BTreeMap<Run, Allotted>,
    pub health: BTreeMap<MachineId, Health>,
    pub faults: Faults,
    gangs: Gangs,
    preempted: BTreeMap<Run, Time>,
    /// Services for which a place with their image is being made.
    awaiting: BTreeMap<JobId, Time>,
    renewed: BTreeMap<BlockId, Time>,
    /// Proved gone, though their machines' records still stand.
    freed: BTreeMap<Run, MachineId>,
    /// What arrays may cost in changes of machines' records.
    records: Bucket,
    pub shortages: Vec<Shortage>,
    pub wall: Wall,
    /// Machines on their way out: they get nothing new.
    pub leaving: BTreeSet<MachineId>,
}

/// One machine in a round of allotting.
struct Candidate<'a> {
    id: &'a MachineId,
    block: BlockId,
    fence: Revision,
    holder: &'a Member,
    type_name: &'a TypeName,
    zone: &'a Zone,
    spot: bool,
    room: Amounts,
    free: Amounts,
    images: Vec<&'a str>,
    fetch_gb_per_s: f64,
    replicas: usize,
    replicas_use: Amounts,
}

impl Candidate<'_> {
    fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.contains(&spec.image.as_str())
    }
}

/// Where, and how, a job looks for room.
struct Look<'a> {
    /// How many tasks it has, while each machine that is used costs a change that is scarce.
    most: Option<u64>,
    among: Option<&'a [usize]>,
    /// Room that is kept from it.
    reserve: Option<&'a [Amounts]>,
    /// Only where nothing has to be fetched.
    cached_only: bool,
}

impl Shortage {
    fn of(id: &JobId, job: &LiveJob, tasks: u64) -> Self {
        let spec = &job.spec;
        Self {
            job: id.clone(),
            need: spec.need(),
            tasks,
            seconds: job.plan.as_ref().map_or(spec.estimate_s, |p| p.predicted_s),
            priority: spec.priority,
            together: spec.kind != Kind::Array,
            cached_only: false,
        }
    }
}

impl Scheduler {
    pub fn new(config: &Config) -> Self {
        Self {
            config: Rc::new(config.clone()),
            attempts: Attempts::default(),
            allotted: BTreeMap::new(),
            health: BTreeMap::new(),
            faults: Faults::default(),
            gangs: Gangs::default(),
            preempted: BTreeMap::new(),
            awaiting: BTreeMap::new(),
            renewed: BTreeMap::new(),
            freed: BTreeMap::new(),
            records: Bucket::new(config.state_write_rps * RECORDS_SHARE),
            shortages: Vec::new(),
            wall: Wall(0),
            leaving: BTreeSet::new(),
        }
    }

    /// Takes a holder's word on its machines. One that the state service refuses alone goes on
    /// speaking of machines that others hold since, and of their silence: that is no news (on
    /// Tramite grown a third of the fleet counted as lost for 30 s).
    pub fn on_health(&mut self, now: Time, health: Vec<MachineHealth>, replica: &Replica) {
        let blocks = self.config.blocks();
        for last in health {
            let lease = replica.blocks.get(&last.machine.block(blocks));
            if lease.is_some_and(|l| l.revision > last.fence) {
                continue;
            }
            self.gangs.on_health(&last);
            self.health
                .insert(last.machine.clone(), Health { at: now, last });
        }
    }

    pub fn on_freed(&mut self, runs: Vec<(MachineId, Run, bool)>) {
        let runs = runs.into_iter();
        self.freed
            .extend(runs.map(|(machine, run, _)| (run, machine)));
    }

    pub fn on_refused(&mut self, fence: Revision, runs: &[Run]) {
        for run in runs {
            if self.allotted.get(run).is_some_and(|a| a.fence == fence) {
                self.allotted.remove(run);
            }
        }
    }

    pub fn on_ended(&mut self, now: Time, ended: &Ended, replica: &Replica) {
        // A gang's lost member is replaced under the same attempt. Once the mirror shows the end,
        // what is allotted under it is the replacement: taking that off the books started the
        // task twice (simulated seed 261 of the crowded days).
        let job = replica.jobs.get(&ended.run.task.job);
        let reused = job.is_some_and(|j| j.spec.kind == Kind::Gang);
        let machine = replica.machines.get(&ended.machine);
        let shown = machine.is_none_or(|m| m.revision >= ended.revision);
        if !(reused && shown) {
            self.allotted.remove(&ended.run);
        }
        self.preempted.remove(&ended.run);
        let job = &ended.run.task.job;
        if !matches!(ended.end, End::Absent) {
            self.gangs.on_ended(job);
        }
        match ended.end {
            End::Done => self.faults.succeeded(job, &ended.machine),
            End::Exited(Why::Error) => self.faults.failed(now, job, &ended.machine),
            End::Exited(_) | End::Absent => {}
        }
    }

    /// Another term: what was allotted in an earlier one failed at the blocks' fences, or is in
    /// the mirror.
    fn enter(&mut self, term: Revision) {
        if self.attempts.term != term {
            self.attempts = Attempts { term, counter: 0 };
            self.allotted.clear();
            self.preempted.clear();
            self.faults.clear();
            self.gangs.clear();
            self.leaving.clear();
            self.freed.clear();
        }
    }

    pub fn drive(&mut self, now: Time, term: Revision, replica: &Replica, out: &mut Vec<Effect>) {
        self.enter(term);
        self.settle(now, replica, out);
        let config = self.config.clone();
        let mut accounts = Accounts::new(&config.teams, replica.team_usage());
        let mut promised: BTreeMap<&MachineId, Amounts> = BTreeMap::new();
        let mut taken: BTreeMap<&JobId, BTreeMap<u32, &MachineId>> = BTreeMap::new();
        for (run, a) in &self.allotted {
            accounts.charge(&a.team, a.need);
            let sum = promised.entry(&a.machine).or_default();
            *sum = *sum + a.need;
            let tasks = taken.entry(&run.task.job).or_default();
            tasks.insert(run.task.index, &a.machine);
        }
        let mut freed: BTreeMap<&MachineId, Amounts> = BTreeMap::new();
        for (run, machine) in &self.freed {
            let record = replica.machines.get(machine).map(|m| &m.record);
            let placed = record.and_then(|r| r.jobs.iter().find(|p| p.job == run.task.job));
            if let Some(placed) = placed {
                accounts.credit(&placed.team, placed.need);
                let sum = freed.entry(machine).or_default();
                *sum = *sum + placed.need;
            }
        }
        let mut candidates = self.candidates(now, replica, &promised, &freed);
        // Machines whose record is to be written anyway cost no further change.
        let mut written: Vec<bool> = candidates
            .iter()
            .map(|c| promised.contains_key(c.id))
            .collect();
        // Most machines are full most of the time: an array looks at the others only.
        let reserve = self.reserve(replica, &candidates);
        let mut roomy: Vec<usize> = (0..candidates.len())
            .filter(|at| (candidates[*at].free - reserve[*at]).cpus > 0)
            .collect();
        let within = guaranteed(&self.config.teams, replica.jobs.iter());
        let segment_tasks = self.config.segment_tasks();
        let mut waiting: Vec<(&JobId, &LiveJob)> = replica
            .jobs
            .iter()
            .filter(|(id, job)| {
                !self.faults.paused(now, id)
                    && job.done_count() + (job.placed.len() as u32) < job.spec.tasks
            })
            .collect();
        waiting.sort_by_cached_key(|(id, job)| rank(id, job, within.contains(*id)));
        oldest_first(&mut waiting, self.wall);
        // Room for arrays on machines whose records nothing can be spent on in this turn.
        let mut unwritten = 0;
        let mut shortages = Vec::new();
        let mut quick = Vec::new();
        let mut allotments: Vec<Outgoing> = Vec::new();
        // Where more waits than there is room for, each place goes to the first in the order whose
        // image is there; what is left goes to whoever is first. On a full fleet a third of all
        // tasks fetched images for a third of their own time (Tramite fleet, busy).
        let covered = image_rooms(&candidates);
        let rates = candidates.iter().map(|c| c.fetch_gb_per_s);
        let slowest = rates.fold(f64::INFINITY, f64::min);
        let patient = |job: &LiveJob| self.is_patient(job, &covered, slowest);
        let mut given: BTreeMap<&JobId, usize> = BTreeMap::new();
        let first = waiting.iter().map(|(id, job)| (*id, *job, patient(job)));
        let second = waiting.iter().filter(|(_, job)| patient(job));
        let rounds: Vec<(&JobId, &LiveJob, bool)> = first
            .chain(second.map(|(id, job)| (*id, *job, false)))
            .collect();
        for (id, job, cached_only) in rounds {
            let spec = &job.spec;
            let need = spec.need();
            let already = taken.get(id);
            let gang = spec.kind == Kind::Gang;
            let array = spec.kind == Kind::Array;
            let just_now = given.get(id).copied().unwrap_or(0);
            let going = already.map_or(0, BTreeMap::len) + just_now;
            if cached_only && roomy.is_empty() {
                continue;
            }
            let room = accounts.allows(&spec.team, need);
            let (open, fixed) = if gang {
                let open = missing(job, already);
                let next = self.gangs.next(now, id, job, going, self.config.gang_wait);
                if next == Next::Wait || open.len() as u64 > room {
                    continue;
                }
                let fixed = match next {
                    Next::Replace(attempt) => attempt,
                    _ => self.attempts.next(),
                };
                (open, Some(fixed))
            } else {
                let mut allowed = room.min(BATCH as u64) as usize;
                if let Some(trial) = self.faults.trial(id) {
                    allowed = allowed.min(trial.saturating_sub(job.placed.len() + going));
                }
                if array && roomy.is_empty() {
                    let ended = job.done_count() as usize + job.placed.len() + going;
                    let left = (spec.tasks as usize).saturating_sub(ended).min(allowed) as u64;
                    let waits = left.min(unwritten / need.cpus.max(1));
                    unwritten -= waits * need.cpus;
                    if left > waits {
                        shortages.push(Shortage::of(id, job, left - waits));
                    }
                    continue;
                }
                let open = job
                    .open_tasks(segment_tasks)
                    .filter(|i| already.is_none_or(|a| !a.contains_key(i)))
                    .skip(just_now)
                    .take(allowed);
                (open.collect::<Vec<u32>>(), None)
            };
            if open.is_empty() {
                continue;
            }
            let mut zones = ZoneRule::new(job, already, replica);
            let services = spec.kind == Kind::Service;
            let scarce = self.records.part(now) < PLENTY
                || open.len() as f64 > 0.5 * self.records.level(now);
            let look = Look {
                most: (scarce && array).then_some(open.len() as u64),
                among: array.then_some(roomy.as_slice()),
                reserve: (!services).then_some(reserve.as_slice()),
                cached_only,
            };
            let order = self.preference(id, job, &zones, &candidates, &look);
            // A replica that would have to fetch its image rather takes the place of lower work
            // where the image is.
            let slow = order.first().is_some_and(|at| {
                let c = &candidates[*at];
                !c.has_image(spec) && spec.image_gb / c.fetch_gb_per_s > QUICK
            });
            if services && slow {
                let asked = self.awaiting.get(id).copied();
                if asked.is_some_and(|at| now.since(at) < AWAIT) {
                    continue;
                }
                let lower = |run: &Run, _: &PlacedJob| {
                    let victim = replica.jobs.get(&run.task.job)?.spec.priority;
                    (victim < spec.priority).then_some(victim)
                };
                let place = candidates
                    .iter()
                    .filter(|c| c.has_image(spec))
                    .any(|c| victims(c, spec, replica, lower).is_some());
                if asked.is_none() && place {
                    self.awaiting.insert(id.clone(), now);
                    quick.push(Shortage {
                        cached_only: true,
                        ..Shortage::of(id, job, open.len() as u64)
                    });
                    continue;
                }
            }
            let mut open = open.into_iter().peekable();
            let mut batch = Vec::new();
            let mut spent = false;
            for (rank, at) in order.iter().copied().enumerate() {
                let held = if services {
                    Amounts::default()
                } else {
                    reserve[at]
                };
                let candidate = &mut candidates[at];
                if array && !written[at] {
                    // A change of its record is spent on it, if there is one to spend. What must
                    // run at once is never held back for that.
                    if !self.records.try_take(now, 1.0, Class::Place) {
                        spent = true;
                        continue;
                    }
                    written[at] = true;
                }
                let mut runs = Vec::new();
                while open.peek().is_some()
                    && need.fits(candidate.free - held)
                    && zones.admits(candidate.zone)
                {
                    let Some(index) = open.next() else { break };
                    zones.add(candidate.zone);
                    candidate.free = candidate.free - need;
                    let task = TaskId {
                        job: id.clone(),
                        index,
                    };
                    let attempt = fixed.unwrap_or_else(|| self.attempts.next());
                    runs.push(Run { task, attempt });
                }
                if runs.is_empty() {
                    continue;
                }
                tracing::debug!(job = %id, machine = %candidate.id, tasks = runs.len(), image = %spec.image, cached = candidate.has_image(spec), age_ms = self.wall.0.saturating_sub(job.accepted.0), "allotted");
                let candidate = &candidates[at];
                let allotment = Allotment {
                    block: candidate.block,
                    fence: candidate.fence,
                    job_revision: job.revision,
                    runs,
                    preferred: preferred(candidate, &order[rank..], &candidates, zones.binds()),
                };
                let outgoing = Outgoing {
                    holder: candidate.holder.clone(),
                    machine: candidate.id.clone(),
                    team: spec.team.clone(),
                    need,
                    allotment,
                };
                batch.push((at, outgoing));
                if open.peek().is_none() {
                    break;
                }
            }
            let left = open.count() as u64;
            if spent {
                // Without a change to spend only those will do whose records are written anyway.
                let (kept, waiting): (Vec<_>, Vec<_>) =
                    roomy.into_iter().partition(|at| written[*at]);
                let room = waiting
                    .iter()
                    .map(|at| (candidates[*at].free - reserve[*at]).cpus);
                unwritten += room.sum::<u64>();
                roomy = kept;
            }
            let found: usize = batch.iter().map(|(_, o)| o.allotment.runs.len()).sum();
            if cached_only {
                given.insert(id, found);
            }
            // What only waits for its machine's record to be written lacks no machine.
            let left = if cached_only { 0 } else { left };
            let waits = left.min(unwritten / need.cpus.max(1));
            unwritten -= waits * need.cpus;
            let short = left - waits;
            if short > 0 {
                shortages.push(Shortage::of(id, job, short));
            }
            if left > 0 && gang {
                // All or none: what was found goes back.
                for (at, outgoing) in batch {
                    let count = outgoing.allotment.runs.len() as u64;
                    candidates[at].free = candidates[at].free + need.times(count);
                }
                continue;
            }
            if array && !batch.is_empty() {
                roomy.retain(|at| (candidates[*at].free - reserve[*at]).cpus > 0);
            }
            if let Some(attempt) = fixed
                && job.placed.is_empty()
            {
                self.gangs.launched(now, id, attempt);
            }
            for (_, outgoing) in batch {
                let count = outgoing.allotment.runs.len() as u64;
                accounts.charge(&spec.team, need.times(count));
                allotments.push(outgoing);
            }
        }
        quick.extend(shortages.iter().cloned());
        let mut stops = self.preemptions(replica, &quick, &candidates, &accounts, &within);
        stops.extend(self.moves(replica, &candidates));
        stops.extend(self.savings(replica));
        drop(candidates);
        for (machine, run) in stops {
            let block = machine.block(self.config.blocks());
            let Some(record) = replica.blocks.get(&block) else {
                continue;
            };
            let grace = replica
                .jobs
                .get(&run.task.job)
                .map_or(Span(0), |j| Span::from_secs(j.spec.save_s));
            self.preempted.insert(run.clone(), now);
            let message = Message::Stop {
                machine,
                run,
                grace,
            };
            out.push(Effect::ToHolder(
                record.value.holder.clone(),
                Box::new(message),
            ));
        }
        for outgoing in allotments {
            let allotment = outgoing.allotment;
            for run in &allotment.runs {
                let note = Allotted {
                    block: allotment.block,
                    fence: allotment.fence,
                    machine: outgoing.machine.clone(),
                    team: outgoing.team.clone(),
                    need: outgoing.need,
                    at: now,
                };
                self.allotted.insert(run.clone(), note);
            }
            let message = Box::new(Message::Allot(allotment));
            out.push(Effect::ToHolder(outgoing.holder, message));
        }
        self.shortages = shortages;
    }

    /// Takes off the books what the mirror shows as placed, or what can no longer be placed.
    fn settle(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        let mut overdue = BTreeSet::new();
        self.allotted.retain(|run, a| {
            // Placements under the old fence were committed before the block's new record, so
            // the mirror has them.
            let fenced = replica
                .blocks
                .get(&a.block)
                .is_none_or(|b| b.revision != a.fence);
            let placed = replica.jobs.get(&run.task.job).is_some_and(|j| {
                j.placed
                    .get(&run.task.index)
                    .is_some_and(|(_, attempt)| *attempt == run.attempt)
            });
            if now.since(a.at) >= ANSWER {
                overdue.insert(a.block);
            }
            !fenced && !placed
        });
        for block in overdue {
            let recent = self
                .renewed
                .get(&block)
                .is_some_and(|at| now.since(*at) < ANSWER);
            if !recent {
                self.renewed.insert(block, now);
                out.push(Effect::RenewBlock(block));
            }
        }
        self.freed.retain(|run, machine| {
            let machine = replica.machines.get(machine);
            machine.is_some_and(|m| m.record.holds(run))
        });
        self.preempted.retain(|_, at| now.since(*at) < PREEMPT);
        self.health
            .retain(|id, _| replica.machines.contains_key(id));
        self.gangs.retain(&replica.jobs);
        self.awaiting
            .retain(|id, at| replica.jobs.contains_key(id) && now.since(*at) < Span(10 * AWAIT.0));
        self.faults.retain(
            |job| replica.jobs.contains_key(job),
            |machine| replica.machines.contains_key(machine),
        );
    }

    /// Whether a holder has spoken of a machine lately.
    pub fn heard_of(&self, now: Time, id: &MachineId) -> bool {
        let health = self.health.get(id);
        health.is_some_and(|h| now.since(h.at) < HEALTH_AGE)
    }

    /// Whether its present holder says that nothing has come from a machine for so long.
    pub fn is_silent(&self, now: Time, id: &MachineId, for_long: Span, replica: &Replica) -> bool {
        let lease = replica.blocks.get(&id.block(self.config.blocks()));
        self.health.get(id).is_some_and(|h| {
            lease.is_some_and(|l| l.revision == h.last.fence)
                && h.last.silent >= for_long
                && now.since(h.at) < HEALTH_AGE
        })
    }

    /// Whether a holder has told that a placement is proved gone.
    pub fn is_freed(&self, run: &Run) -> bool {
        self.freed.contains_key(run)
    }

    /// Whether a machine can take work: its holder has it, under the present token, and no
    /// notice or fault stands against it.
    pub fn usable(&self, now: Time, id: &MachineId, replica: &Replica) -> bool {
        let block = id.block(self.config.blocks());
        let fence = replica.blocks.get(&block).map(|b| b.revision);
        let healthy = self.health.get(id).is_some_and(|h| {
            Some(h.last.fence) == fence
                && h.last.confirmed
                && h.last.notice.is_none()
                && now.since(h.at) < HEALTH_AGE
                && h.last.silent < self.config.report + Span(2000)
        });
        healthy && !self.faults.shunned(now, id) && !self.leaving.contains(id)
    }

    /// Whether a machine counts as capacity. One whose holder has just changed is of no use for
    /// a moment, but it is there: renting for it would be renting twice.
    pub fn present(&self, now: Time, id: &MachineId) -> bool {
        let lost = self.health.get(id).is_some_and(|h| {
            h.last.notice.is_some() || h.last.silent >= self.config.report + Span(2000)
        });
        !lost && !self.faults.shunned(now, id) && !self.leaving.contains(id)
    }

    fn candidates<'a>(
        &self,
        now: Time,
        replica: &'a Replica,
        promised: &BTreeMap<&MachineId, Amounts>,
        freed: &BTreeMap<&MachineId, Amounts>,
    ) -> Vec<Candidate<'a>> {
        let mut list = Vec::new();
        for (id, machine) in &replica.machines {
            let record = &machine.record;
            let block = id.block(self.config.blocks());
            let (Some(machine_type), Some(lease)) = (
                replica.machine_type(&record.type_name),
                replica.blocks.get(&block),
            ) else {
                continue;
            };
            if !self.usable(now, id, replica) {
                continue;
            }
            let room = machine_type.room();
            let used = record.used() + promised.get(id).copied().unwrap_or_default()
                - freed.get(id).copied().unwrap_or_default();
            let (replicas, replicas_use) = replicas(machine, replica);
            list.push(Candidate {
                id,
                block,
                fence: lease.revision,
                holder: &lease.value.holder,
                type_name: &record.type_name,
                zone: &record.zone,
                spot: record.spot,
                room,
                fetch_gb_per_s: machine_type.fetch_gb_per_s.max(0.01),
                free: room - used,
                images: machine.images.iter().map(|(i, _)| i.as_str()).collect(),
                replicas,
                replicas_use,
            });
        }
        list
    }

    /// The machines that a job may use, best first: its placement group, then those that have
    /// its image, then the fullest, so that others empty and can be returned. While changes are
    /// scarce, those that take most of its tasks at once.
    fn preference(
        &self,
        id: &JobId,
        job: &LiveJob,
        zones: &ZoneRule,
        candidates: &[Candidate<'_>],
        look: &Look<'_>,
    ) -> Vec<usize> {
        let spec = &job.spec;
        let group: BTreeSet<&MachineId> = job.plan.iter().flat_map(|p| p.machines.iter()).collect();
        let need = spec.need();
        let free = |at: usize| match look.reserve {
            Some(reserve) => candidates[at].free - reserve[at],
            None => candidates[at].free,
        };
        let zone = zones.choose(spec, candidates, free);
        let all: Vec<usize>;
        let among = match look.among {
            Some(among) => among,
            None => {
                all = (0..candidates.len()).collect();
                &all
            }
        };
        let mut order: Vec<(_, usize)> = among
            .iter()
            .map(|at| (*at, &candidates[*at]))
            .filter(|(at, c)| {
                need.fits(free(*at))
                    && (!look.cached_only || c.has_image(spec))
                    && spec.allows(c.type_name, c.zone, c.spot)
                    && !self.faults.failed_on(id, c.id)
                    && zone.as_ref().is_none_or(|z| z == c.zone)
            })
            .map(|(at, c)| {
                let cached = c.has_image(spec);
                // Replicas gather on few machines, so that the others can empty.
                let company = match spec.kind {
                    Kind::Service => std::cmp::Reverse(c.replicas),
                    _ => std::cmp::Reverse(0),
                };
                let fetch = if cached {
                    0.0
                } else {
                    spec.image_gb / c.fetch_gb_per_s
                };
                // A few tasks more or less don't outweigh an image that has to be fetched.
                let together = look
                    .most
                    .map(|n| std::cmp::Reverse(need.count_in(free(at)).min(n) / TOGETHER));
                let key = (
                    together,
                    // Whole seconds, so that small differences don't scatter the work.
                    fetch.ceil() as u64,
                    company,
                    // Work that may be lost goes to cheap machines.
                    !c.spot,
                    !group.contains(c.id),
                    c.free.cpus,
                );
                (key, at)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(_, at)| at).collect()
    }

    /// Whether a job may wait for places where its image is: an array, wherever it may run, for
    /// whose image there are enough of them, and which has not waited for its first task for long.
    fn is_patient(
        &self,
        job: &LiveJob,
        covered: &BTreeMap<&str, u64>,
        slowest_gb_per_s: f64,
    ) -> bool {
        let spec = &job.spec;
        let time = job.plan.as_ref().map_or(spec.estimate_s, |p| p.predicted_s);
        let fetch = spec.image_gb / slowest_gb_per_s;
        let left = spec.tasks.saturating_sub(job.done_count());
        let room = covered.get(spec.image.as_str()).copied().unwrap_or(0);
        let begun = !job.placed.is_empty() || job.done_count() > 0;
        let age = Span(self.wall.0.saturating_sub(job.accepted.0));
        spec.kind == Kind::Array
            && fetch >= FETCH_PART * time
            && !spec.one_zone
            && !spec.spread
            && room >= 2 * spec.need().cpus * u64::from(left)
            && (begun || age < PATIENT)
    }

    /// Room that only replicas may take, on the machines where most of them are: there the next
    /// one starts at once, and nothing has to be thrown away for it.
    fn reserve(&self, replica: &Replica, candidates: &[Candidate<'_>]) -> Vec<Amounts> {
        let mut reserve = vec![Amounts::default(); candidates.len()];
        let Some((need, mut count)) = spare_replicas(replica) else {
            return reserve;
        };
        let mut order: Vec<usize> = (0..candidates.len())
            .filter(|at| !candidates[*at].spot)
            .collect();
        order.sort_by_key(|at| {
            (
                std::cmp::Reverse(candidates[*at].replicas),
                candidates[*at].id,
            )
        });
        for at in order {
            let here = need
                .count_in(candidates[at].room - candidates[at].replicas_use)
                .min(count);
            reserve[at] = need.times(here);
            count -= here;
        }
        reserve
    }

    /// Replicas to stop on machines that are on their way out, where another machine has room
    /// and the image, so that they start there at once. One at a time for each service.
    fn moves(&self, replica: &Replica, candidates: &[Candidate<'_>]) -> Vec<(MachineId, Run)> {
        let mut stops: Vec<(MachineId, Run)> = Vec::new();
        let mut free: Vec<Amounts> = candidates.iter().map(|c| c.free).collect();
        let noticed = self.health.iter().filter(|(_, h)| h.last.notice.is_some());
        for id in self.leaving.iter().chain(noticed.map(|(id, _)| id)) {
            let Some(machine) = replica.machines.get(id) else {
                continue;
            };
            for (run, placed) in machine.record.runs() {
                let Some(job) = replica.jobs.get(&run.task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let busy = self.preempted.keys().any(|r| r.task.job == spec.id)
                    || stops.iter().any(|(_, r)| r.task.job == spec.id);
                if spec.kind != Kind::Service || busy || spec.spread || spec.one_zone {
                    continue;
                }
                let target = candidates.iter().enumerate().position(|(at, c)| {
                    spec.allows(c.type_name, c.zone, c.spot)
                        && c.has_image(spec)
                        && placed.need.fits(free[at])
                });
                if let Some(at) = target {
                    free[at] = free[at] - placed.need;
                    stops.push((id.clone(), run));
                }
            }
        }
        stops
    }

    /// Tasks that can save, on machines that are about to be taken: stopped in time, they go on
    /// elsewhere from where they were.
    fn savings(&self, replica: &Replica) -> Vec<(MachineId, Run)> {
        let mut stops = Vec::new();
        let mut gone: BTreeSet<Run> = self.preempted.keys().cloned().collect();
        for (id, health) in &self.health {
            let (Some(left), Some(machine)) = (health.last.notice, replica.machines.get(id)) else {
                continue;
            };
            for (run, _) in machine.record.runs() {
                let saves = replica.jobs.get(&run.task.job).is_some_and(|j| {
                    j.spec.checkpoint_s > 0.0 && j.spec.save_s + 1.0 < left.secs()
                });
                if saves {
                    stop_whole(&run, id, replica, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Tasks to stop so that those of a higher priority, or within a guarantee, get room.
    fn preemptions(
        &self,
        replica: &Replica,
        shortages: &[Shortage],
        candidates: &[Candidate<'_>],
        accounts: &Accounts<'_>,
        within: &BTreeSet<JobId>,
    ) -> Vec<(MachineId, Run)> {
        let mut stops = Vec::new();
        // Room that earlier preemptions are about to free is not asked for twice.
        let mut coming = Amounts::default();
        for run in self.preempted.keys() {
            if let Some(job) = replica.jobs.get(&run.task.job) {
                coming = coming + job.spec.need();
            }
        }
        let mut gone: BTreeSet<Run> = self.preempted.keys().cloned().collect();
        let lowest = replica
            .jobs
            .values()
            .filter(|j| !j.placed.is_empty())
            .map(|j| j.spec.priority)
            .min();
        let mut looks = LOOKS;
        for shortage in shortages {
            let Some(job) = replica.jobs.get(&shortage.job) else {
                continue;
            };
            let spec = &job.spec;
            // Tasks end all the time, and those of a guarantee are next in line: work is only
            // thrown away for them once waiting won't do.
            let age = Span(self.wall.0.saturating_sub(job.accepted.0));
            let guaranteed = within.contains(&shortage.job) && self.is_worth_room(age);
            let others = self.config.teams.keys().filter(|t| **t != spec.team);
            let borrowed = guaranteed && others.into_iter().any(|t| accounts.borrows(t));
            if !borrowed && lowest.is_none_or(|p| p >= spec.priority) {
                continue;
            }
            for _ in 0..shortage.tasks.min(16) {
                if looks == 0 {
                    return stops;
                }
                looks -= 1;
                if shortage.need.fits(coming) && coming.cpus > 0 {
                    coming = coming - shortage.need;
                    continue;
                }
                let best = candidates
                    .iter()
                    .filter(|c| !(shortage.cached_only || guaranteed) || c.has_image(spec))
                    .filter_map(|c| {
                        let fair = |run: &Run, placed: &PlacedJob| {
                            let victim = &replica.jobs.get(&run.task.job)?.spec;
                            let over = guaranteed
                                && victim.team != spec.team
                                && victim.priority <= spec.priority
                                && !within.contains(&victim.id)
                                && accounts.beyond_guarantee(&placed.team, placed.need);
                            let fair = victim.priority < spec.priority || over;
                            (fair && !gone.contains(run)).then_some(victim.priority)
                        };
                        let (cost, chosen) = victims(c, spec, replica, fair)?;
                        // Where the image is, the start is at once.
                        Some(((!c.has_image(spec), cost), c.id, chosen))
                    })
                    .min_by(|a, b| a.0.cmp(&b.0));
                let Some((_, machine, chosen)) = best else {
                    break;
                };
                for run in chosen {
                    stop_whole(&run, machine, replica, &mut gone, &mut stops);
                }
            }
        }
        stops
    }

    /// Whether room is made for a job within a guarantee that has waited so long: while a start
    /// can still be as prompt as the operators are held to, and then not before it is clear that
    /// places don't come free by themselves. In between it is first in line for every one that
    /// does. One task in eight was thrown away for jobs that were late already, on a fleet with a
    /// queue (Tramite fleet, busy).
    fn is_worth_room(&self, age: Span) -> bool {
        let patience = self.config.guarantee_patience.0;
        (patience..2 * patience).contains(&age.0) || age >= STALLED
    }

    /// Whether something that was allotted to a block before a time is still on its way: only
    /// that can come to a machine which has been left out of the lists since.
    pub fn allotted_before(&self, block: BlockId, at: Time) -> bool {
        self.allotted
            .values()
            .any(|a| a.block == block && a.at <= at)
    }

    pub fn allotted_count(&self) -> usize {
        self.allotted.len()
    }
}

/// The CPUs of the machines that have each image, used or not.
fn image_rooms<'a>(candidates: &[Candidate<'a>]) -> BTreeMap<&'a str, u64> {
    let mut rooms = BTreeMap::new();
    for c in candidates {
        for image in &c.images {
            *rooms.entry(*image).or_default() += c.room.cpus;
        }
    }
    rooms
}

/// The tasks to stop on a machine so that one more of a job fits, those that have done the least
/// first, and what they use. `fair` gives the priority of what may be stopped.
fn victims(
    candidate: &Candidate<'_>,
    spec: &JobSpec,
    replica: &Replica,
    fair: impl Fn(&Run, &PlacedJob) -> Option<Priority>,
) -> Option<(u64, Vec<Run>)> {
    let need = spec.need();
    let allowed = spec.allows(candidate.type_name, candidate.zone, candidate.spot);
    if !allowed || !need.fits(candidate.room) {
        return None;
    }
    let machine = replica.machines.get(candidate.id)?;
    let mut list: Vec<(Priority, Run, Amounts)> = machine
        .record
        .runs()
        .filter_map(|(run, placed)| Some((fair(&run, placed)?, run, placed.need)))
        .collect();
    list.sort_by_key(|(p, run, _)| (*p, std::cmp::Reverse(run.attempt)));
    let (mut free, mut cost, mut chosen) = (candidate.free, 0, Vec::new());
    for (_, run, size) in list {
        if need.fits(free) {
            break;
        }
        free = free + size;
        cost += size.cpus;
        chosen.push(run);
    }
    (need.fits(free) && !chosen.is_empty()).then_some((cost, chosen))
}

/// How many replicas of services a machine has, and what they use.
pub fn replicas(machine: &LiveMachine, replica: &Replica) -> (usize, Amounts) {
    let service = |p: &&PlacedJob| {
        replica
            .jobs
            .get(&p.job)
            .is_some_and(|j| j.spec.kind == Kind::Service)
    };
    let placed = machine.record.jobs.iter().filter(service);
    placed.fold((0, Amounts::default()), |(n, sum), p| {
        (n + p.tasks.len(), sum + p.need.times(p.tasks.len() as u64))
    })
}

/// The replicas for which room is kept: the largest need among the services, and how many.
pub fn spare_replicas(replica: &Replica) -> Option<(Amounts, u64)> {
    let (mut total, mut largest) = (0, Amounts::default());
    for job in replica.jobs.values() {
        if job.spec.kind == Kind::Service {
            let need = job.spec.need();
            total += need.cpus * u64::from(job.spec.tasks);
            if need.cpus > largest.cpus {
                largest = need;
            }
        }
    }
    let spare = (total as f64 * replica.settings().service_spare) as u64;
    let count = spare.checked_div(largest.cpus)?.max(SPARE_REPLICAS);
    Some((largest, count))
}

/// Stops a task, and with a task of a gang all of them: they can only save together.
fn stop_whole(
    run: &Run,
    machine: &MachineId,
    replica: &Replica,
    gone: &mut BTreeSet<Run>,
    stops: &mut Vec<(MachineId, Run)>,
) {
    let gang = replica
        .jobs
        .get(&run.task.job)
        .filter(|j| j.spec.kind == Kind::Gang);
    let mut add = |machine: &MachineId, run: Run| {
        if gone.insert(run.clone()) {
            stops.push((machine.clone(), run));
        }
    };
    match gang {
        None => add(machine, run.clone()),
        Some(job) => {
            for (index, (machine, attempt)) in &job.placed {
                let task = TaskId {
                    job: run.task.job.clone(),
                    index: *index,
                };
                let attempt = *attempt;
                add(machine, Run { task, attempt });
            }
        }
    }
}

/// The machines among which the holder of a candidate's block chooses: the candidate first, then
/// the block's others in the job's order. Where the job's zones depend on one another, only the
/// leader sees them all, and the candidate stands alone.
fn preferred(
    candidate: &Candidate<'_>,
    listed: &[usize],
    candidates: &[Candidate<'_>],
    alone: bool,
) -> Vec<MachineId> {
    let others = listed
        .iter()
        .map(|at| &candidates[*at])
        .filter(|c| !alone && c.block == candidate.block && c.id != candidate.id)
        .map(|c| c.id.clone());
    std::iter::once(candidate.id.clone())
        .chain(others)
        .take(CHOICES)
        .collect()
}

/// Keeps a job's tasks in one zone, or spread over zones, as it asks.
struct ZoneRule {
    one: bool,
    most: Option<u32>,
    counts: BTreeMap<Zone, u32>,
}

impl ZoneRule {
    fn new(job: &LiveJob, allotted: Option<&BTreeMap<u32, &MachineId>>, replica: &Replica) -> Self {
        let spec = &job.spec;
        let mut rule = Self {
            one: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            counts: BTreeMap::new(),
        };
        if rule.one || rule.most.is_some() {
            let placed = job.placed.values().map(|(machine, _)| machine);
            let allotted = allotted.iter().flat_map(|a| a.values().copied());
            for machine in placed.chain(allotted) {
                if let Some(machine) = replica.machines.get(machine) {
                    rule.add(&machine.record.zone);
                }
            }
        }
        rule
    }

    /// Where a job that must stay in one zone goes: to its other tasks, else to the zone with
    /// room for the most on machines that it may use. A zone full of others' machines once drew
    /// it away from the only one that it could run on (simulated seed 61 of late copies).
    fn choose(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
        free: impl Fn(usize) -> Amounts,
    ) -> Option<Zone> {
        if !self.one {
            return None;
        }
        if let Some(zone) = self.counts.keys().next() {
            return Some(zone.clone());
        }
        let mut room: BTreeMap<&Zone, u64> = BTreeMap::new();
        for (at, c) in candidates.iter().enumerate() {
            if spec.allows(c.type_name, c.zone, c.spot) {
                let sum = room.entry(c.zone).or_default();
                *sum = sum.saturating_add(spec.need().count_in(free(at)));
            }
        }
        let most = room.into_iter().max_by_key(|(_, n)| *n);
        most.map(|(zone, _)| zone.clone())
    }

    fn binds(&self) -> bool {
        self.one || self.most.is_some()
    }

    fn admits(&self, zone: &Zone) -> bool {
        let here = self.counts.get(zone).copied().unwrap_or(0);
        let elsewhere = self.counts.keys().any(|z| z != zone);
        !(self.one && elsewhere) && self.most.is_none_or(|most| here < most)
    }

    fn add(&mut self, zone: &Zone) {
        if self.one || self.most.is_some() {
            *self.counts.entry(zone.clone()).or_default() += 1;
        }
    }
}
