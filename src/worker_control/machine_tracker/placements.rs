//! Placements on one machine that are not settled yet: allotted, committed or refused.

use crate::ids::{MonotonicTime, Resources, Revision, TaskAttempt};
use crate::protocol::JobSpec;
use crate::protocol::store::Txn;
use crate::store::keys;
use crate::store::records::MachineRecord;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// A placement that the leader has allotted and that the machine's record does not show yet.
#[derive(Debug)]
pub(in crate::worker_control) struct PendingPlacement {
    /// When it was allotted.
    pub(in crate::worker_control) since: MonotonicTime,
    /// The attempt to be placed.
    pub(in crate::worker_control) attempt: TaskAttempt,
    /// The specification of its job.
    pub(in crate::worker_control) spec: Rc<JobSpec>,
    /// Revision of the job's record: the placement is committed only under it.
    pub(in crate::worker_control) job_revision: Revision,
}

/// The limits of the key-value store that a machine's record has to keep.
#[derive(Clone, Copy, Debug)]
pub(in crate::worker_control) struct RecordLimits {
    /// Largest record, in bytes.
    pub(in crate::worker_control) value_bytes: usize,
    /// Changes in one transaction. It may carry four times as many conditions.
    pub(in crate::worker_control) txn_ops: usize,
}

/// Placements on one machine on their way from the allotment to the running task.
#[derive(Debug, Default)]
pub(in crate::worker_control) struct Placements {
    /// Allotted, and not in the machine's record yet.
    pending: VecDeque<PendingPlacement>,
    /// Committed here and not seen on the machine yet. Only these are ever started: whatever else
    /// is absent may have ended before, its room given out again, and only its end not written.
    /// Started once more it would break its team's limit.
    launchable: BTreeSet<TaskAttempt>,
    /// Proved gone, and reported to the leader before it was written.
    reported: BTreeSet<TaskAttempt>,
    /// To be refused once nothing that was sent can still place them.
    rejected: Vec<TaskAttempt>,
}

impl Placements {
    /// The shard's record was rewritten: everything allotted under the old one is void. What was
    /// committed stays launchable.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.reported.clear();
        self.rejected.clear();
    }

    /// Adds an allotted placement.
    pub(in crate::worker_control) fn push(&mut self, placement: PendingPlacement) {
        self.pending.push_back(placement);
    }

    /// The pending placements, the oldest first.
    pub(in crate::worker_control) fn pending(&self) -> impl Iterator<Item = &PendingPlacement> {
        self.pending.iter()
    }

    /// How many placements are pending.
    pub(in crate::worker_control) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether a placement of the attempt is pending.
    pub(in crate::worker_control) fn is_pending(&self, attempt: &TaskAttempt) -> bool {
        self.pending.iter().any(|p| p.attempt == *attempt)
    }

    /// What the pending placements need together.
    pub(in crate::worker_control) fn pending_need(&self) -> Resources {
        self.pending
            .iter()
            .fold(Resources::default(), |sum, p| sum + p.spec.need())
    }

    /// Drops pending placements that the machine's record shows.
    pub(in crate::worker_control) fn drop_committed(&mut self, record: &MachineRecord) {
        self.pending.retain(|p| !record.holds(&p.attempt));
    }

    /// Drops rejections of placements that were committed after all.
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

    /// Whether rejections wait to be reported to the leader.
    pub(in crate::worker_control) fn has_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Takes the rejections to report them to the leader.
    pub(in crate::worker_control) fn take_rejected(&mut self) -> Vec<TaskAttempt> {
        std::mem::take(&mut self.rejected)
    }

    /// Adds the pending placements to a machine's record, as far as they fit, with the conditions
    /// that their jobs are unchanged. Those that make the record too large are rejected.
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

    /// Whether the attempt was committed here and was not seen on the machine yet.
    pub(in crate::worker_control) fn is_launchable(&self, attempt: &TaskAttempt) -> bool {
        self.launchable.contains(attempt)
    }

    /// Keeps the attempts launchable for which this holds.
    pub(in crate::worker_control) fn retain_launchable(
        &mut self,
        keep: impl Fn(&TaskAttempt) -> bool,
    ) {
        self.launchable.retain(keep);
    }

    /// Notes that the leader is informed of an attempt's end. It is never started again then,
    /// whatever becomes of the proof. Returns whether this is the first report.
    pub(in crate::worker_control) fn mark_reported(&mut self, attempt: &TaskAttempt) -> bool {
        self.launchable.remove(attempt);
        self.reported.insert(attempt.clone())
    }

    /// Whether the attempt's end was reported and is not written yet.
    pub(in crate::worker_control) fn is_reported(&self, attempt: &TaskAttempt) -> bool {
        self.reported.contains(attempt)
    }

    /// The attempt's end is written.
    pub(in crate::worker_control) fn forget_reported(&mut self, attempt: &TaskAttempt) {
        self.reported.remove(attempt);
    }

    /// Another leader has to be informed anew.
    pub(in crate::worker_control) fn clear_reported(&mut self) {
        self.reported.clear();
    }
}
