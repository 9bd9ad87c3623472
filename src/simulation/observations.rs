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
    /// The late copies of launches that arrived although their task had been moved to another machine.
    pub late_launches_of_moved_tasks: u64,
    /// The late copies of launches that arrived although their job had been cancelled.
    pub late_launches_of_cancelled_tasks: u64,
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
