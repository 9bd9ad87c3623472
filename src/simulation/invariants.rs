//! Invariants that are checked against the tasks that actually run on machines.

mod cancellations;
mod deleted_machines;
mod dependencies;
mod final_states;
mod launches;
mod starvation;

use super::cluster::SimulatedCluster;
use super::violations::{Violation, ViolationKind};
use crate::ids::{MachineId, TaskAttempt};
use crate::protocol::{JobSpec, TaskState};

/// A task attempt that has not exited, with its machine.
pub(super) struct LiveAttempt<'a> {
    /// The machine.
    pub(super) machine: &'a MachineId,
    /// The attempt.
    pub(super) attempt: &'a TaskAttempt,
}

impl SimulatedCluster {
    /// Returns all attempts that have not exited, including those on unreachable machines.
    pub(super) fn live_attempts(&self) -> impl Iterator<Item = LiveAttempt<'_>> {
        let running_workers = self.workers.iter().filter(|(_, worker)| !worker.dead);
        running_workers.flat_map(|(machine, worker)| {
            let tasks = worker.tasks.iter();
            let live_tasks = tasks.filter(|(_, task)| task.state != TaskState::Exited);
            live_tasks.map(move |(attempt, _)| LiveAttempt { machine, attempt })
        })
    }

    /// Returns the CPUs that live attempts of the job's team use, in thousandths of a CPU.
    fn team_cpus(&self, job: &JobSpec) -> u64 {
        let jobs = self
            .live_attempts()
            .filter_map(|live| self.jobs.get(&live.attempt.task.job));
        let team_jobs = jobs.filter(|spec| spec.team == job.team);
        team_jobs.map(|spec| spec.need().milli_cpus).sum()
    }

    /// Records a violation and the job, task attempt or machine that it concerns.
    pub(super) fn record_violation(
        &mut self,
        kind: ViolationKind,
        subject: impl std::fmt::Display,
    ) {
        self.observed.violations.push(Violation {
            kind,
            at: self.now,
            subject: subject.to_string(),
        });
    }
}
