//! Unwritten changes to a machine's record, and the transaction that writes them.

use crate::ids::{Millis, MonotonicTime, RequestId, Resources, Revision, TaskAttempt};
use crate::peers::AttemptOutcome;
use crate::store::records::MachineRecord;

/// Delay before a failed transaction is retried.
const TXN_RETRY_DELAY: Millis = Millis(250);
/// Maximum time beyond the retry delay that a retry waits for the watch cache to deliver the
/// conflicting change.
const CACHE_WAIT_LIMIT: Millis = Millis(2000);
/// Time that ended placements wait for a new placement on their machine before they are written
/// without one, in milliseconds. It limits the number of writes.
const ENDS_ONLY_WRITE_DELAY_MS: u64 = 10_000;
/// Time in milliseconds that ended placements wait to be written if the record is empty without
/// them. It is shorter than [`ENDS_ONLY_WRITE_DELAY_MS`] because a machine can only be returned to
/// the cloud once its record is empty.
const IDLE_MACHINE_WRITE_DELAY_MS: u64 = 700;
/// Contribution of each pending placement to the priority of a record write. Each millisecond of
/// the changes' age adds 1.
const PLACEMENT_PRIORITY: u64 = 1000;
/// Contribution of each ended placement to the priority of a record write.
const END_PRIORITY: u64 = 300;

/// A placement that is proved gone.
#[derive(Clone, Debug)]
pub(in crate::worker_control) struct EndedPlacement {
    /// The attempt that ended.
    pub(in crate::worker_control) attempt: TaskAttempt,
    /// How it ended.
    pub(in crate::worker_control) outcome: AttemptOutcome,
}

/// Changes that a machine's record does not contain yet.
#[derive(Debug)]
pub(in crate::worker_control) struct UnwrittenChanges {
    since: MonotonicTime,
    /// The number of placements to add.
    pending: usize,
    ended: Vec<EndedPlacement>,
    /// The resources that the ended placements free.
    freed: Resources,
    /// Whether the record will be empty after these changes. Only a machine with an empty record
    /// can be returned to the cloud.
    idle: bool,
    /// Whether a user or another decision waits for the changes: those for services, gangs, and
    /// attempts to be retried.
    urgent: bool,
}

impl UnwrittenChanges {
    /// Creates changes that were first detected at `since` and that add `pending` placements.
    pub(in crate::worker_control) fn new(since: MonotonicTime, pending: usize) -> Self {
        Self {
            since,
            pending,
            ended: Vec::new(),
            freed: Resources::default(),
            idle: false,
            urgent: false,
        }
    }

    /// Adds an ended placement and the resources that it frees.
    pub(in crate::worker_control) fn add_ended(&mut self, ended: EndedPlacement, need: Resources) {
        self.freed = self.freed + need;
        self.ended.push(ended);
    }

    /// Makes the changes urgent if `urgent` is set.
    pub(in crate::worker_control) fn add_urgency(&mut self, urgent: bool) {
        self.urgent |= urgent;
    }

    /// Sets whether the record will be empty, given the number of placements that it contains.
    pub(in crate::worker_control) fn detect_idle(&mut self, placed: usize) {
        self.idle = self.pending == 0 && self.ended.len() == placed;
    }

    /// Returns whether there are no changes, so that only a write with unchanged content may be
    /// needed.
    pub(in crate::worker_control) fn is_empty(&self) -> bool {
        self.pending == 0 && self.ended.is_empty()
    }

    /// Returns the time from which the record has been out of date.
    pub(in crate::worker_control) fn since(&self) -> MonotonicTime {
        self.since
    }

    /// Returns the placements that are proved gone.
    pub(in crate::worker_control) fn ended(&self) -> &[EndedPlacement] {
        &self.ended
    }

    /// Returns whether a user or another decision waits for the changes.
    pub(in crate::worker_control) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns the priority of the write. It grows with the number of changes and with their age,
    /// so that every change is written eventually. Ended placements alone have priority 0 at first:
    /// the leader is already informed of them, and a new placement may follow that shares their
    /// write.
    pub(in crate::worker_control) fn write_priority(&self, now: MonotonicTime) -> u64 {
        let age = now.since(self.since).0;
        let ended_priority = END_PRIORITY * self.ended.len() as u64;
        if self.pending > 0 {
            return PLACEMENT_PRIORITY * self.pending as u64 + ended_priority + age;
        }
        let due =
            age >= ENDS_ONLY_WRITE_DELAY_MS || (self.idle && age >= IDLE_MACHINE_WRITE_DELAY_MS);
        if due { ended_priority + age } else { 0 }
    }
}

/// A transaction in flight.
#[derive(Debug)]
pub(in crate::worker_control) struct PendingTxn {
    /// The id of the write.
    pub(in crate::worker_control) id: RequestId,
    /// The machine's record with the changes.
    pub(in crate::worker_control) record: MachineRecord,
    /// The placements that the transaction removes.
    pub(in crate::worker_control) ended: Vec<EndedPlacement>,
    /// The fence under which the transaction was sent.
    pub(in crate::worker_control) fence: Revision,
}

/// The state of writing one machine's record.
#[derive(Debug)]
pub(in crate::worker_control) struct RecordWrites {
    unwritten: Option<UnwrittenChanges>,
    in_flight: Option<PendingTxn>,
    retry_at: MonotonicTime,
    /// Revision at which a condition failed. The retry waits until the watch cache has reached it,
    /// for at most [`CACHE_WAIT_LIMIT`] after `retry_at`.
    retry_revision: Revision,
    /// Whether the key-value store refused the record for its size. A record over the limit is then
    /// not sent again.
    too_large: bool,
    /// Revision of the record under which a transaction with an unknown outcome was sent.
    uncertain: Option<Revision>,
}

impl RecordWrites {
    /// Creates a state without changes to write.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            unwritten: None,
            in_flight: None,
            retry_at: now,
            retry_revision: Revision(0),
            too_large: false,
            uncertain: None,
        }
    }

    /// Resets the state after the shard's record was rewritten. Transactions under the old fence
    /// can't be applied.
    pub(super) fn reset(&mut self) {
        self.unwritten = None;
        self.uncertain = None;
    }

    /// Returns the changes that the record did not contain at the last check.
    pub(in crate::worker_control) fn unwritten(&self) -> Option<&UnwrittenChanges> {
        self.unwritten.as_ref()
    }

    /// Returns the resources of ended placements that the record still contains.
    pub(in crate::worker_control) fn freed(&self) -> Resources {
        self.unwritten
            .as_ref()
            .map_or(Resources::default(), |unwritten| unwritten.freed)
    }

    /// Replaces the unwritten changes.
    pub(in crate::worker_control) fn set_unwritten(&mut self, unwritten: Option<UnwrittenChanges>) {
        self.unwritten = unwritten;
    }

    /// Takes the unwritten changes in order to write them.
    pub(in crate::worker_control) fn take_unwritten(&mut self) -> Option<UnwrittenChanges> {
        self.unwritten.take()
    }

    /// Returns whether a transaction is in flight.
    pub(in crate::worker_control) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Records that a transaction is sent.
    pub(in crate::worker_control) fn begin(&mut self, pending: PendingTxn) {
        self.in_flight = Some(pending);
    }

    /// Records that a write has an outcome and returns its transaction. Returns `None` if the
    /// transaction in flight is another one: the outcome is that of a write which an earlier tracker of
    /// the machine has sent.
    pub(in crate::worker_control) fn finish(&mut self, id: RequestId) -> Option<PendingTxn> {
        self.in_flight.take_if(|pending| pending.id == id)
    }

    /// Delays the next write by [`TXN_RETRY_DELAY`].
    pub(in crate::worker_control) fn retry_later(&mut self, now: MonotonicTime) {
        self.retry_at = now + TXN_RETRY_DELAY;
    }

    /// Handles a condition that failed at this revision. The watch cache is behind: once it has
    /// caught up, the transaction is rebuilt from it.
    pub(in crate::worker_control) fn on_conflict(
        &mut self,
        revision: Revision,
        now: MonotonicTime,
    ) {
        self.retry_revision = revision;
        self.retry_later(now);
    }

    /// Handles the key-value store's refusal of a record for its size.
    pub(in crate::worker_control) fn on_too_large(&mut self, now: MonotonicTime) {
        self.too_large = true;
        self.retry_later(now);
    }

    /// Records that a transaction under this revision of the record has no known outcome. It may
    /// still be applied, but only while the record is unchanged.
    pub(in crate::worker_control) fn set_uncertain(&mut self, revision: Option<Revision>) {
        self.uncertain = revision;
    }

    /// Returns whether a transaction with an unknown outcome may still be applied.
    pub(in crate::worker_control) fn is_uncertain(&self) -> bool {
        self.uncertain.is_some()
    }

    /// Resolves the uncertainty if the record has a different revision: a transaction under the old
    /// one can't be applied any more.
    pub(in crate::worker_control) fn resolve_uncertainty(&mut self, revision: Revision) {
        if self.uncertain.is_some_and(|r| r != revision) {
            self.uncertain = None;
        }
    }

    /// Returns whether the delay after a failed transaction has passed.
    pub(in crate::worker_control) fn is_retry_due(&self, now: MonotonicTime) -> bool {
        now >= self.retry_at
    }

    /// Returns whether a transaction may be built from the watch cache at `cache_revision`.
    pub(in crate::worker_control) fn may_write(
        &self,
        now: MonotonicTime,
        cache_revision: Revision,
    ) -> bool {
        let cache_behind =
            cache_revision < self.retry_revision && now < self.retry_at + CACHE_WAIT_LIMIT;
        self.is_retry_due(now) && !cache_behind
    }

    /// Returns whether a record of this size may be sent. A record that the key-value store would
    /// refuse again is held until more placements end, which makes it smaller.
    pub(in crate::worker_control) fn accepts_size(
        &mut self,
        size: usize,
        value_bytes: usize,
        now: MonotonicTime,
    ) -> bool {
        if size > value_bytes && self.too_large {
            self.retry_later(now);
            return false;
        }
        self.too_large = false;
        true
    }
}
