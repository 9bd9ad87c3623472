//! One scheduling pass: every waiting job in its order gets the room that is left for it.

use super::allotment_ledger::AllottedTasks;
use super::candidates::Candidate;
use super::fault_tracking::Faults;
use super::gangs::{Gangs, Next, missing};
use super::preemption::victims;
use super::queue_turns::{QueueTurn, queue_turns};
use super::quota_usage::QuotaUsage;
use super::ranking::{CandidateSearch, choices};
use super::unmet_demand::UnmetDemand;
use super::zone_constraint::ZoneConstraint;
use crate::config::Config;
use crate::ids::{
    AttemptNumber, JobId, MachineId, Member, Millis, MonotonicTime, Resources, Revision,
    TaskAttempt, TaskId, TeamId, UnixTime,
};
use crate::peers::{Allotment, attempt_number};
use crate::protocol::JobKind;
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::PlacedJob;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds of fetching that a replica is spared if possible.
const MAX_QUICK_FETCH_S: f64 = 0.8;
/// How long it waits for the place that is being made.
pub(super) const IMAGE_WAIT_LIMIT: Millis = Millis(1200);
/// While a smaller part of a second's worth of changes is left, tasks go where one change places
/// the most. Near the full: else single tasks on nearly full machines use up what a large array
/// needs next.
const AMPLE_BUDGET_FRACTION: f64 = 0.9;
/// Tasks of one allotment.
const MAX_TASKS_PER_ALLOTMENT: usize = 400;

/// Numbers of attempts: never used twice, since a term's number leads them.
#[derive(Default)]
pub(super) struct AttemptNumbers {
    pub term: Revision,
    counter: u64,
}

impl AttemptNumbers {
    pub(super) fn of_term(term: Revision) -> Self {
        Self { term, counter: 0 }
    }

    fn next(&mut self) -> AttemptNumber {
        self.counter += 1;
        attempt_number(self.term, self.counter)
    }
}

/// An allotment on its way out, with what it is booked under.
pub(super) struct PendingAllotment {
    pub owner: Member,
    pub machine: MachineId,
    pub team: TeamId,
    pub need: Resources,
    pub allotment: Allotment,
}

/// The tasks of a job that are to be placed now.
struct Request {
    open: Vec<u32>,
    /// The one attempt of all of a gang's tasks.
    attempt_number: Option<AttemptNumber>,
}

/// What was found for a request.
#[derive(Default)]
struct PlacementResult {
    /// By candidate.
    batch: Vec<(usize, PendingAllotment)>,
    /// Tasks without a place.
    left: u64,
    /// There was room on machines whose records no change could be spent on.
    changes_spent: bool,
}

impl PlacementResult {
    fn tasks(&self) -> usize {
        self.batch
            .iter()
            .map(|(_, o)| o.allotment.attempts.len())
            .sum()
    }
}

/// What a pass starts from.
pub(super) struct PassInputs<'a> {
    pub now: MonotonicTime,
    pub unix_time: UnixTime,
    pub config: &'a Config,
    pub cache: &'a WatchCache,
    pub faults: &'a Faults,
    pub within: &'a BTreeSet<JobId>,
    /// The tasks that were allotted in earlier passes and are not on record.
    pub allotted: AllottedTasks<'a>,
    /// Room that only replicas may take, by candidate.
    pub reserve: Vec<Resources>,
    /// The candidates whose records are to be written anyway: placing there costs no further
    /// change.
    pub written: Vec<bool>,
}

/// What a pass changes of the scheduler's state.
pub(super) struct PassState<'a> {
    pub gangs: &'a mut Gangs,
    pub attempt_numbers: &'a mut AttemptNumbers,
    /// What arrays may cost in changes of machines' records.
    pub records: &'a mut TokenBucket,
    /// Services for which a place with their image is being made.
    pub awaiting_image: &'a mut BTreeMap<JobId, MonotonicTime>,
}

pub(super) struct SchedulingPass<'a> {
    pub input: PassInputs<'a>,
    state: PassState<'a>,
    pub quota_usage: QuotaUsage<'a>,
    pub candidates: Vec<Candidate<'a>>,
    /// The candidates with room for arrays. Most machines are full most of the time.
    roomy: Vec<usize>,
    /// CPUs free for arrays on machines whose records nothing can be spent on in this pass.
    unwritten: u64,
    /// The tasks that each job was given on machines that have its image.
    given: BTreeMap<&'a JobId, usize>,
    pub unmet_demands: Vec<UnmetDemand>,
    /// Arrays found room on machines whose records no change could be spent on.
    pub changes_spent: bool,
    /// Replicas for which lower work is to make room where their image is.
    pub image_demands: Vec<UnmetDemand>,
    pub allotments: Vec<PendingAllotment>,
}

impl<'a> SchedulingPass<'a> {
    pub(super) fn new(
        input: PassInputs<'a>,
        state: PassState<'a>,
        quota_usage: QuotaUsage<'a>,
        candidates: Vec<Candidate<'a>>,
    ) -> Self {
        let roomy = (0..candidates.len()).collect();
        let mut scheduling_pass = Self {
            input,
            state,
            quota_usage,
            candidates,
            roomy,
            unwritten: 0,
            given: BTreeMap::new(),
            unmet_demands: Vec::new(),
            changes_spent: false,
            image_demands: Vec::new(),
            allotments: Vec::new(),
        };
        scheduling_pass.drop_full();
        scheduling_pass
    }

    /// Gives every waiting job its turn.
    pub(super) fn run(&mut self) {
        for turn in queue_turns(&self.input, &self.candidates) {
            self.serve(turn);
        }
    }

    fn serve(&mut self, turn: QueueTurn<'a>) {
        if turn.cached_only && self.roomy.is_empty() {
            return;
        }
        let request = match turn.kind() {
            JobKind::Gang => self.gang_request(turn),
            JobKind::Array | JobKind::Service => self.tasks_request(turn),
        };
        let Some(request) = request.filter(|r| !r.open.is_empty()) else {
            return;
        };
        let zones =
            ZoneConstraint::new(turn.job, self.input.allotted.get(turn.id), self.input.cache);
        let order = self.order(turn, &request, &zones);
        if turn.kind() == JobKind::Service && self.waits_for_image(turn, &request, &order) {
            return;
        }
        let found = self.fill(turn, &request, &order, zones);
        self.settle(turn, &request, found);
    }

    /// The tasks of a job that were allotted, in this pass or before, and are not on record.
    fn allotted_count(&self, turn: QueueTurn<'a>) -> usize {
        let before = self.input.allotted.get(turn.id).map_or(0, BTreeMap::len);
        before + self.given.get(turn.id).copied().unwrap_or(0)
    }

    /// All of a gang's tasks, or what one that has not started yet has lost.
    fn gang_request(&mut self, turn: QueueTurn<'a>) -> Option<Request> {
        let room = self.quota_usage.allows(&turn.job.spec.team, turn.need());
        let open = missing(turn.job, self.input.allotted.get(turn.id));
        let (now, wait) = (self.input.now, self.input.config.gang_wait);
        let allotted = self.allotted_count(turn);
        let next = self
            .state
            .gangs
            .next(now, turn.id, turn.job, allotted, wait);
        if next == Next::Wait || open.len() as u64 > room {
            return None;
        }
        let attempt_number = match next {
            Next::Replace(attempt_number) => attempt_number,
            Next::Whole | Next::Wait => self.state.attempt_numbers.next(),
        };
        Some(Request {
            open,
            attempt_number: Some(attempt_number),
        })
    }

    /// As many tasks of an array or a service as the team's limit allows.
    fn tasks_request(&mut self, turn: QueueTurn<'a>) -> Option<Request> {
        let QueueTurn { id, job, .. } = turn;
        let room = self.quota_usage.allows(&job.spec.team, turn.need());
        let mut allowed = room.min(MAX_TASKS_PER_ALLOTMENT as u64) as usize;
        let going = self.allotted_count(turn);
        if let Some(trial) = self.input.faults.trial(id) {
            allowed = allowed.min(trial.saturating_sub(job.placed.len() + going));
        }
        if turn.kind() == JobKind::Array && self.roomy.is_empty() {
            let ended = job.done_count() as usize + job.placed.len() + going;
            let left = (job.spec.tasks as usize).saturating_sub(ended).min(allowed);
            self.report_unmet_demand(turn, left as u64);
            return None;
        }
        let already = self.input.allotted.get(id);
        let just_now = self.given.get(id).copied().unwrap_or(0);
        let open = job
            .open_tasks(self.input.config.segment_tasks())
            .filter(|i| already.is_none_or(|a| !a.contains_key(i)))
            .skip(just_now)
            .take(allowed);
        Some(Request {
            open: open.collect(),
            attempt_number: None,
        })
    }

    /// Notes tasks for which there is no room. What only waits for its machine's record to be
    /// written lacks no machine.
    fn report_unmet_demand(&mut self, turn: QueueTurn<'a>, left: u64) {
        let cpus = turn.need().cpus;
        let waits = left.min(self.unwritten / cpus.max(1));
        self.unwritten -= waits * cpus;
        if left > waits {
            let short = UnmetDemand::of(turn.id, turn.job, left - waits);
            self.unmet_demands.push(short);
        }
    }

    /// The machines for a request, best first.
    fn order(
        &mut self,
        turn: QueueTurn<'a>,
        request: &Request,
        zones: &ZoneConstraint,
    ) -> Vec<usize> {
        let now = self.input.now;
        let array = turn.kind() == JobKind::Array;
        let tasks = request.open.len();
        let scarce = self.state.records.available_fraction(now) < AMPLE_BUDGET_FRACTION
            || tasks as f64 > 0.5 * self.state.records.level(now);
        let reserved = turn.kind() != JobKind::Service;
        let search = CandidateSearch {
            most: (scarce && array).then_some(tasks as u64),
            among: array.then_some(self.roomy.as_slice()),
            reserve: reserved.then_some(self.input.reserve.as_slice()),
            cached_only: turn.cached_only,
        };
        let faults = self.input.faults;
        search.order(turn.id, turn.job, zones, faults, &self.candidates)
    }

    /// A replica that would have to fetch its image rather takes the place of lower work where
    /// the image is, and waits a moment for that.
    fn waits_for_image(&mut self, turn: QueueTurn<'a>, request: &Request, order: &[usize]) -> bool {
        let QueueTurn { id, job, .. } = turn;
        let spec = &job.spec;
        let best = order.first().map(|at| &self.candidates[*at]);
        if best.is_none_or(|c| c.fetch_seconds(spec) <= MAX_QUICK_FETCH_S) {
            return false;
        }
        let now = self.input.now;
        let asked = self.state.awaiting_image.get(id).copied();
        if let Some(at) = asked {
            return now.since(at) < IMAGE_WAIT_LIMIT;
        }
        let cache = self.input.cache;
        let lower = |attempt: &TaskAttempt, _: &PlacedJob| {
            let victim = cache.jobs.get(&attempt.task.job)?.priority();
            (victim < job.priority()).then_some(victim)
        };
        let place = self
            .candidates
            .iter()
            .filter(|c| c.has_image(spec))
            .any(|c| victims(c, spec, Resources::default(), 1, cache, lower).is_some());
        if place {
            self.state.awaiting_image.insert(id.clone(), now);
            self.image_demands.push(UnmetDemand {
                cached_only: true,
                ..UnmetDemand::of(id, job, request.open.len() as u64)
            });
        }
        place
    }

    /// Takes room on the machines of an order until all tasks have theirs.
    fn fill(
        &mut self,
        turn: QueueTurn<'a>,
        request: &Request,
        order: &[usize],
        mut zones: ZoneConstraint,
    ) -> PlacementResult {
        let mut open = request.open.iter().copied().peekable();
        let mut found = PlacementResult::default();
        for (rank, at) in order.iter().copied().enumerate() {
            if !self.may_change_record(turn, at) {
                found.changes_spent = true;
                continue;
            }
            let mut tasks = Vec::new();
            while open.peek().is_some() && self.takes_one(turn, at, &mut zones) {
                tasks.extend(open.next());
            }
            if tasks.is_empty() {
                continue;
            }
            let alone = zones.binds();
            let choices = choices(
                &self.candidates[at],
                &order[rank..],
                &self.candidates,
                alone,
            );
            let pending_allotment =
                self.pending_allotment(turn, at, tasks, request.attempt_number, choices);
            found.batch.push((at, pending_allotment));
            if open.peek().is_none() {
                break;
            }
        }
        found.left = open.count() as u64;
        found
    }

    /// Whether a change of a machine's record can be spent, for an array. What must run at once
    /// is never held back for that.
    fn may_change_record(&mut self, turn: QueueTurn<'a>, at: usize) -> bool {
        if turn.kind() != JobKind::Array || self.input.written[at] {
            return true;
        }
        let taken = self
            .state
            .records
            .try_acquire(self.input.now, 1.0, RequestClass::Place);
        self.input.written[at] |= taken;
        taken
    }

    /// Takes room for one more task on a machine, if it is there and the job's zones allow it.
    fn takes_one(&mut self, turn: QueueTurn<'a>, at: usize, zones: &mut ZoneConstraint) -> bool {
        let held = match turn.kind() {
            JobKind::Service => Resources::default(),
            JobKind::Array | JobKind::Gang => self.input.reserve[at],
        };
        let need = turn.need();
        let candidate = &mut self.candidates[at];
        let takes = need.fits(candidate.free - held)
            && zones.admits(candidate.zone)
            && candidate.record.take(&turn.job.spec);
        if takes {
            zones.add(candidate.zone);
            candidate.free = candidate.free - need;
        }
        takes
    }

    fn pending_allotment(
        &mut self,
        turn: QueueTurn<'a>,
        at: usize,
        tasks: Vec<u32>,
        fixed: Option<AttemptNumber>,
        preferred: Vec<MachineId>,
    ) -> PendingAllotment {
        let QueueTurn { id, job, .. } = turn;
        let spec = &job.spec;
        let candidate = &self.candidates[at];
        let age_ms = self.input.unix_time.0.saturating_sub(job.eligible.0);
        tracing::debug!(job = %id, kind = ?spec.kind, machine = %candidate.id, tasks = tasks.len(), image = %spec.image, cached = candidate.has_image(spec), age_ms, "allotted");
        let attempt_numbers = &mut self.state.attempt_numbers;
        let attempts = tasks.into_iter().map(|index| TaskAttempt {
            task: TaskId {
                job: id.clone(),
                index,
            },
            number: fixed.unwrap_or_else(|| attempt_numbers.next()),
        });
        PendingAllotment {
            owner: candidate.owner.clone(),
            machine: candidate.id.clone(),
            team: spec.team.clone(),
            need: spec.need(),
            allotment: Allotment {
                shard: candidate.shard,
                fence: candidate.fence,
                job_revision: job.revision,
                attempts: attempts.collect(),
                preferred,
            },
        }
    }

    /// Books what was found for a job, and what was not.
    fn settle(&mut self, turn: QueueTurn<'a>, request: &Request, found: PlacementResult) {
        let QueueTurn { id, job, .. } = turn;
        if found.changes_spent {
            self.changes_spent = true;
            self.keep_written();
        }
        if turn.cached_only {
            self.given.insert(id, found.tasks());
        } else {
            self.report_unmet_demand(turn, found.left);
        }
        if found.left > 0 && turn.kind() == JobKind::Gang {
            self.give_back(turn, found);
            return;
        }
        if turn.kind() == JobKind::Array && !found.batch.is_empty() {
            self.drop_full();
        }
        if let Some(attempt_number) = request.attempt_number
            && job.placed.is_empty()
        {
            self.state
                .gangs
                .launched(self.input.now, id, attempt_number);
        }
        for (_, pending_allotment) in found.batch {
            let count = pending_allotment.allotment.attempts.len() as u64;
            self.quota_usage
                .charge(&job.spec.team, turn.need().times(count));
            self.allotments.push(pending_allotment);
        }
    }

    /// All or none: what was found for a part of a gang goes back.
    fn give_back(&mut self, turn: QueueTurn<'a>, found: PlacementResult) {
        for (at, pending_allotment) in found.batch {
            let count = pending_allotment.allotment.attempts.len() as u64;
            let free = self.candidates[at].free;
            self.candidates[at].free = free + turn.need().times(count);
            self.candidates[at].record.give_back(count);
        }
    }

    /// Without a change to spend only those machines will do whose records are written anyway.
    fn keep_written(&mut self) {
        let roomy = std::mem::take(&mut self.roomy);
        let (kept, waiting): (Vec<_>, Vec<_>) =
            roomy.into_iter().partition(|at| self.input.written[*at]);
        self.roomy = kept;
        self.unwritten += waiting
            .iter()
            .map(|at| self.room_for_arrays(*at))
            .sum::<u64>();
    }

    fn drop_full(&mut self) {
        let mut roomy = std::mem::take(&mut self.roomy);
        roomy.retain(|at| self.room_for_arrays(*at) > 0);
        self.roomy = roomy;
    }

    /// The CPUs of a machine that arrays may take.
    fn room_for_arrays(&self, at: usize) -> u64 {
        (self.candidates[at].free - self.input.reserve[at]).cpus
    }
}
