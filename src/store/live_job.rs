//! A job whose tasks may run, as the watch cache shows it.

use super::records::{Bitmap, DoneTasks, JobRecord, PlacedJob, PlanRecord};
use super::urgency::Urgency;
use super::versioned::Versioned;
use crate::ids::{AttemptNumber, MachineId, Revision, UnixTime};
use crate::protocol::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Where one attempt of a task is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// The machine on whose record the attempt is.
    pub machine: MachineId,
    /// The attempt's number, unique among all starts of all tasks.
    pub attempt: AttemptNumber,
}

/// An attempt on record that is not its task's latest.
#[derive(Debug)]
struct EarlierPlacement {
    index: u32,
    placement: Placement,
}

/// A job whose tasks may run: its record, and what machines' records and counters say of it.
#[derive(Debug)]
pub(crate) struct LiveJob {
    /// What the job's owner asked for.
    pub spec: Rc<JobSpec>,
    /// When the job was accepted.
    pub accepted_at: UnixTime,
    /// Since when its tasks may run: its acceptance, or the end of the last job that it needed.
    /// All times but the deadline count from here.
    pub eligible_at: UnixTime,
    /// By itself and by the jobs that depend on it.
    pub urgency: Urgency,
    /// The change that wrote its record.
    pub revision: Revision,
    /// The segments of its completion counter, by their number.
    pub segments: BTreeMap<u32, Versioned<Bitmap>>,
    /// Finished tasks that machines' records show and no segment yet. A task that was once done
    /// stays done: none is ever taken out but by its segment.
    pub done_outside_segments: BTreeSet<u32>,
    /// Finished tasks that a shard owner has reported and no record shows yet.
    reported_done: BTreeSet<u32>,
    /// Where each task's latest attempt is placed, by the task's index.
    pub placed: BTreeMap<u32, Placement>,
    /// Earlier attempts that are on record as well: a repeated transaction can bring the record of
    /// a deleted machine back for a moment. When that record goes, the latest attempt has to stay.
    earlier_placements: Vec<EarlierPlacement>,
    /// How it is to run; none until a controller has planned it.
    pub plan: Option<PlanRecord>,
    /// The first machines that its tasks were placed on.
    pub(super) first_machines: Vec<MachineId>,
}

impl LiveJob {
    /// A job of which nothing is known but its record and its plan.
    pub(super) fn new(record: JobRecord, revision: Revision, plan: Option<PlanRecord>) -> Self {
        Self {
            urgency: Urgency::from_spec(&record.spec, record.accepted_at),
            spec: Rc::new(record.spec),
            accepted_at: record.accepted_at,
            eligible_at: record.released_at.unwrap_or(record.accepted_at),
            revision,
            segments: BTreeMap::new(),
            done_outside_segments: BTreeSet::new(),
            reported_done: BTreeSet::new(),
            placed: BTreeMap::new(),
            earlier_placements: Vec::new(),
            plan,
            first_machines: Vec::new(),
        }
    }

    /// The priority that it may be treated as having.
    pub(crate) fn priority(&self) -> Priority {
        self.urgency.priority
    }

    /// How urgent the job is by itself, without the jobs that depend on it.
    pub(super) fn own_urgency(&self) -> Urgency {
        Urgency::from_spec(&self.spec, self.accepted_at)
    }

    /// How many of its tasks the records show as done.
    pub(crate) fn done_count(&self) -> u32 {
        let folded: u32 = self.segments.values().map(|s| s.value.count()).sum();
        folded + self.done_outside_segments.len() as u32
    }

    /// Notes the tasks that a machine's record places there.
    pub(super) fn place_tasks(&mut self, machine: &MachineId, placed: &PlacedJob) {
        for (index, attempt) in &placed.tasks {
            self.place(*index, machine, *attempt);
        }
    }

    /// Takes back the tasks that a machine's earlier record placed there.
    pub(super) fn unplace_tasks(&mut self, machine: &MachineId, placed: &PlacedJob) {
        for (index, attempt) in &placed.tasks {
            self.unplace(*index, machine, *attempt);
        }
    }

    fn place(&mut self, index: u32, machine: &MachineId, attempt: AttemptNumber) {
        if self.first_machines.len() < PlanRecord::MAX_MACHINES
            && !self.first_machines.contains(machine)
        {
            self.first_machines.push(machine.clone());
        }
        let new = Placement {
            machine: machine.clone(),
            attempt,
        };
        let old = self.placed.get(&index).filter(|old| **old != new).cloned();
        let (latest, earlier) = match old {
            Some(old) if old.attempt > attempt => (old, Some(new)),
            old => (new, old),
        };
        self.placed.insert(index, latest);
        if let Some(placement) = earlier {
            self.earlier_placements
                .push(EarlierPlacement { index, placement });
        }
    }

    fn unplace(&mut self, index: u32, machine: &MachineId, attempt: AttemptNumber) {
        let is_here = |p: &Placement| p.machine == *machine && p.attempt == attempt;
        if !self.placed.get(&index).is_some_and(is_here) {
            self.earlier_placements
                .retain(|s| s.index != index || !is_here(&s.placement));
            return;
        }
        self.placed.remove(&index);
        let others = self.earlier_placements.iter().enumerate();
        let of_task = others.filter(|(_, s)| s.index == index);
        if let Some((at, _)) = of_task.max_by_key(|(_, s)| s.placement.attempt) {
            let next = self.earlier_placements.swap_remove(at);
            self.placed.insert(index, next.placement);
        }
    }

    /// Takes a segment of the counter; tasks that it shows as done are no longer counted apart.
    pub(super) fn put_segment(
        &mut self,
        segment: u32,
        bits: Versioned<Bitmap>,
        tasks_per_segment: u32,
    ) {
        self.done_outside_segments
            .retain(|i| i / tasks_per_segment != segment || !bits.value.get(i % tasks_per_segment));
        self.segments.insert(segment, bits);
    }

    /// Notes that a shard owner has seen a task done. The tasks of a gang complete together.
    pub(crate) fn report_done(&mut self, index: u32) {
        match self.spec.kind {
            JobKind::Gang => self.reported_done.extend(0..self.spec.tasks),
            _ => drop(self.reported_done.insert(index)),
        }
    }

    /// Whether all tasks are done, by the counter and by what shard owners have reported.
    pub(crate) fn is_complete(&self, tasks_per_segment: u32) -> bool {
        let reported_done = self.reported_done.iter();
        let more = reported_done
            .filter(|i| **i < self.spec.tasks && !self.is_done(**i, tasks_per_segment));
        self.done_count() + more.count() as u32 >= self.spec.tasks
    }

    fn is_done_in_segment(&self, index: u32, tasks_per_segment: u32) -> bool {
        self.segments
            .get(&(index / tasks_per_segment))
            .is_some_and(|s| s.value.get(index % tasks_per_segment))
    }

    /// Whether the records show a task as done.
    pub(crate) fn is_done(&self, index: u32, tasks_per_segment: u32) -> bool {
        self.done_outside_segments.contains(&index)
            || self.is_done_in_segment(index, tasks_per_segment)
    }

    /// Whether a machine's record has to go on saying that these tasks are done.
    pub(crate) fn has_tasks_outside_segments(
        &self,
        done: &DoneTasks,
        tasks_per_segment: u32,
    ) -> bool {
        done.tasks()
            .any(|i| !self.is_done_in_segment(i, tasks_per_segment))
    }

    /// Counts the tasks that a machine's record shows as done.
    pub(super) fn add_done(&mut self, done: &DoneTasks, tasks_per_segment: u32) {
        for index in done.tasks().take_while(|i| *i < self.spec.tasks) {
            if !self.is_done_in_segment(index, tasks_per_segment) {
                self.done_outside_segments.insert(index);
            }
        }
    }

    /// Tasks that are neither done nor placed, in their order.
    pub(crate) fn unplaced_tasks(&self, tasks_per_segment: u32) -> impl Iterator<Item = u32> {
        (0..self.spec.tasks)
            .filter(move |i| !self.placed.contains_key(i) && !self.is_done(*i, tasks_per_segment))
    }
}
