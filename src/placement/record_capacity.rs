//! The capacity of machine records. A record must fit into one value of the key-value store, which
//! limits the number of placements independently of the machine's resources.

use crate::ids::JobId;
use crate::protocol::JobSpec;
use crate::store::machine_record::{MachineRecord, size};

/// The estimated size of a job's entry on a record in bytes, without its tasks. Used where the
/// lengths of the job's names are not known.
pub(super) const ESTIMATED_JOB_BYTES: usize = 200;

/// The bytes of a machine's record that remain for placements.
#[derive(Clone, Debug)]
pub(super) struct RecordCapacity {
    free_bytes: usize,
    /// The job that was placed here last. Its next task takes fewer bytes, since the job's entry
    /// exists already.
    last_job: Option<JobId>,
}

impl RecordCapacity {
    /// Computes the remaining capacity of a record. `allotted_bytes` is what allotments in flight
    /// will add to it, and `freed_bytes` is what its next write will remove from it.
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

    /// Returns the bytes that the next task of a job adds to the record besides its own: those of
    /// the job's entry, or 0 if the job was the last one placed here, since its entry is counted
    /// already.
    fn job_bytes(&self, spec: &JobSpec) -> usize {
        match self.last_job.as_ref() == Some(&spec.id) {
            true => 0,
            false => size::job(spec),
        }
    }

    /// Returns how many tasks of a job fit on the record.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec) -> u64 {
        let left = self.free_bytes.saturating_sub(self.job_bytes(spec));
        (left / size::MAX_TASK_BYTES) as u64
    }

    /// Returns how many jobs with one task each fit, if each job's entry takes `job_bytes`.
    pub(super) fn single_task_jobs(&self, job_bytes: usize) -> u64 {
        (self.free_bytes / (job_bytes + size::MAX_TASK_BYTES)) as u64
    }

    /// Reserves the bytes of one more task. Returns `false` if it does not fit.
    pub(super) fn try_reserve(&mut self, spec: &JobSpec) -> bool {
        let fits = self.tasks_that_fit(spec) > 0;
        if fits {
            self.free_bytes -= self.job_bytes(spec) + size::MAX_TASK_BYTES;
            self.last_job = Some(spec.id.clone());
        }
        fits
    }

    /// Releases the bytes that were reserved for `tasks` tasks. The bytes of the job's entry stay
    /// reserved.
    pub(super) fn release(&mut self, tasks: u64) {
        self.free_bytes += tasks as usize * size::MAX_TASK_BYTES;
    }
}

#[cfg(test)]
mod tests;
