//! Machines that fail every task, told from jobs that fail everywhere.

use crate::ids::{JobId, MachineId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Failures of different jobs, with no success since, that make a machine suspect.
const SUSPECT: usize = 2;
const QUARANTINE_PERIOD: Millis = Millis(60_000);
const FIRST_PAUSE: u64 = 1000;
const LONGEST_PAUSE: u64 = 60_000;

#[derive(Debug, Default)]
struct MachineFaults {
    jobs: BTreeSet<JobId>,
    count: usize,
    shunned_until: MonotonicTime,
}

#[derive(Debug, Default)]
struct JobFaults {
    machines: BTreeSet<MachineId>,
    count: u32,
    paused_until: MonotonicTime,
}

#[derive(Debug, Default)]
pub(crate) struct Faults {
    machines: BTreeMap<MachineId, MachineFaults>,
    jobs: BTreeMap<JobId, JobFaults>,
}

impl Faults {
    pub(crate) fn failed(&mut self, now: MonotonicTime, job: &JobId, machine: &MachineId) {
        let elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|j| j.machines.iter().any(|m| m != machine));
        let faults = self.machines.entry(machine.clone()).or_default();
        faults.jobs.insert(job.clone());
        faults.count += 1;
        // A job that fails on other machines too speaks against itself.
        if !elsewhere && (faults.jobs.len() >= SUSPECT || faults.count >= 3) {
            faults.shunned_until = now + QUARANTINE_PERIOD;
        }
        let faults = self.jobs.entry(job.clone()).or_default();
        faults.machines.insert(machine.clone());
        faults.count += 1;
        // One bad machine must not hold a job back; failing on several does, so that a job that
        // fails everywhere does not eat the fleet.
        if faults.machines.len() >= 2 {
            let doubled = FIRST_PAUSE << (faults.count.min(20) / 2).saturating_sub(1).min(6);
            faults.paused_until = now + Millis(doubled.min(LONGEST_PAUSE));
        }
    }

    pub(crate) fn succeeded(&mut self, job: &JobId, machine: &MachineId) {
        self.machines.remove(machine);
        self.jobs.remove(job);
    }

    pub(crate) fn is_quarantined(&self, now: MonotonicTime, machine: &MachineId) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|m| now < m.shunned_until)
    }

    /// A job is not tried again where it failed while other machines are left.
    pub(crate) fn failed_on(&self, job: &JobId, machine: &MachineId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|j| j.machines.len() < 4 && j.machines.contains(machine))
    }

    pub(crate) fn paused(&self, now: MonotonicTime, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|j| now < j.paused_until)
    }

    /// How many tasks a job that has failed on several machines may try at a time.
    pub(crate) fn trial(&self, job: &JobId) -> Option<usize> {
        self.jobs
            .get(job)
            .filter(|j| j.machines.len() >= 2)
            .map(|_| 1)
    }

    pub(crate) fn retain(
        &mut self,
        job: impl Fn(&JobId) -> bool,
        machine: impl Fn(&MachineId) -> bool,
    ) {
        self.jobs.retain(|id, _| job(id));
        self.machines.retain(|id, _| machine(id));
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
