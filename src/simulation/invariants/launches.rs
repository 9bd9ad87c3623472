//! Checks that run whenever a worker launches a task attempt.

use crate::ids::{MachineId, TaskAttempt};
use crate::protocol::{JobKind, JobSpec, TaskState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::violations::ViolationKind;

/// The maximum transit time of a command that is neither delayed nor lost, in ms.
const COMMAND_TRANSIT_MS: u64 = 10;
/// How long a gang member waits for the others, in ms.
const GANG_WAIT_MS: u64 = 30_000;

impl SimulatedCluster {
    /// Checks the invariants for launched attempts. With `just_sent`, the launch command was not
    /// delayed, so it must not launch a task of a job whose user was told that it is cancelled.
    pub(in crate::simulation) fn check_launches(
        &mut self,
        machine: &MachineId,
        launched: &[TaskAttempt],
        just_sent: bool,
    ) {
        self.observed.launches += launched.len() as u64;
        if self.fleet.is_some() {
            return;
        }
        for attempt in launched {
            let Some(spec) = self.jobs.get(&attempt.task.job).cloned() else {
                continue;
            };
            if spec.kind == JobKind::Gang {
                self.wait_for_gang(machine, attempt);
            }
            self.check_single_live_attempt(machine, attempt);
            self.check_dependencies_done(&spec);
            self.check_quota(&spec, attempt);
            self.check_placement(&spec, machine, attempt);
            self.check_not_cancelled(attempt, just_sent);
        }
    }

    /// Makes a gang member wait until all members of the gang are present.
    fn wait_for_gang(&mut self, machine: &MachineId, attempt: &TaskAttempt) {
        let until = self.time_in(GANG_WAIT_MS);
        let worker = self.workers.get_mut(machine);
        if let Some(task) = worker.and_then(|w| w.tasks.get_mut(attempt)) {
            task.state = TaskState::Waiting;
            task.until = until;
        }
    }

    /// Records `RanTwice` if another attempt of the task is live on another machine.
    fn check_single_live_attempt(&mut self, machine: &MachineId, attempt: &TaskAttempt) {
        let mut live = self.live_attempts();
        if live.any(|other| other.attempt.task == attempt.task && other.machine != machine) {
            drop(live);
            self.record_violation(ViolationKind::RanTwice, attempt);
        }
    }

    /// Records `QuotaExceeded` if the team uses more than its limit.
    fn check_quota(&mut self, spec: &JobSpec, attempt: &TaskAttempt) {
        let limit = self.nodes[0].config.teams[&spec.team].limit().milli_cpus;
        if self.team_cpus(spec) > limit {
            self.record_violation(ViolationKind::QuotaExceeded, attempt);
        }
    }

    /// Records `WrongPlacement` if the attempt violates a zone constraint or is on a spot machine
    /// that its job does not allow.
    fn check_placement(&mut self, spec: &JobSpec, machine: &MachineId, attempt: &TaskAttempt) {
        let worker = &self.workers[machine];
        let live = self.live_attempts();
        let job_attempts = live.filter(|other| other.attempt.task.job == spec.id);
        let zones: Vec<&str> = job_attempts
            .map(|other| self.workers[other.machine].zone)
            .collect();
        let in_zone = zones.iter().filter(|zone| **zone == worker.zone).count();
        let one_zone = !spec.one_zone || in_zone == zones.len();
        let spread = !spec.spread || in_zone <= spec.tasks.div_ceil(2) as usize;
        if !one_zone || !spread || (worker.spot && !spec.allow_spot) {
            self.record_violation(ViolationKind::WrongPlacement, attempt);
        }
    }

    /// Records `CancelledTaskRan` if the user was told of the cancellation more than
    /// `CANCELLATION_LIMIT_MS` before the launch, and `CancelledTaskLaunched` if the command was just
    /// sent and the user was told more than `COMMAND_TRANSIT_MS` ago.
    fn check_not_cancelled(&mut self, attempt: &TaskAttempt, just_sent: bool) {
        let job = &attempt.task.job;
        if self.is_past_cancellation_limit(job) {
            self.record_violation(ViolationKind::CancelledTaskRan, attempt);
        }
        if just_sent && self.is_cancelled_for_more_than(job, COMMAND_TRANSIT_MS) {
            self.record_violation(ViolationKind::CancelledTaskLaunched, attempt);
        }
    }
}
