//! Gangs on workers: members start together once all are present, end together, and exit if a
//! member is lost.

use crate::ids::{AttemptNumber, JobId, MonotonicTime};
use crate::protocol::{ExitReason, JobKind, TaskState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::SimulationEvent;
use crate::simulation::fakes::{Worker, WorkerTask};
use std::collections::BTreeMap;

/// How long a gang runs, in ms.
const GANG_RUN_MS: u64 = 4000;
/// The interval at which gangs check their members, in ms.
const GANG_TICK_MS: u64 = 500;

/// The states of a gang's members, by job and attempt number.
type GangMembers = BTreeMap<(JobId, AttemptNumber), Vec<TaskState>>;

/// The next state of a gang member.
struct Transition {
    state: TaskState,
    exit_reason: Option<ExitReason>,
}

impl SimulatedCluster {
    /// Checks the regular invariants and advances all gangs.
    pub(in crate::simulation) fn gang_tick(&mut self) {
        self.check_cancelled_tasks_stopped();
        self.check_no_orphaned_dependents();
        self.check_no_starvation();
        self.check_deleted_records_removed();
        let members = self.gang_members();
        for job in self.advance_gangs(&members) {
            let tasks = self.jobs[&job].tasks;
            let completed = self.observed.completed_indices.entry(job).or_default();
            completed.extend(0..tasks);
        }
        self.schedule_in(GANG_TICK_MS, SimulationEvent::GangTick);
    }

    fn gang_members(&self) -> GangMembers {
        let mut members = GangMembers::new();
        for worker in self.workers.values().filter(|w| is_up(w, self.now)) {
            for (attempt, task) in &worker.tasks {
                let spec = self.jobs.get(&attempt.task.job);
                if spec.is_some_and(|s| s.kind == JobKind::Gang) {
                    let key = (attempt.task.job.clone(), attempt.number);
                    members.entry(key).or_default().push(task.state);
                }
            }
        }
        members
    }

    /// Advances all members and returns the jobs of those that have run to completion.
    fn advance_gangs(&mut self, members: &GangMembers) -> Vec<JobId> {
        let now = self.now;
        let mut finished = Vec::new();
        for worker in self.workers.values_mut().filter(|w| is_up(w, now)) {
            for (attempt, task) in &mut worker.tasks {
                let job = &attempt.task.job;
                let Some(states) = members.get(&(job.clone(), attempt.number)) else {
                    continue;
                };
                let live = states.iter().filter(|s| **s != TaskState::Exited).count();
                let complete = live == self.jobs[job].tasks as usize;
                let Some(next) = transition(task, complete, now) else {
                    continue;
                };
                if next.state == TaskState::Running {
                    task.until = MonotonicTime(now.0 + GANG_RUN_MS);
                }
                if next.exit_reason == Some(ExitReason::Done) {
                    finished.push(job.clone());
                }
                (task.state, task.exit_reason) = (next.state, next.exit_reason);
                worker.next_heartbeat = worker.next_heartbeat.min(now);
            }
        }
        finished
    }
}

fn is_up(worker: &Worker, now: MonotonicTime) -> bool {
    !worker.dead && worker.hang_until <= now
}

fn transition(task: &WorkerTask, complete: bool, now: MonotonicTime) -> Option<Transition> {
    let exit = |reason| Transition {
        state: TaskState::Exited,
        exit_reason: Some(reason),
    };
    match task.state {
        TaskState::Waiting if complete => Some(Transition {
            state: TaskState::Running,
            exit_reason: None,
        }),
        TaskState::Waiting if now >= task.until => Some(exit(ExitReason::GangIncomplete)),
        TaskState::Running if !complete => Some(exit(ExitReason::GangMemberGone)),
        TaskState::Running if now >= task.until => Some(exit(ExitReason::Done)),
        _ => None,
    }
}
