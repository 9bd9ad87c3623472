//! Gangs: all of their tasks are allotted under one attempt, or none is.

use crate::ids::{AttemptNumber, JobId, Millis, MonotonicTime};
use crate::peers::MachineHealth;
use crate::store::watch_cache::LiveJob;
use std::collections::BTreeMap;

/// A replacement needs this much of the waiting time to be there before the others give up.
const REPLACE_MARGIN: Millis = Millis(10_000);

#[derive(Debug)]
struct Launch {
    attempt_number: AttemptNumber,
    at: MonotonicTime,
    running: bool,
}

/// What the leader has launched in its term. After a change of leaders nothing is known of a
/// gang that stands only in part: its members are left to find out by themselves.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    launches: BTreeMap<JobId, Launch>,
}

#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Launch all tasks under a new attempt.
    Whole,
    /// Replace what is missing of a gang that has not started yet.
    Replace(AttemptNumber),
    /// Members of an attempt are still there, and it can't be completed.
    Wait,
}

impl Gangs {
    pub(super) fn next(
        &self,
        now: MonotonicTime,
        id: &JobId,
        job: &LiveJob,
        allotted: usize,
        wait: Millis,
    ) -> Next {
        if job.placed.is_empty() && allotted == 0 {
            return Next::Whole;
        }
        match self.launches.get(id) {
            Some(launch)
                if !launch.running
                    && now.since(launch.at) + REPLACE_MARGIN < wait
                    && job
                        .placed
                        .values()
                        .all(|p| p.attempt == launch.attempt_number) =>
            {
                Next::Replace(launch.attempt_number)
            }
            _ => Next::Wait,
        }
    }

    pub(super) fn launched(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        attempt_number: AttemptNumber,
    ) {
        let launch = Launch {
            attempt_number,
            at: now,
            running: false,
        };
        self.launches.insert(id.clone(), launch);
    }

    pub(super) fn on_health(&mut self, health: &MachineHealth) {
        for (job, attempt_number) in &health.gangs {
            if let Some(launch) = self.launches.get_mut(job)
                && launch.attempt_number == *attempt_number
            {
                launch.running = true;
            }
        }
    }

    /// A member ended by itself: nothing is added to this attempt any more.
    pub(super) fn on_ended(&mut self, job: &JobId) {
        if let Some(launch) = self.launches.get_mut(job) {
            launch.running = true;
        }
    }

    pub(super) fn retain(&mut self, jobs: &BTreeMap<JobId, LiveJob>) {
        self.launches.retain(|id, _| jobs.contains_key(id));
    }

    pub(super) fn clear(&mut self) {
        self.launches.clear();
    }
}

/// The tasks of a gang that are neither placed nor allotted.
pub(super) fn missing<M>(job: &LiveJob, allotted: Option<&BTreeMap<u32, M>>) -> Vec<u32> {
    (0..job.spec.tasks)
        .filter(|i| !job.placed.contains_key(i) && allotted.is_none_or(|a| !a.contains_key(i)))
        .collect()
}
