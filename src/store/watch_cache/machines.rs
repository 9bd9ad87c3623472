//! The cached machines, and the placements of jobs' tasks from their records.

use super::WatchCache;
use crate::ids::{Image, JobId, MachineId, Revision};
use crate::store::records::MachineRecord;

/// The maximum number of images remembered per machine. Which of them the machine still caches is only
/// an estimate.
const MAX_REMEMBERED_IMAGES: usize = 16;

/// A machine's record with its revision, and the images that the machine has probably cached.
#[derive(Debug)]
pub(crate) struct LiveMachine {
    /// The machine's record, with its placed and done tasks.
    pub record: MachineRecord,
    /// The revision that wrote the record. It is 0 while the store has no record of the machine.
    pub revision: Revision,
    /// The images that its tasks have used, the most recent last.
    pub images: Vec<Image>,
}

impl WatchCache {
    /// Returns the machines whose records contain tasks of a job.
    pub(crate) fn machines_with_job(&self, job: &JobId) -> impl Iterator<Item = &MachineId> {
        let is_placed = move |m: &LiveMachine| m.record.jobs.iter().any(|p| p.job == *job);
        let machines = self.machines.iter().filter(move |(_, m)| is_placed(m));
        machines.map(|(id, _)| id)
    }

    /// Stores a machine's record from the stream, or from a transaction that was just committed. The
    /// record of a transaction is received again from the stream later, and is then ignored.
    pub(crate) fn put_machine(&mut self, id: MachineId, record: MachineRecord, revision: Revision) {
        let Some(old) = self.machines.remove(&id) else {
            self.insert_machine(id, record, revision, Vec::new());
            return;
        };
        if old.revision >= revision {
            self.machines.insert(id, old);
            return;
        }
        self.remove_placements(&id, &old.record);
        self.insert_machine(id, record, revision, old.images);
    }

    /// Removes a machine, unless its record was written after this deletion.
    pub(super) fn delete_machine(&mut self, id: &MachineId, revision: Revision) {
        let current = self.machines.get(id);
        if current.is_some_and(|m| m.revision < revision)
            && let Some(old) = self.machines.remove(id)
        {
            self.remove_placements(id, &old.record);
        }
    }

    /// Adds a machine that responds but has no record in the store yet.
    pub(crate) fn insert_unrecorded_machine(&mut self, id: MachineId, record: MachineRecord) {
        if !self.machines.contains_key(&id) {
            self.insert_machine(id, record, Revision(0), Vec::new());
        }
    }

    /// Removes a machine that has no record in the store.
    pub(crate) fn remove_unrecorded_machine(&mut self, id: &MachineId) {
        let current = self.machines.get(id);
        if current.is_some_and(|m| m.revision == Revision(0)) {
            self.machines.remove(id);
        }
    }

    fn insert_machine(
        &mut self,
        id: MachineId,
        record: MachineRecord,
        revision: Revision,
        mut images: Vec<Image>,
    ) {
        for placed in &record.jobs {
            if let Some(job) = self.jobs.get_mut(&placed.job) {
                job.place_tasks(&id, placed);
                images.retain(|image| *image != placed.image);
                images.push(placed.image.clone());
            }
        }
        for done in &record.done {
            if let Some(job) = self.jobs.get_mut(&done.job) {
                job.add_done(done, self.tasks_per_segment);
            }
        }
        let excess = images.len().saturating_sub(MAX_REMEMBERED_IMAGES);
        images.drain(..excess);
        let machine = LiveMachine {
            record,
            revision,
            images,
        };
        self.machines.insert(id, machine);
    }

    fn remove_placements(&mut self, id: &MachineId, record: &MachineRecord) {
        for placed in &record.jobs {
            if let Some(job) = self.jobs.get_mut(&placed.job) {
                job.unplace_tasks(id, placed);
            }
        }
    }
}
