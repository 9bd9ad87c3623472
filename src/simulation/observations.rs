//! What was observed on a simulated day, for the invariants and the tests.

use super::violations::Violation;
use crate::ids::{JobId, MachineId, MonotonicTime};
use crate::protocol::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// Observations since the day began.
#[derive(Default)]
pub(super) struct Observations {
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// How many task attempts were launched.
    pub launches: u64,
    /// How often faults met as the day's name says.
    pub fault_occurrences: u64,
    /// How many messages and heartbeats were relayed around a partition.
    pub relayed_messages: u64,
    /// How many running tasks ended with their machine or its lease.
    pub tasks_lost: u64,
    /// The tasks of each job that have run to their end.
    pub completed_indices: BTreeMap<JobId, BTreeSet<u32>>,
    /// The final state in which each job was seen first.
    pub final_states: BTreeMap<JobId, JobState>,
    /// Machines that the cloud has deleted.
    pub deleted_machines: BTreeSet<MachineId>,
    /// Since when records of deleted machines exist, once all faults are healed.
    pub deleted_records_since: BTreeMap<MachineId, MonotonicTime>,
    /// Since when a job has nothing on any machine although there is room.
    pub starving_since: BTreeMap<JobId, MonotonicTime>,
    /// What became of dependent jobs.
    pub dependencies: DependencyCounts,
}

/// What became of dependent jobs; a day without any shows nothing.
#[derive(Debug, Default)]
pub(super) struct DependencyCounts {
    /// Submissions that were accepted.
    pub submitted: u64,
    /// Accepted with dependencies that had not ended.
    pub accepted_blocked: u64,
    /// Transactions that released dependent jobs.
    pub released: u64,
    /// Accepted as cancelled, since a dependency was.
    pub cancelled_on_submission: u64,
    /// Cancelled later together with a dependency.
    pub cancelled_by_cascade: u64,
    /// Submissions postponed since a controller of an earlier version took part.
    pub postponed: u64,
    /// Still live when the user of a cancelled dependency was told.
    pub live_at_confirmation: u64,
}

impl DependencyCounts {
    /// Adds the counts of another day.
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
