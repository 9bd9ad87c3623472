//! The record of a machine: what is placed there, and what was completed there.

pub(crate) mod size;

use crate::ids::{
    AttemptNumber, Image, JobId, MachineTypeName, Resources, TaskAttempt, TaskId, TeamId, Zone,
};
use crate::protocol::JobSpec;
use serde::{Deserialize, Serialize};

/// The part of a record's bytes that is kept for completions.
const COMPLETIONS_DIVISOR: usize = 4;

/// A job's tasks on one machine. What they need is recorded here as well, so that a cancelled job's
/// tasks still count while they are not proved gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlacedJob {
    /// The job.
    pub job: JobId,
    /// The team whose quotas the tasks use.
    pub team: TeamId,
    /// What each task needs.
    pub need: Resources,
    /// The image that the tasks run.
    pub image: Image,
    /// The placed tasks: the index of each, and the number of its attempt. Pairs, because both the
    /// stored form and the frames between controllers have them so.
    pub tasks: Vec<(u32, AttemptNumber)>,
}

/// A machine that is rented, and what its shard's owner has recorded of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineRecord {
    /// The address of its worker, as host and port.
    pub addr: String,
    /// Its machine type.
    pub type_name: MachineTypeName,
    /// The zone that it is in.
    pub zone: Zone,
    /// Whether the cloud may take it back at short notice.
    pub spot: bool,
    /// The tasks that are placed there, by job.
    pub jobs: Vec<PlacedJob>,
    /// Tasks that completed here and may not be in their job's own counter yet: this record has to
    /// be written for them anyway, so counting them costs no change of its own. Never skipped when
    /// serialized: records are also sent between controllers, where fields go by position.
    #[serde(default)]
    pub done: Vec<DoneTasks>,
}

/// Finished tasks of one job, as ranges from first to last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DoneTasks {
    /// The job.
    pub job: JobId,
    /// Ranges of task indices, both ends included, ascending and apart.
    pub ranges: Vec<(u32, u32)>,
}

impl DoneTasks {
    /// The indices of the tasks, ascending.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    fn add(&mut self, first: u32, last: u32) {
        let at = self.ranges.partition_point(|(f, _)| *f < first);
        self.ranges.insert(at, (first, last));
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
    /// A machine on which nothing was placed yet.
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

    /// Counts finished tasks; those that are counted already change nothing.
    pub(crate) fn add_done(&mut self, job: &JobId, first: u32, last: u32) {
        match self.done.iter_mut().find(|d| d.job == *job) {
            Some(done) => done.add(first, last),
            None => self.done.push(DoneTasks {
                job: job.clone(),
                ranges: vec![(first, last)],
            }),
        }
    }

    /// The stored size of what was counted here.
    pub(crate) fn done_size(&self) -> usize {
        self.done.iter().map(size::done_tasks).sum()
    }

    /// What the placed tasks use.
    pub(crate) fn used(&self) -> Resources {
        self.jobs.iter().fold(Resources::default(), |sum, j| {
            sum + j.need.times(j.tasks.len() as u64)
        })
    }

    /// The placed attempts, each with the entry of its job.
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

    /// Whether an attempt is placed here.
    pub(crate) fn holds(&self, attempt: &TaskAttempt) -> bool {
        self.jobs.iter().any(|p| {
            p.job == attempt.task.job && p.tasks.contains(&(attempt.task.index, attempt.number))
        })
    }

    /// Places an attempt here.
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

    /// Takes an attempt out.
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

    /// The stored size, a few bytes too large at most, so that a record never outgrows its value.
    pub(crate) fn size(&self) -> usize {
        let placed: usize = self.jobs.iter().map(size::placed_job).sum();
        size::record_base(self) + placed + self.done_size()
    }

    /// What a placement adds to the stored size.
    pub(crate) fn added_size(&self, attempt: &TaskAttempt, spec: &JobSpec) -> usize {
        let task = size::task(attempt.task.index, attempt.number);
        let has_job = self.jobs.iter().any(|p| p.job == attempt.task.job);
        task + if has_job { 0 } else { size::job(spec) }
    }

    /// The stored size up to which placements may be added to a record that may have so many bytes:
    /// their completions need space as well.
    pub(crate) fn max_placement_bytes(value_bytes: usize) -> usize {
        value_bytes - value_bytes / COMPLETIONS_DIVISOR
    }
}

#[cfg(test)]
mod tests;
