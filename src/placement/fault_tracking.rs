//! Failures of tasks: machines that fail whatever they run are quarantined, and jobs that fail
//! wherever they run are retried with a backoff.

use crate::ids::{JobId, MachineId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// A machine on which so many different jobs failed, with no success since, is quarantined.
const QUARANTINE_JOBS: usize = 2;
/// So is one with so many failures, of whatever jobs.
const QUARANTINE_FAILURES: usize = 3;
/// How long a machine is quarantined after its last failure.
const QUARANTINE_PERIOD: Millis = Millis(60_000);
/// A job that failed on so many machines is retried with a backoff.
const BACKOFF_MACHINES: usize = 2;
/// The first backoff; it doubles with every second failure.
const MIN_BACKOFF_MS: u64 = 1000;
/// The longest backoff.
const MAX_BACKOFF_MS: u64 = 60_000;
/// A job that failed on so many machines may use any again.
const MAX_EXCLUDED_MACHINES: usize = 4;

/// Failures on a machine since its last success.
#[derive(Debug, Default)]
struct MachineFaults {
    jobs: BTreeSet<JobId>,
    count: usize,
    quarantined_until: MonotonicTime,
}

/// Failures of a job since its last success.
#[derive(Debug, Default)]
struct JobFaults {
    machines: BTreeSet<MachineId>,
    count: u32,
    backoff_until: MonotonicTime,
}

/// The failures of a leader's term.
#[derive(Debug, Default)]
pub(super) struct FaultTracker {
    machines: BTreeMap<MachineId, MachineFaults>,
    jobs: BTreeMap<JobId, JobFaults>,
}

impl FaultTracker {
    /// Records the failure of a task.
    pub(super) fn on_failure(&mut self, now: MonotonicTime, job: &JobId, machine: &MachineId) {
        let elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|j| j.machines.iter().any(|m| m != machine));
        let machine_faults = self.machines.entry(machine.clone()).or_default();
        machine_faults.jobs.insert(job.clone());
        machine_faults.count += 1;
        let is_suspect = machine_faults.jobs.len() >= QUARANTINE_JOBS
            || machine_faults.count >= QUARANTINE_FAILURES;
        // Where a job fails on other machines too, the job is the likelier cause.
        if !elsewhere && is_suspect {
            machine_faults.quarantined_until = now + QUARANTINE_PERIOD;
        }
        let job_faults = self.jobs.entry(job.clone()).or_default();
        job_faults.machines.insert(machine.clone());
        job_faults.count += 1;
        // One bad machine must not hold a job back; failing on several does, so that a job that
        // fails everywhere does not use up the fleet.
        if job_faults.machines.len() >= BACKOFF_MACHINES {
            let doublings = (job_faults.count.min(20) / 2).saturating_sub(1).min(6);
            let backoff = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
            job_faults.backoff_until = now + Millis(backoff);
        }
    }

    /// Forgets the failures of a job and a machine, since a task of it succeeded there.
    pub(super) fn on_success(&mut self, job: &JobId, machine: &MachineId) {
        self.machines.remove(machine);
        self.jobs.remove(job);
    }

    /// Whether a machine gets no work because of its failures.
    pub(super) fn is_quarantined(&self, now: MonotonicTime, machine: &MachineId) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|m| now < m.quarantined_until)
    }

    /// Whether a machine is left out for a job, since it failed there. Once the job has failed on
    /// many machines, none is.
    pub(super) fn is_excluded(&self, job: &JobId, machine: &MachineId) -> bool {
        self.jobs.get(job).is_some_and(|j| {
            j.machines.len() < MAX_EXCLUDED_MACHINES && j.machines.contains(machine)
        })
    }

    /// Whether a job waits for its next retry.
    pub(super) fn is_backing_off(&self, now: MonotonicTime, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|j| now < j.backoff_until)
    }

    /// How many tasks a job that has failed on several machines may have at a time: one.
    pub(super) fn task_limit(&self, job: &JobId) -> Option<usize> {
        self.jobs
            .get(job)
            .filter(|j| j.machines.len() >= BACKOFF_MACHINES)
            .map(|_| 1)
    }

    /// Keeps the failures of the jobs and machines that still exist.
    pub(super) fn retain(
        &mut self,
        job_exists: impl Fn(&JobId) -> bool,
        machine_exists: impl Fn(&MachineId) -> bool,
    ) {
        self.jobs.retain(|id, _| job_exists(id));
        self.machines.retain(|id, _| machine_exists(id));
    }

    /// Forgets all failures.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
