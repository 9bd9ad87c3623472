//! Capacity of machines' records: a record must fit into one value of the key-value store, which
//! bounds the number of placements whatever the resources of the machine itself.

use crate::ids::JobId;
use crate::protocol::JobSpec;
use crate::store::machine_record::{MachineRecord, size};

/// Bytes of a job on a record, without its tasks, where the lengths of its names are not known.
pub(super) const ESTIMATED_JOB_BYTES: usize = 200;

/// The bytes of one machine's record that are left for placements.
#[derive(Clone, Debug)]
pub(super) struct RecordCapacity {
    free_bytes: usize,
    /// The last job that was placed here: its next task takes less.
    last_job: Option<JobId>,
}

impl RecordCapacity {
    /// `allotted_bytes`: what allotments under way will add. `freed_bytes`: what goes from the
    /// record with its next change.
    pub(super) fn new(
        record: &MachineRecord,
        value_bytes: usize,
        allotted_bytes: usize,
        freed_bytes: usize,
    ) -> Self {
        let used = record.size() - record.done_size() + allotted_bytes;
        let capacity = MachineRecord::max_placement_bytes(value_bytes);
        Self {
            free_bytes: (capacity + freed_bytes).saturating_sub(used),
            last_job: None,
        }
    }

    /// Bytes that a job takes beside its tasks.
    fn job_bytes(&self, spec: &JobSpec) -> usize {
        match self.last_job.as_ref() == Some(&spec.id) {
            true => 0,
            false => size::job(spec),
        }
    }

    /// How many tasks of a job fit.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec) -> u64 {
        let left = self.free_bytes.saturating_sub(self.job_bytes(spec));
        (left / size::MAX_TASK_BYTES) as u64
    }

    /// How many jobs of `job_bytes` with one task each fit.
    pub(super) fn single_task_jobs(&self, job_bytes: usize) -> u64 {
        (self.free_bytes / (job_bytes + size::MAX_TASK_BYTES)) as u64
    }

    /// Reserves the bytes of one more task. `false` if it does not fit.
    pub(super) fn try_reserve(&mut self, spec: &JobSpec) -> bool {
        let fits = self.tasks_that_fit(spec) > 0;
        if fits {
            self.free_bytes -= self.job_bytes(spec) + size::MAX_TASK_BYTES;
            self.last_job = Some(spec.id.clone());
        }
        fits
    }

    /// Releases what was reserved for so many tasks.
    pub(super) fn release(&mut self, tasks: u64) {
        self.free_bytes += tasks as usize * size::MAX_TASK_BYTES;
    }
}

#[cfg(test)]
mod tests;
