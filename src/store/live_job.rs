//! Jobs whose tasks may run, as held in the watch cache.

use super::records::{Bitmap, DoneTasks, JobRecord, PlacedJob, PlanRecord};
use super::urgency::Urgency;
use super::versioned::Versioned;
use crate::ids::{AttemptNumber, MachineId, Revision, UnixTime};
use crate::protocol::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The placement of one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// The machine whose record contains the attempt.
    pub machine: MachineId,
    /// The attempt's number. Tasks of a gang that were launched together share it, and so do the replacements
    /// of lost ones. No other attempts have the same number.
    pub attempt: AttemptNumber,
}

/// A recorded attempt that is not the latest one of its task.
#[derive(Debug)]
struct EarlierPlacement {
    index: u32,
    placement: Placement,
}

/// A job whose tasks may run: its record, and its state from machine records and completion counters.
#[derive(Debug)]
pub(crate) struct LiveJob {
    /// The job's specification, as its owner submitted it.
    pub spec: Rc<JobSpec>,
    /// The time when the job was accepted.
    pub accepted_at: UnixTime,
    /// The time from which its tasks may run: its acceptance, or its release after all dependencies
    /// were done. All time spans except the deadline start here.
    pub eligible_at: UnixTime,
    /// The job's own urgency merged with that of the jobs that depend on it.
    pub urgency: Urgency,
    /// The revision that wrote its record.
    pub revision: Revision,
    /// The segments of its completion counter by segment number: bitmaps of its done tasks.
    pub segments: BTreeMap<u32, Versioned<Bitmap>>,
    /// Done tasks that are in a machine record but not yet in a segment. A done task stays done, so an
    /// entry is removed only when a segment contains it.
    pub done_outside_segments: BTreeSet<u32>,
    /// Done tasks that a shard owner reported, whether a record contains them already or not.
    reported_done: BTreeSet<u32>,
    /// The placement of each task's latest attempt, by task index.
    pub placed: BTreeMap<u32, Placement>,
    /// Earlier attempts that are recorded as well, because a repeated transaction can restore the
    /// record of a deleted machine for a moment. When that record is deleted again, the latest attempt
    /// must remain.
    earlier_placements: Vec<EarlierPlacement>,
    /// The job's plan. It is `None` until a controller has planned the job.
    pub plan: Option<PlanRecord>,
    /// The first machines that its tasks were placed on, at most [`PlanRecord::MAX_MACHINES`].
    pub(super) first_machines: Vec<MachineId>,
}

impl LiveJob {
    /// Creates a job without any placements or done tasks.
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

    /// Returns the job's record.
    pub(super) fn record(&self) -> JobRecord {
        let was_released = !self.spec.dependencies.is_empty();
        let mut record = JobRecord::new((*self.spec).clone(), self.accepted_at);
        record.released_at = was_released.then_some(self.eligible_at);
        record
    }

    /// Returns the effective priority, which is raised by the jobs that depend on this one.
    pub(crate) fn priority(&self) -> Priority {
        self.urgency.priority
    }

    /// Returns the job's own urgency, without that of the jobs that depend on it.
    pub(super) fn own_urgency(&self) -> Urgency {
        Urgency::from_spec(&self.spec, self.accepted_at)
    }

    /// Returns the number of tasks that are done according to the records.
    pub(crate) fn done_count(&self) -> u32 {
        let in_segments: u32 = self.segments.values().map(|s| s.value.count()).sum();
        in_segments + self.done_outside_segments.len() as u32
    }

    /// Adds the placements of this job from a machine's new record.
    pub(super) fn place_tasks(&mut self, machine: &MachineId, placed: &PlacedJob) {
        for (index, attempt) in &placed.tasks {
            self.place(*index, machine, *attempt);
        }
    }

    /// Removes the placements of this job that came from a machine's previous record.
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
                .retain(|earlier| earlier.index != index || !is_here(&earlier.placement));
            return;
        }
        self.placed.remove(&index);
        let others = self.earlier_placements.iter().enumerate();
        let of_task = others.filter(|(_, earlier)| earlier.index == index);
        if let Some((position, _)) = of_task.max_by_key(|(_, earlier)| earlier.placement.attempt) {
            let next = self.earlier_placements.swap_remove(position);
            self.placed.insert(index, next.placement);
        }
    }

    /// Stores a segment of the completion counter. Tasks that are done in it are removed from
    /// `done_outside_segments`.
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

    /// Records that a shard owner reported a task as done. The tasks of a gang complete together.
    pub(crate) fn report_done(&mut self, index: u32) {
        match self.spec.kind {
            JobKind::Gang => self.reported_done.extend(0..self.spec.tasks),
            _ => drop(self.reported_done.insert(index)),
        }
    }

    /// Adds the tasks that were reported as done to an earlier copy of this job.
    pub(super) fn take_over_reports(&mut self, earlier: &Self) {
        self.reported_done.extend(&earlier.reported_done);
    }

    /// Returns whether all tasks are done according to the records and the shard owners' reports.
    pub(crate) fn is_complete(&self, tasks_per_segment: u32) -> bool {
        let reported_done = self.reported_done.iter();
        let unrecorded = reported_done
            .filter(|i| **i < self.spec.tasks && !self.is_done(**i, tasks_per_segment));
        self.done_count() + unrecorded.count() as u32 >= self.spec.tasks
    }

    fn is_done_in_segment(&self, index: u32, tasks_per_segment: u32) -> bool {
        self.segments
            .get(&(index / tasks_per_segment))
            .is_some_and(|s| s.value.get(index % tasks_per_segment))
    }

    /// Returns whether a task is done according to the records.
    pub(crate) fn is_done(&self, index: u32, tasks_per_segment: u32) -> bool {
        self.done_outside_segments.contains(&index)
            || self.is_done_in_segment(index, tasks_per_segment)
    }

    /// Returns whether any of these tasks is not in a segment yet, so that the machine's record must
    /// keep them.
    pub(crate) fn has_tasks_outside_segments(
        &self,
        done: &DoneTasks,
        tasks_per_segment: u32,
    ) -> bool {
        done.tasks()
            .any(|i| !self.is_done_in_segment(i, tasks_per_segment))
    }

    /// Adds the tasks that are done according to a machine's record.
    pub(super) fn add_done(&mut self, done: &DoneTasks, tasks_per_segment: u32) {
        for index in done.tasks().take_while(|i| *i < self.spec.tasks) {
            if !self.is_done_in_segment(index, tasks_per_segment) {
                self.done_outside_segments.insert(index);
            }
        }
    }

    /// Returns the indices of the tasks that are neither done nor placed, ascending.
    pub(crate) fn unplaced_tasks(&self, tasks_per_segment: u32) -> impl Iterator<Item = u32> {
        (0..self.spec.tasks)
            .filter(move |i| !self.placed.contains_key(i) && !self.is_done(*i, tasks_per_segment))
    }
}
