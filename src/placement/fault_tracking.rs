//! Task failures. Machines on which tasks fail repeatedly are quarantined, and jobs that fail on
//! several machines are retried with a backoff.

use crate::ids::{JobId, MachineId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// The number of different jobs whose failures on a machine, with no success in between, cause its
/// quarantine. A failure does not cause it if the same job has also failed on other machines.
const QUARANTINE_MIN_JOBS: usize = 2;
/// The number of failures on a machine, of any jobs and with no success in between, that causes its
/// quarantine. The same exception applies as for [`QUARANTINE_MIN_JOBS`].
const QUARANTINE_MIN_FAILURES: usize = 3;
/// How long a machine stays in quarantine after the last failure that causes it.
const QUARANTINE_PERIOD: Millis = Millis(60_000);
/// The number of machines on which a job must have failed to be retried with a backoff.
const BACKOFF_MIN_MACHINES: usize = 2;
/// The shortest delay, in milliseconds, before a job that failed on several machines is retried. It
/// is doubled with every second failure.
const MIN_BACKOFF_MS: u64 = 1000;
/// The longest delay, in milliseconds, before a job that failed on several machines is retried.
const MAX_BACKOFF_MS: u64 = 60_000;
/// Once a job has failed on this many machines, none of them is excluded for the job any longer.
const MAX_EXCLUDED_MACHINES: usize = 4;

/// The task failures on a machine since a task last succeeded there.
#[derive(Debug, Default)]
struct MachineFaults {
    jobs: BTreeSet<JobId>,
    count: usize,
    quarantined_until: MonotonicTime,
}

/// The task failures of a job since one of its tasks last succeeded.
#[derive(Debug, Default)]
struct JobFaults {
    machines: BTreeSet<MachineId>,
    count: u32,
    backoff_until: MonotonicTime,
}

/// The task failures of each machine and of each job since the leader's term began.
#[derive(Debug, Default)]
pub(super) struct FaultTracker {
    machines: BTreeMap<MachineId, MachineFaults>,
    jobs: BTreeMap<JobId, JobFaults>,
}

impl FaultTracker {
    /// Records the failure of a task.
    pub(super) fn on_failure(&mut self, now: MonotonicTime, job: &JobId, machine: &MachineId) {
        let failed_elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|j| j.machines.iter().any(|m| m != machine));
        let machine_faults = self.machines.entry(machine.clone()).or_default();
        machine_faults.jobs.insert(job.clone());
        machine_faults.count += 1;
        let is_suspect = machine_faults.jobs.len() >= QUARANTINE_MIN_JOBS
            || machine_faults.count >= QUARANTINE_MIN_FAILURES;
        // If the job has also failed on other machines, the job is the more likely cause.
        if !failed_elsewhere && is_suspect {
            machine_faults.quarantined_until = now + QUARANTINE_PERIOD;
        }
        let job_faults = self.jobs.entry(job.clone()).or_default();
        job_faults.machines.insert(machine.clone());
        job_faults.count += 1;
        // Failures on a single machine must not delay a job. Failures on several machines do, so
        // that a job that fails everywhere does not use up the fleet.
        if job_faults.machines.len() >= BACKOFF_MIN_MACHINES {
            let doublings = (job_faults.count.min(20) / 2).saturating_sub(1).min(6);
            let backoff = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
            job_faults.backoff_until = now + Millis(backoff);
        }
    }

    /// Clears the failures of a job and a machine after a task of the job has succeeded there.
    pub(super) fn on_success(&mut self, job: &JobId, machine: &MachineId) {
        self.machines.remove(machine);
        self.jobs.remove(job);
    }

    /// Returns whether a machine is quarantined and receives no tasks.
    pub(super) fn is_quarantined(&self, now: MonotonicTime, machine: &MachineId) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|m| now < m.quarantined_until)
    }

    /// Returns whether a machine is excluded for a job because the job has failed there. Once the
    /// job has failed on `MAX_EXCLUDED_MACHINES` machines, no machine is excluded.
    pub(super) fn is_excluded(&self, job: &JobId, machine: &MachineId) -> bool {
        self.jobs.get(job).is_some_and(|j| {
            j.machines.len() < MAX_EXCLUDED_MACHINES && j.machines.contains(machine)
        })
    }

    /// Returns whether a job's backoff has not expired yet.
    pub(super) fn is_backing_off(&self, now: MonotonicTime, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|j| now < j.backoff_until)
    }

    /// Returns the limit on a job's simultaneous tasks: 1 for a job that has failed on several
    /// machines, `None` for others.
    pub(super) fn task_limit(&self, job: &JobId) -> Option<usize> {
        self.jobs
            .get(job)
            .filter(|j| j.machines.len() >= BACKOFF_MIN_MACHINES)
            .map(|_| 1)
    }

    /// Drops the failures of jobs and machines that no longer exist.
    pub(super) fn retain(
        &mut self,
        job_exists: impl Fn(&JobId) -> bool,
        machine_exists: impl Fn(&MachineId) -> bool,
    ) {
        self.jobs.retain(|id, _| job_exists(id));
        self.machines.retain(|id, _| machine_exists(id));
    }

    /// Clears all failures.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
