//! Placements on one machine that are not settled yet: pending, committed but not yet launched, or
//! refused but not yet reported.

use crate::ids::{MonotonicTime, Resources, Revision, TaskAttempt};
use crate::protocol::JobSpec;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::MachineRecord;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// A placement that the leader has allotted and that the machine's record does not contain yet.
#[derive(Debug)]
pub(in crate::worker_control) struct PendingPlacement {
    /// When the attempt was assigned to the machine.
    pub(in crate::worker_control) assigned_at: MonotonicTime,
    /// The attempt to place.
    pub(in crate::worker_control) attempt: TaskAttempt,
    /// The specification of the attempt's job.
    pub(in crate::worker_control) spec: Rc<JobSpec>,
    /// Revision of the job's record. The placement is only committed if the record still has it.
    pub(in crate::worker_control) job_revision: Revision,
}

/// Limits of the key-value store that apply to machine records.
#[derive(Clone, Copy, Debug)]
pub(in crate::worker_control) struct RecordLimits {
    /// Maximum size of a record in bytes.
    pub(in crate::worker_control) value_bytes: usize,
    /// Maximum number of writes in one transaction. A transaction may have four times as many
    /// conditions.
    pub(in crate::worker_control) txn_ops: usize,
}

/// The placements on one machine between allotment and launch, and the reports about them.
#[derive(Debug, Default)]
pub(in crate::worker_control) struct Placements {
    /// Allotted placements that the machine's record does not contain yet.
    pending: VecDeque<PendingPlacement>,
    /// Attempts that this tracker has added to the machine's record and that were not yet seen on
    /// the machine. Only these are launched, once the record in the watch cache contains them. Any
    /// other attempt that is absent from the machine may have ended already, with its end not yet
    /// written and its capacity allotted again. Launching it again could exceed its team's limit.
    launchable: BTreeSet<TaskAttempt>,
    /// Attempts that are proved gone and were reported to the leader, but whose end is not written
    /// yet.
    reported: BTreeSet<TaskAttempt>,
    /// Attempts to be refused as soon as no transaction in flight can still place them.
    rejected: Vec<TaskAttempt>,
}

impl Placements {
    /// Resets the state after the shard's record was rewritten. Pending placements under the old
    /// fence are void. Committed ones remain launchable.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.reported.clear();
        self.rejected.clear();
    }

    /// Adds an allotted placement.
    pub(in crate::worker_control) fn push(&mut self, placement: PendingPlacement) {
        self.pending.push_back(placement);
    }

    /// Returns the pending placements, oldest first.
    pub(in crate::worker_control) fn pending(&self) -> impl Iterator<Item = &PendingPlacement> {
        self.pending.iter()
    }

    /// Returns the number of pending placements.
    pub(in crate::worker_control) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a placement of the attempt is pending.
    pub(in crate::worker_control) fn is_pending(&self, attempt: &TaskAttempt) -> bool {
        self.pending.iter().any(|p| p.attempt == *attempt)
    }

    /// Returns the resources that the pending placements need in total.
    pub(in crate::worker_control) fn pending_need(&self) -> Resources {
        self.pending
            .iter()
            .fold(Resources::default(), |sum, p| sum + p.spec.need())
    }

    /// Removes pending placements that the machine's record contains.
    pub(in crate::worker_control) fn drop_committed(&mut self, record: &MachineRecord) {
        self.pending.retain(|p| !record.holds(&p.attempt));
    }

    /// Removes rejections of placements that were committed after all.
    pub(in crate::worker_control) fn drop_committed_rejections(&mut self, record: &MachineRecord) {
        self.rejected.retain(|attempt| !record.holds(attempt));
    }

    /// Rejects the pending placements that are not valid any more.
    pub(in crate::worker_control) fn reject_unless(
        &mut self,
        valid: impl Fn(&PendingPlacement) -> bool,
    ) {
        if self.pending.iter().all(&valid) {
            return;
        }
        let all = std::mem::take(&mut self.pending);
        let (kept, rejected): (VecDeque<_>, VecDeque<_>) = all.into_iter().partition(valid);
        self.pending = kept;
        let rejected = rejected.into_iter().map(|p| p.attempt);
        self.rejected.extend(rejected);
    }

    /// Returns whether there are rejections to report to the leader.
    pub(in crate::worker_control) fn has_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Takes the rejections to report to the leader.
    pub(in crate::worker_control) fn take_rejected(&mut self) -> Vec<TaskAttempt> {
        std::mem::take(&mut self.rejected)
    }

    /// Adds pending placements to a machine's record, and to the transaction the conditions that
    /// their jobs are unchanged. Stops when the transaction has no room for another condition.
    /// Rejects placements that would make the record too large.
    pub(in crate::worker_control) fn add_to_record(
        &mut self,
        record: &mut MachineRecord,
        txn: &mut Txn,
        limits: RecordLimits,
    ) {
        let mut jobs_added = BTreeSet::new();
        let mut too_large = BTreeSet::new();
        for placement in &self.pending {
            let job = &placement.attempt.task.job;
            if !jobs_added.contains(job) && txn.conditions.len() + 1 > 4 * limits.txn_ops {
                break;
            }
            let added = record.added_size(&placement.attempt, &placement.spec);
            if record.size() + added > limits.value_bytes {
                too_large.insert(placement.attempt.clone());
                continue;
            }
            if jobs_added.insert(job.clone()) {
                txn.require(keys::job(job), placement.job_revision);
            }
            record.add(&placement.attempt, &placement.spec);
            self.launchable.insert(placement.attempt.clone());
        }
        self.pending.retain(|p| !too_large.contains(&p.attempt));
        self.rejected.extend(too_large);
    }

    /// Returns whether this tracker has added the attempt to the machine's record, in a transaction
    /// that may still be in flight, and the attempt was not yet seen on the machine.
    pub(in crate::worker_control) fn is_launchable(&self, attempt: &TaskAttempt) -> bool {
        self.launchable.contains(attempt)
    }

    /// Keeps only the launchable attempts for which `keep` returns true.
    pub(in crate::worker_control) fn retain_launchable(
        &mut self,
        keep: impl Fn(&TaskAttempt) -> bool,
    ) {
        self.launchable.retain(keep);
    }

    /// Records that an attempt's end is reported to the leader. From then on the attempt is never
    /// launched again, even if its end can't be proved any more. Returns whether this is the first
    /// report.
    pub(in crate::worker_control) fn mark_reported(&mut self, attempt: &TaskAttempt) -> bool {
        self.launchable.remove(attempt);
        self.reported.insert(attempt.clone())
    }

    /// Returns whether the attempt's end was reported and is not written yet.
    pub(in crate::worker_control) fn is_reported(&self, attempt: &TaskAttempt) -> bool {
        self.reported.contains(attempt)
    }

    /// Removes an attempt whose end is written.
    pub(in crate::worker_control) fn forget_reported(&mut self, attempt: &TaskAttempt) {
        self.reported.remove(attempt);
    }

    /// Clears the reported attempts, so that they are reported again to a new leader.
    pub(in crate::worker_control) fn clear_reported(&mut self) {
        self.reported.clear();
    }
}
