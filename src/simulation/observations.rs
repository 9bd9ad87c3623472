//! Observations of a simulation run, for the invariants and the tests.

use super::violations::Violation;
use crate::ids::{JobId, MachineId, MonotonicTime};
use crate::protocol::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// Observations since the start of the run.
#[derive(Default)]
pub(super) struct Observations {
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// The number of launched task attempts.
    pub launches: u64,
    /// The number of occurrences of those faults and coincidences that are counted, summed over all
    /// kinds in the run. Ordinary crashes, for example, are not counted.
    pub fault_occurrences: u64,
    /// The number of messages and heartbeats relayed around a partition.
    pub relayed_messages: u64,
    /// Counts of the launches that arrived late, by what had happened in between.
    pub late_launches: LateLaunchCounts,
    /// The number of running tasks lost because their machine was deleted or its lease expired.
    pub tasks_lost: u64,
    /// The indices of the tasks of each job that have run to completion.
    pub completed_indices: BTreeMap<JobId, BTreeSet<u32>>,
    /// The final state in which each job was last observed.
    pub final_states: BTreeMap<JobId, JobState>,
    /// Machines that the cloud has deleted.
    pub deleted_machines: BTreeSet<MachineId>,
    /// When records of deleted machines were first found after all faults were healed.
    pub deleted_records_since: BTreeMap<MachineId, MonotonicTime>,
    /// Since when each job has had no task on any machine although there is room.
    pub starving_since: BTreeMap<JobId, MonotonicTime>,
    /// Counts of the outcomes of dependent jobs.
    pub dependencies: DependencyCounts,
}

/// Counts of the outcomes of dependent jobs. A run without any of them tests nothing about
/// dependencies.
#[derive(Debug, Default)]
pub(super) struct DependencyCounts {
    /// Accepted submissions.
    pub submitted: u64,
    /// Submissions accepted with dependencies that had not ended.
    pub accepted_blocked: u64,
    /// Transactions that released dependent jobs.
    pub released: u64,
    /// Submissions accepted as cancelled, since a dependency was cancelled.
    pub cancelled_on_submission: u64,
    /// Jobs cancelled later, together with a dependency.
    pub cancelled_by_cascade: u64,
    /// Submissions postponed because a controller of an earlier version was a member.
    pub postponed: u64,
    /// Dependents that were still live when the user of a cancelled dependency was told.
    pub live_at_confirmation: u64,
}

impl DependencyCounts {
    /// Adds the counts of another run.
    pub(super) fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.accepted_blocked += other.accepted_blocked;
        self.released += other.released;
        self.cancelled_on_submission += other.cancelled_on_submission;
        self.cancelled_by_cascade += other.cancelled_by_cascade;
        self.postponed += other.postponed;
        self.live_at_confirmation += other.live_at_confirmation;
    }
}

/// Counts of the launches in direct calls that arrived late, mostly as copies of answered ones, by what
/// had happened in between. A launch can be counted in several fields.
#[derive(Debug, Default)]
pub(super) struct LateLaunchCounts {
    /// The worker was told in the same epoch to forget the attempt.
    pub forgotten: u64,
    /// The task was on another machine.
    pub moved: u64,
    /// The user was told that the job is cancelled.
    pub cancelled: u64,
    /// The worker was in a later epoch.
    pub later_epoch: u64,
    /// The controller that sent the launch had been restarted.
    pub controller_restarted: u64,
}

impl LateLaunchCounts {
    /// Adds the counts of another run.
    pub(super) fn add(&mut self, other: &Self) {
        self.forgotten += other.forgotten;
        self.moved += other.moved;
        self.cancelled += other.cancelled;
        self.later_epoch += other.later_epoch;
        self.controller_restarted += other.controller_restarted;
    }

    /// Returns the smallest of the counts.
    pub(super) fn min(&self) -> u64 {
        let counts = [self.forgotten, self.moved, self.cancelled];
        let others = [self.later_epoch, self.controller_restarted];
        counts.into_iter().chain(others).min().unwrap_or(0)
    }
}
