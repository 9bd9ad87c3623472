//! What a cache that was loaded again takes over from the cache that it replaces.
//!
//! The controller goes on working while the pages are read, so the replaced cache may be ahead of the
//! loaded one: it shows the controller's own transactions as soon as they are committed, and what
//! other controllers have reported. Tasks may have been launched on the ground of that, so a
//! controller must not forget it. The stream delivers the records to the loaded cache later, and any
//! deletions as well.

use super::WatchCache;
use crate::ids::Revision;

impl WatchCache {
    /// Takes over what `earlier`, the cache that this one replaces, knows beyond this one.
    pub(crate) fn take_over_from(&mut self, earlier: &Self) {
        self.take_over_cancellations(earlier);
        self.take_over_released_jobs(earlier);
        self.take_over_machines(earlier);
        self.take_over_reported_tasks(earlier);
    }

    fn take_over_cancellations(&mut self, earlier: &Self) {
        for (job, revision) in &earlier.cancelled {
            self.apply_cancellation(job, *revision);
        }
    }

    /// Takes over jobs whose release this controller has just committed. A blocked job with tasks on
    /// record would be taken for an ended one, and its tasks would be stopped.
    fn take_over_released_jobs(&mut self, earlier: &Self) {
        let loaded_revision = self.revision;
        for (id, job) in &earlier.jobs {
            let is_known = self
                .job_revision(id)
                .is_some_and(|known| known >= job.revision);
            if job.revision > loaded_revision && !is_known {
                self.put_job(id.clone(), job.record(), job.revision);
            }
        }
    }

    /// Takes over machines without a record, and records that this controller has just committed.
    fn take_over_machines(&mut self, earlier: &Self) {
        let loaded_revision = self.revision;
        for (id, machine) in &earlier.machines {
            if machine.revision == Revision(0) {
                self.insert_unrecorded_machine(id.clone(), machine.record.clone());
            } else if machine.revision > loaded_revision {
                self.put_machine(id.clone(), machine.record.clone(), machine.revision);
            }
        }
    }

    /// Takes over which tasks were reported as done. Without it, a job whose last end is not written
    /// yet would be completed late.
    fn take_over_reported_tasks(&mut self, earlier: &Self) {
        for (id, job) in &mut self.jobs {
            if let Some(earlier_job) = earlier.jobs.get(id) {
                job.take_over_reports(earlier_job);
            }
        }
    }
}
