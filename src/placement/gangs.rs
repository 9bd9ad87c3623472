//! Gang scheduling: all tasks of a gang are allotted under one attempt, or none is.

use crate::ids::{AttemptNumber, JobId, Millis, MonotonicTime};
use crate::peers::MachineHealth;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// The time that a replacement task needs to start. A missing task is only replaced if more than
/// this remains before the other tasks reach the gang's start timeout and exit.
const REPLACEMENT_MARGIN: Millis = Millis(10_000);

/// A launch of a gang.
#[derive(Debug)]
struct GangLaunch {
    attempt_number: AttemptNumber,
    launched_at: MonotonicTime,
    /// Whether all of its tasks have started or one has ended. No task is added to the attempt
    /// after that.
    is_closed: bool,
}

/// The gangs that the leader has launched in its term. A new leader knows nothing of a gang that is
/// only partly placed; the gang's tasks reach their start timeout and exit.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    launches: BTreeMap<JobId, GangLaunch>,
}

/// The next action for a gang.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum GangAction {
    /// Launch all tasks under a new attempt.
    LaunchAll,
    /// Replace the missing tasks of a gang that has not started yet, under its attempt.
    ReplaceMissing(AttemptNumber),
    /// Wait until all tasks of the current attempt are gone, since it cannot be completed.
    Wait,
}

impl Gangs {
    /// Returns the next action for a gang. `allotted` is the number of its tasks that are allotted
    /// and not on record yet. `start_timeout` limits how long its tasks wait for one another.
    pub(super) fn next_action(
        &self,
        now: MonotonicTime,
        id: &JobId,
        job: &LiveJob,
        allotted: usize,
        start_timeout: Millis,
    ) -> GangAction {
        if job.placed.is_empty() && allotted == 0 {
            return GangAction::LaunchAll;
        }
        match self.launches.get(id) {
            Some(launch)
                if !launch.is_closed
                    && now.since(launch.launched_at) + REPLACEMENT_MARGIN < start_timeout
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

    /// Records the launch of a gang.
    pub(super) fn on_launched(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        attempt_number: AttemptNumber,
    ) {
        let launch = GangLaunch {
            attempt_number,
            launched_at: now,
            is_closed: false,
        };
        self.launches.insert(id.clone(), launch);
    }

    /// Marks the gangs that a machine's report shows as started.
    pub(super) fn on_health(&mut self, health: &MachineHealth) {
        for (job, attempt_number) in &health.gangs {
            if let Some(launch) = self.launches.get_mut(job)
                && launch.attempt_number == *attempt_number
            {
                launch.is_closed = true;
            }
        }
    }

    /// Closes the attempt of a gang, since one of its tasks has ended by itself. No task is added
    /// to the attempt after that.
    pub(super) fn on_ended(&mut self, job: &JobId) {
        if let Some(launch) = self.launches.get_mut(job) {
            launch.is_closed = true;
        }
    }

    /// Drops the launches of jobs that no longer exist.
    pub(super) fn retain(&mut self, jobs: &BTreeMap<JobId, LiveJob>) {
        self.launches.retain(|id, _| jobs.contains_key(id));
    }

    /// Clears all launches.
    pub(super) fn clear(&mut self) {
        self.launches.clear();
    }
}

/// Returns the indices of a gang's tasks that are neither placed nor allotted.
pub(super) fn missing_tasks<M>(job: &LiveJob, allotted: Option<&BTreeMap<u32, M>>) -> Vec<u32> {
    (0..job.spec.tasks)
        .filter(|i| !job.placed.contains_key(i) && allotted.is_none_or(|a| !a.contains_key(i)))
        .collect()
}
