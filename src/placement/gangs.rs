//! Gang scheduling: all tasks of a gang are allotted under one attempt, or none is.

use crate::ids::{AttemptNumber, JobId, Millis, MonotonicTime};
use crate::peers::MachineHealth;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// A replacement needs this much of the gang's waiting time to start before the other tasks give
/// up.
const REPLACEMENT_MARGIN: Millis = Millis(10_000);

/// One launch of a gang.
#[derive(Debug)]
struct GangLaunch {
    attempt_number: AttemptNumber,
    at: MonotonicTime,
    /// All of its tasks have started, or one has ended: nothing is added to the attempt.
    started: bool,
}

/// The gangs that the leader has launched in its term. After a change of leaders nothing is known
/// of a gang that is placed only in part: its tasks give up by themselves.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    launches: BTreeMap<JobId, GangLaunch>,
}

/// What is to be done next for a gang.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum GangAction {
    /// Launch all tasks under a new attempt.
    LaunchAll,
    /// Replace the missing tasks of a gang that has not started yet, under its attempt.
    ReplaceMissing(AttemptNumber),
    /// Tasks of an attempt are still placed, and it can't be completed: wait until they are gone.
    Wait,
}

impl Gangs {
    /// What is to be done for a gang of which `allotted` tasks are not on record yet. `wait`: how
    /// long its tasks wait for one another.
    pub(super) fn next_action(
        &self,
        now: MonotonicTime,
        id: &JobId,
        job: &LiveJob,
        allotted: usize,
        wait: Millis,
    ) -> GangAction {
        if job.placed.is_empty() && allotted == 0 {
            return GangAction::LaunchAll;
        }
        match self.launches.get(id) {
            Some(launch)
                if !launch.started
                    && now.since(launch.at) + REPLACEMENT_MARGIN < wait
                    && job
                        .placed
                        .values()
                        .all(|p| p.attempt == launch.attempt_number) =>
            {
                GangAction::ReplaceMissing(launch.attempt_number)
            }
            _ => GangAction::Wait,
        }
    }

    /// Remembers the launch of a gang.
    pub(super) fn on_launched(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        attempt_number: AttemptNumber,
    ) {
        let launch = GangLaunch {
            attempt_number,
            at: now,
            started: false,
        };
        self.launches.insert(id.clone(), launch);
    }

    /// Takes from a machine's report which gangs have started.
    pub(super) fn on_health(&mut self, health: &MachineHealth) {
        for (job, attempt_number) in &health.gangs {
            if let Some(launch) = self.launches.get_mut(job)
                && launch.attempt_number == *attempt_number
            {
                launch.started = true;
            }
        }
    }

    /// A task ended by itself: nothing is added to this attempt any more.
    pub(super) fn on_ended(&mut self, job: &JobId) {
        if let Some(launch) = self.launches.get_mut(job) {
            launch.started = true;
        }
    }

    /// Keeps the launches of the jobs that still exist.
    pub(super) fn retain(&mut self, jobs: &BTreeMap<JobId, LiveJob>) {
        self.launches.retain(|id, _| jobs.contains_key(id));
    }

    /// Forgets all launches.
    pub(super) fn clear(&mut self) {
        self.launches.clear();
    }
}

/// The indices of a gang's tasks that are neither placed nor allotted.
pub(super) fn missing_tasks<M>(job: &LiveJob, allotted: Option<&BTreeMap<u32, M>>) -> Vec<u32> {
    (0..job.spec.tasks)
        .filter(|i| !job.placed.contains_key(i) && allotted.is_none_or(|a| !a.contains_key(i)))
        .collect()
}
