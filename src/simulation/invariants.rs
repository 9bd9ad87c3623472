//! Invariants, checked against what really runs.

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

/// A task attempt on a machine that has not exited.
struct LiveAttempt<'a> {
    machine: &'a MachineId,
    attempt: &'a TaskAttempt,
}

impl SimulatedCluster {
    /// All attempts on machines that have not exited, whether anything reaches them or not.
    fn live_attempts(&self) -> impl Iterator<Item = LiveAttempt<'_>> {
        let running_workers = self.workers.iter().filter(|(_, worker)| !worker.dead);
        running_workers.flat_map(|(machine, worker)| {
            let tasks = worker.tasks.iter();
            let live_tasks = tasks.filter(|(_, task)| task.state != TaskState::Exited);
            live_tasks.map(move |(attempt, _)| LiveAttempt { machine, attempt })
        })
    }

    /// The CPUs that live attempts of the job's team use, in thousandths.
    fn team_cpus(&self, job: &JobSpec) -> u64 {
        let jobs = self
            .live_attempts()
            .filter_map(|live| self.jobs.get(&live.attempt.task.job));
        let team_jobs = jobs.filter(|spec| spec.team == job.team);
        team_jobs.map(|spec| spec.need().milli_cpus).sum()
    }

    /// Notes that a rule does not hold, and for what.
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
