//! Preemption on machines that are being drained or are about to be interrupted: replicas are
//! stopped to move to other machines, and tasks of jobs that save checkpoints are stopped in time
//! to save one.

use super::{Preemption, StopSet, TaskStop};
use crate::ids::{JobId, MachineId, Resources};
use crate::placement::record_capacity::RecordCapacity;
use crate::protocol::{JobKind, JobSpec};

/// Seconds that must remain after a checkpoint is saved before the cloud interrupts the machine.
/// With less time left, a task that saves checkpoints is not stopped to save one.
const SAVE_MARGIN_S: f64 = 1.0;

/// The remaining capacity of the machines that replicas may move to, by candidate index.
struct MoveTargets {
    free: Vec<Resources>,
    records: Vec<RecordCapacity>,
}

impl Preemption<'_> {
    /// Returns the replicas to stop on machines that are draining or about to be interrupted. A
    /// replica is stopped only if another machine has free capacity and the image, so that it
    /// restarts there at once. At most one replica of each service moves at a time. Replicas of
    /// services with a zone constraint are not moved.
    pub(in crate::placement) fn replica_moves(&self) -> Vec<TaskStop> {
        let mut stops: Vec<TaskStop> = Vec::new();
        let candidates = self.candidates.iter();
        let mut targets = MoveTargets {
            free: candidates.clone().map(|c| c.free).collect(),
            records: candidates.map(|c| c.record_capacity.clone()).collect(),
        };
        let interrupted = self
            .health
            .iter()
            .filter(|(_, h)| h.report.until_interruption.is_some());
        for id in self.draining.iter().chain(interrupted.map(|(id, _)| id)) {
            self.move_replicas_off(id, &mut targets, &mut stops);
        }
        stops
    }

    fn move_replicas_off(
        &self,
        id: &MachineId,
        targets: &mut MoveTargets,
        stops: &mut Vec<TaskStop>,
    ) {
        let Some(machine) = self.cache.machines.get(id) else {
            return;
        };
        for (attempt, placed) in machine.record.attempts() {
            let Some(job) = self.cache.jobs.get(&attempt.task.job) else {
                continue;
            };
            let spec = &job.spec;
            let is_movable = spec.kind == JobKind::Service && !spec.spread && !spec.one_zone;
            if !is_movable || self.is_being_stopped(&spec.id, stops) {
                continue;
            }
            if self.try_reserve_target(spec, placed.need, targets) {
                stops.push(TaskStop {
                    machine: id.clone(),
                    attempt,
                });
            }
        }
    }

    /// Returns whether a task of a job is being stopped already, by an earlier pass or by `stops`.
    fn is_being_stopped(&self, job: &JobId, stops: &[TaskStop]) -> bool {
        self.preempted
            .keys()
            .any(|attempt| attempt.task.job == *job)
            || stops.iter().any(|stop| stop.attempt.task.job == *job)
    }

    /// Reserves capacity for a replica on the first machine that it may use, that has its image,
    /// and on which it fits. Returns `false` if there is no such machine.
    fn try_reserve_target(
        &self,
        spec: &JobSpec,
        need: Resources,
        targets: &mut MoveTargets,
    ) -> bool {
        let target = self
            .candidates
            .iter()
            .enumerate()
            .position(|(candidate_index, c)| {
                c.is_allowed(spec)
                    && c.has_image(spec)
                    && need.fits(targets.free[candidate_index])
                    && targets.records[candidate_index].try_reserve(spec)
            });
        if let Some(candidate_index) = target {
            targets.free[candidate_index] = targets.free[candidate_index] - need;
        }
        target.is_some()
    }

    /// Returns the tasks of jobs that save checkpoints on machines that are about to be
    /// interrupted, if there is time to save. They resume elsewhere from their checkpoint.
    pub(in crate::placement) fn checkpoint_stops(&self) -> Vec<TaskStop> {
        let mut stops = StopSet::new(self);
        for (id, health) in self.health {
            let (Some(time_left), Some(machine)) = (
                health.report.until_interruption,
                self.cache.machines.get(id),
            ) else {
                continue;
            };
            for (attempt, _) in machine.record.attempts() {
                let job = self.cache.jobs.get(&attempt.task.job);
                let can_save = job.is_some_and(|j| {
                    j.spec.checkpoint_interval_s > 0.0
                        && j.spec.checkpoint_duration_s + SAVE_MARGIN_S < time_left.as_secs_f64()
                });
                if can_save {
                    stops.add(&attempt, id);
                }
            }
        }
        stops.into_stops()
    }
}
