//! The record of a machine, with the tasks that are placed and those that completed on it.

pub(crate) mod size;

use crate::ids::{
    AttemptNumber, Image, JobId, MachineTypeName, Resources, TaskAttempt, TaskId, TeamId, Zone,
};
use crate::protocol::JobSpec;
use serde::{Deserialize, Serialize};

/// In a record, 1/n of the maximum value size is reserved for completed tasks, where n is this value.
const COMPLETIONS_DIVISOR: usize = 4;

/// The tasks of one job on one machine. Their resource needs are recorded here as well, so that the
/// tasks of a cancelled job still count until they are confirmed to have stopped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlacedJob {
    /// The job that the tasks belong to.
    pub job: JobId,
    /// The team whose quota the tasks use.
    pub team: TeamId,
    /// The resources that each task needs.
    pub need: Resources,
    /// The image that the tasks run.
    pub image: Image,
    /// The index and the attempt number of each placed task. They are pairs because the stored records
    /// and the frames between controllers have this form.
    pub tasks: Vec<(u32, AttemptNumber)>,
}

/// A rented machine and the tasks on it, as recorded by the owner of its shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineRecord {
    /// The address of its worker, as `host:port`.
    pub addr: String,
    /// Its machine type.
    pub type_name: MachineTypeName,
    /// The zone that it is in.
    pub zone: Zone,
    /// Whether it is a spot machine, which the cloud may reclaim at short notice.
    pub spot: bool,
    /// The tasks that are placed on it, by job.
    pub jobs: Vec<PlacedJob>,
    /// Tasks that completed here and may not be in their job's completion counter yet. A completion
    /// requires a write of this record anyway, so storing it here costs no additional write. The field
    /// is always serialized, because frames between controllers encode fields by position.
    #[serde(default)]
    pub done: Vec<DoneTasks>,
}

/// Done tasks of one job, as ranges of task indices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DoneTasks {
    /// The job that the tasks belong to.
    pub job: JobId,
    /// Inclusive ranges of task indices, ascending, without overlap and not adjacent.
    pub ranges: Vec<(u32, u32)>,
}

impl DoneTasks {
    /// Returns the indices of the tasks, ascending.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    fn add(&mut self, first: u32, last: u32) {
        let position = self.ranges.partition_point(|(f, _)| *f < first);
        self.ranges.insert(position, (first, last));
        self.ranges.dedup_by(|next, kept| {
            let joined = next.0 <= kept.1.saturating_add(1);
            if joined {
                kept.1 = kept.1.max(next.1);
            }
            joined
        });
    }
}

impl MachineRecord {
    /// Creates the record of a machine without tasks.
    pub(crate) fn new(addr: &str, type_name: &MachineTypeName, zone: &Zone, spot: bool) -> Self {
        Self {
            addr: addr.to_owned(),
            type_name: type_name.clone(),
            zone: zone.clone(),
            spot,
            jobs: Vec::new(),
            done: Vec::new(),
        }
    }

    /// Adds the done tasks from `first` to `last`, inclusive. Tasks that are recorded already are
    /// ignored.
    pub(crate) fn add_done(&mut self, job: &JobId, first: u32, last: u32) {
        match self.done.iter_mut().find(|d| d.job == *job) {
            Some(done) => done.add(first, last),
            None => self.done.push(DoneTasks {
                job: job.clone(),
                ranges: vec![(first, last)],
            }),
        }
    }

    /// Returns the stored size of the done tasks, in bytes.
    pub(crate) fn done_size(&self) -> usize {
        self.done.iter().map(size::done_tasks).sum()
    }

    /// Returns the resources that the placed tasks use.
    pub(crate) fn used(&self) -> Resources {
        self.jobs.iter().fold(Resources::default(), |sum, j| {
            sum + j.need.times(j.tasks.len() as u64)
        })
    }

    /// Returns the placed attempts, each with the entry of its job.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (TaskAttempt, &PlacedJob)> {
        self.jobs.iter().flat_map(|placed| {
            placed.tasks.iter().map(move |(index, attempt_number)| {
                let attempt = TaskAttempt {
                    task: TaskId {
                        job: placed.job.clone(),
                        index: *index,
                    },
                    number: *attempt_number,
                };
                (attempt, placed)
            })
        })
    }

    /// Returns whether an attempt is placed on this machine.
    pub(crate) fn holds(&self, attempt: &TaskAttempt) -> bool {
        self.jobs.iter().any(|p| {
            p.job == attempt.task.job && p.tasks.contains(&(attempt.task.index, attempt.number))
        })
    }

    /// Adds the placement of an attempt.
    pub(crate) fn add(&mut self, attempt: &TaskAttempt, spec: &JobSpec) {
        let entry = (attempt.task.index, attempt.number);
        match self.jobs.iter_mut().find(|p| p.job == attempt.task.job) {
            Some(placed) => placed.tasks.push(entry),
            None => self.jobs.push(PlacedJob {
                job: attempt.task.job.clone(),
                team: spec.team.clone(),
                need: spec.need(),
                image: spec.image.clone(),
                tasks: vec![entry],
            }),
        }
    }

    /// Removes the placement of an attempt.
    pub(crate) fn remove(&mut self, attempt: &TaskAttempt) {
        for placed in &mut self.jobs {
            if placed.job == attempt.task.job {
                placed
                    .tasks
                    .retain(|t| *t != (attempt.task.index, attempt.number));
            }
        }
        self.jobs.retain(|p| !p.tasks.is_empty());
    }

    /// Returns the stored size in bytes. The result may be a few bytes too large but never too small, so
    /// a record that fits by this size never exceeds the size limit of a value.
    pub(crate) fn size(&self) -> usize {
        let placed: usize = self.jobs.iter().map(size::placed_job).sum();
        size::record_base(self) + placed + self.done_size()
    }

    /// Returns the number of bytes that a placement adds to the stored size.
    pub(crate) fn added_size(&self, attempt: &TaskAttempt, spec: &JobSpec) -> usize {
        let task = size::task(attempt.task.index, attempt.number);
        let has_job = self.jobs.iter().any(|p| p.job == attempt.task.job);
        task + if has_job { 0 } else { size::job(spec) }
    }

    /// Returns the stored size up to which placements may be added to a record, if a value may have
    /// `value_bytes` bytes. The rest is reserved for the completions of the tasks.
    pub(crate) fn max_placement_bytes(value_bytes: usize) -> usize {
        value_bytes - value_bytes / COMPLETIONS_DIVISOR
    }
}

#[cfg(test)]
mod tests;
