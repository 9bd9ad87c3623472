//! Room in machines' records: a record must fit into a value of the key-value store, so there is
//! room for so many placements, whatever room the machine itself has.

use crate::ids::JobId;
use crate::protocol::JobSpec;
use crate::store::machine_record::{MachineRecord, size};

/// A job on a record, without its tasks, where its names are not at hand.
pub(super) const ANY_JOB: usize = 200;

/// The bytes of one machine's record that are left for placements.
#[derive(Clone, Debug)]
pub(super) struct RecordCapacity {
    left: usize,
    /// The last job that was given room here: its next task needs less.
    last: Option<JobId>,
}

impl RecordCapacity {
    /// `promised`: what allotments under way will add. `freed`: what goes with the next change.
    pub(super) fn new(
        record: &MachineRecord,
        value_bytes: usize,
        promised: usize,
        freed: usize,
    ) -> Self {
        let placed = record.size() - record.done_size() + promised;
        let most = MachineRecord::placement_capacity(value_bytes);
        Self {
            left: (most + freed).saturating_sub(placed),
            last: None,
        }
    }

    fn cost(&self, spec: &JobSpec) -> usize {
        match self.last.as_ref() == Some(&spec.id) {
            true => 0,
            false => size::job(spec),
        }
    }

    /// How many tasks of a job the record takes.
    pub(super) fn tasks(&self, spec: &JobSpec) -> u64 {
        let left = self.left.saturating_sub(self.cost(spec));
        (left / size::LARGEST_TASK) as u64
    }

    /// How many jobs of one task each, alike, the record takes.
    pub(super) fn single_tasks(&self, largest_job: usize) -> u64 {
        (self.left / (largest_job + size::LARGEST_TASK)) as u64
    }

    /// Takes room for one more task, if there is any.
    pub(super) fn take(&mut self, spec: &JobSpec) -> bool {
        let fits = self.tasks(spec) > 0;
        if fits {
            self.left -= self.cost(spec) + size::LARGEST_TASK;
            self.last = Some(spec.id.clone());
        }
        fits
    }

    /// Gives room back that was taken for so many tasks.
    pub(super) fn give_back(&mut self, tasks: u64) {
        self.left += tasks as usize * size::LARGEST_TASK;
    }
}

#[cfg(test)]
mod tests;
