//! A job whose tasks may run, as the watch cache shows it.

use super::records::{Bitmap, DoneTasks, PlanRecord};
use super::urgency::Urgency;
use super::watch_cache::Versioned;
use crate::ids::{AttemptNumber, MachineId, Revision, UnixTime};
use crate::protocol::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Debug)]
pub(crate) struct LiveJob {
    pub spec: Rc<JobSpec>,
    pub accepted: UnixTime,
    /// Since when its tasks may run: its acceptance, or the end of the last job that it needed.
    /// All times but the deadline count from here.
    pub eligible: UnixTime,
    /// By itself and by the jobs that depend on it.
    pub urgency: Urgency,
    pub revision: Revision,
    pub segments: BTreeMap<u32, Versioned<Bitmap>>,
    /// Finished tasks that stand in machines' records and not in a segment yet. A task that was
    /// once done stays done: none is ever taken out but by its segment.
    pub counted: BTreeSet<u32>,
    /// Finished tasks that a shard owner has told of and no record shows yet.
    pub(super) reported_done: BTreeSet<u32>,
    /// Where each task's latest attempt is placed.
    pub placed: BTreeMap<u32, (MachineId, AttemptNumber)>,
    /// Earlier attempts that stand on record as well: a repeated transaction can bring the record
    /// of a deleted machine back for a moment. With that record gone again its task was taken for
    /// waiting, and started a second time (simulated seed 47, everything at once).
    pub(super) shadowed: Vec<(u32, MachineId, AttemptNumber)>,
    pub plan: Option<PlanRecord>,
    /// The first machines that its tasks were placed on.
    pub(super) ran_on: Vec<MachineId>,
}

impl LiveJob {
    /// The priority that it may be treated as having.
    pub(crate) fn priority(&self) -> Priority {
        self.urgency.priority
    }

    pub(crate) fn done_count(&self) -> u32 {
        let folded: u32 = self.segments.values().map(|s| s.value.count()).sum();
        folded + self.counted.len() as u32
    }

    pub(super) fn place(&mut self, index: u32, machine: &MachineId, attempt_number: AttemptNumber) {
        if self.ran_on.len() < PlanRecord::MACHINES && !self.ran_on.contains(machine) {
            self.ran_on.push(machine.clone());
        }
        let new = (machine.clone(), attempt_number);
        let old = self.placed.get(&index).filter(|old| **old != new).cloned();
        let (latest, earlier) = match old {
            Some(old) if old.1 > attempt_number => (old, Some(new)),
            old => (new, old),
        };
        self.placed.insert(index, latest);
        if let Some((machine, attempt_number)) = earlier {
            self.shadowed.push((index, machine, attempt_number));
        }
    }

    pub(super) fn unplace(
        &mut self,
        index: u32,
        machine: &MachineId,
        attempt_number: AttemptNumber,
    ) {
        let here = |(m, a): &(MachineId, AttemptNumber)| m == machine && *a == attempt_number;
        if !self.placed.get(&index).is_some_and(here) {
            self.shadowed
                .retain(|(i, m, a)| (*i, m, *a) != (index, machine, attempt_number));
            return;
        }
        self.placed.remove(&index);
        let others = self.shadowed.iter().enumerate();
        let next = others.filter(|(_, (i, ..))| *i == index);
        if let Some((at, _)) = next.max_by_key(|(_, (_, _, a))| *a) {
            let (_, machine, attempt_number) = self.shadowed.swap_remove(at);
            self.placed.insert(index, (machine, attempt_number));
        }
    }

    /// A shard owner has seen a task done. The tasks of a gang complete together.
    pub(crate) fn report_done(&mut self, index: u32) {
        match self.spec.kind {
            JobKind::Gang => self.reported_done.extend(0..self.spec.tasks),
            _ => drop(self.reported_done.insert(index)),
        }
    }

    /// Whether all tasks are done, by the counter and by what owners have seen.
    pub(crate) fn is_complete(&self, segment_tasks: u32) -> bool {
        let reported_done = self.reported_done.iter();
        let more =
            reported_done.filter(|i| **i < self.spec.tasks && !self.is_done(**i, segment_tasks));
        self.done_count() + more.count() as u32 >= self.spec.tasks
    }

    fn is_folded(&self, index: u32, segment_tasks: u32) -> bool {
        self.segments
            .get(&(index / segment_tasks))
            .is_some_and(|s| s.value.get(index % segment_tasks))
    }

    pub(crate) fn is_done(&self, index: u32, segment_tasks: u32) -> bool {
        self.counted.contains(&index) || self.is_folded(index, segment_tasks)
    }

    /// Whether a machine's record has to go on saying that these tasks are done.
    pub(crate) fn needs(&self, done: &DoneTasks, segment_tasks: u32) -> bool {
        done.tasks().any(|i| !self.is_folded(i, segment_tasks))
    }

    pub(super) fn count(&mut self, done: &DoneTasks, segment_tasks: u32) {
        for index in done.tasks().take_while(|i| *i < self.spec.tasks) {
            if !self.is_folded(index, segment_tasks) {
                self.counted.insert(index);
            }
        }
    }

    /// Tasks that are neither done nor placed, in their order.
    pub(crate) fn open_tasks(&self, segment_tasks: u32) -> impl Iterator<Item = u32> {
        (0..self.spec.tasks)
            .filter(move |i| !self.placed.contains_key(i) && !self.is_done(*i, segment_tasks))
    }
}
