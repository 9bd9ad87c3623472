//! What a machine's record lacks, and the transaction that is writing it.

use crate::ids::{Millis, MonotonicTime, Resources, Revision, TaskAttempt};
use crate::peers::AttemptOutcome;
use crate::store::records::MachineRecord;

/// How long a failed transaction waits to be tried again.
const TXN_RETRY_DELAY: Millis = Millis(250);
/// How long a retry waits for the watch cache to bring the change that it collided with.
const CACHE_WAIT_LIMIT: Millis = Millis(2000);
/// How long ends wait for a placement on their machine while changes are scarce.
const ENDS_ONLY_WRITE_DELAY_MS: u64 = 10_000;
/// How long the last ends of a machine wait while changes are scarce.
const IDLE_MACHINE_WRITE_DELAY_MS: u64 = 700;
/// Priority of a pending placement; a millisecond of age counts 1.
const PLACEMENT_PRIORITY: u64 = 1000;
/// Priority of an end.
const END_PRIORITY: u64 = 300;

/// A placement that is proved gone.
#[derive(Clone, Debug)]
pub(in crate::worker_control) struct EndedPlacement {
    /// The attempt.
    pub(in crate::worker_control) attempt: TaskAttempt,
    /// How it ended.
    pub(in crate::worker_control) outcome: AttemptOutcome,
}

/// What a machine's record lacks.
#[derive(Debug)]
pub(in crate::worker_control) struct UnwrittenChanges {
    since: MonotonicTime,
    /// How many placements are to be added.
    pending: usize,
    ended: Vec<EndedPlacement>,
    /// The room that the ended placements leave.
    freed: Resources,
    /// Nothing is left on the machine: only with an empty record can it be returned.
    idle: bool,
    /// Somebody waits for it: a service, a gang, or another try.
    urgent: bool,
}

impl UnwrittenChanges {
    /// Changes since then that add so many placements.
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

    /// Adds a placement that ended and the room that it leaves.
    pub(in crate::worker_control) fn add_ended(&mut self, ended: EndedPlacement, need: Resources) {
        self.freed = self.freed + need;
        self.ended.push(ended);
    }

    /// Makes the changes urgent if `urgent` is set.
    pub(in crate::worker_control) fn add_urgency(&mut self, urgent: bool) {
        self.urgent |= urgent;
    }

    /// Compares the ends with the number of placements in the machine's record.
    pub(in crate::worker_control) fn detect_idle(&mut self, placed: usize) {
        self.idle = self.pending == 0 && self.ended.len() == placed;
    }

    /// Whether there is nothing to write but for a touch of the record.
    pub(in crate::worker_control) fn is_empty(&self) -> bool {
        self.pending == 0 && self.ended.is_empty()
    }

    /// Since when the record lacks something.
    pub(in crate::worker_control) fn since(&self) -> MonotonicTime {
        self.since
    }

    /// Placements that are proved gone.
    pub(in crate::worker_control) fn ended(&self) -> &[EndedPlacement] {
        &self.ended
    }

    /// Whether somebody waits for the changes.
    pub(in crate::worker_control) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Grows with what one change would write, and with age, so that nothing waits for ever.
    /// Ends alone are worth nothing at first: the leader is informed of them, and a placement
    /// may follow that takes them along.
    pub(in crate::worker_control) fn write_priority(&self, now: MonotonicTime) -> u64 {
        let age = now.since(self.since).0;
        let ended = END_PRIORITY * self.ended.len() as u64;
        if self.pending > 0 {
            return PLACEMENT_PRIORITY * self.pending as u64 + ended + age;
        }
        let due =
            age >= ENDS_ONLY_WRITE_DELAY_MS || (self.idle && age >= IDLE_MACHINE_WRITE_DELAY_MS);
        if due { ended + age } else { 0 }
    }
}

/// A transaction on its way.
#[derive(Debug)]
pub(in crate::worker_control) struct PendingTxn {
    /// The machine's record as it is written.
    pub(in crate::worker_control) record: MachineRecord,
    /// The placements that are dropped by it.
    pub(in crate::worker_control) ended: Vec<EndedPlacement>,
    /// The fence under which it was sent.
    pub(in crate::worker_control) fence: Revision,
}

/// The state of writing one machine's record.
#[derive(Debug)]
pub(in crate::worker_control) struct RecordWrites {
    unwritten: Option<UnwrittenChanges>,
    in_flight: Option<PendingTxn>,
    retry_at: MonotonicTime,
    /// A condition failed at this revision: the watch cache must get there first.
    retry_revision: Revision,
    /// The key-value store refused the record for its size: nothing that large is written again.
    too_large: bool,
    /// A transaction under this revision of the record has no known outcome.
    uncertain: Option<Revision>,
}

impl RecordWrites {
    /// Nothing to write.
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

    /// The shard's record was rewritten: transactions under the old one can't be applied.
    pub(super) fn reset(&mut self) {
        self.unwritten = None;
        self.uncertain = None;
    }

    /// What the record lacks, as it was last determined.
    pub(in crate::worker_control) fn unwritten(&self) -> Option<&UnwrittenChanges> {
        self.unwritten.as_ref()
    }

    /// The room that ended placements leave which the record still shows.
    pub(in crate::worker_control) fn freed(&self) -> Resources {
        self.unwritten
            .as_ref()
            .map_or(Resources::default(), |unwritten| unwritten.freed)
    }

    /// Replaces what the record lacks.
    pub(in crate::worker_control) fn set_unwritten(&mut self, unwritten: Option<UnwrittenChanges>) {
        self.unwritten = unwritten;
    }

    /// Takes what the record lacks, to write it.
    pub(in crate::worker_control) fn take_unwritten(&mut self) -> Option<UnwrittenChanges> {
        self.unwritten.take()
    }

    /// Whether a transaction is on its way.
    pub(in crate::worker_control) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// A transaction is sent.
    pub(in crate::worker_control) fn begin(&mut self, pending: PendingTxn) {
        self.in_flight = Some(pending);
    }

    /// The transaction on its way has an outcome.
    pub(in crate::worker_control) fn finish(&mut self) -> Option<PendingTxn> {
        self.in_flight.take()
    }

    /// Tries again after a pause.
    pub(in crate::worker_control) fn retry_later(&mut self, now: MonotonicTime) {
        self.retry_at = now + TXN_RETRY_DELAY;
    }

    /// A condition failed at this revision. The watch cache is behind: once it has caught up, the
    /// change is built anew from it.
    pub(in crate::worker_control) fn on_conflict(
        &mut self,
        revision: Revision,
        now: MonotonicTime,
    ) {
        self.retry_revision = revision;
        self.retry_later(now);
    }

    /// The key-value store refused the record for its size.
    pub(in crate::worker_control) fn on_too_large(&mut self, now: MonotonicTime) {
        self.too_large = true;
        self.retry_later(now);
    }

    /// A transaction under this revision of the record has no known outcome. It may be applied
    /// late, but only while the record is unchanged.
    pub(in crate::worker_control) fn set_uncertain(&mut self, revision: Option<Revision>) {
        self.uncertain = revision;
    }

    /// Whether a transaction without a known outcome may still be applied.
    pub(in crate::worker_control) fn is_uncertain(&self) -> bool {
        self.uncertain.is_some()
    }

    /// The record has this revision: transactions under another one can't be applied any more.
    pub(in crate::worker_control) fn resolve_uncertainty(&mut self, revision: Revision) {
        if self.uncertain.is_some_and(|r| r != revision) {
            self.uncertain = None;
        }
    }

    /// Whether the pause after a failed transaction is over.
    pub(in crate::worker_control) fn is_retry_due(&self, now: MonotonicTime) -> bool {
        now >= self.retry_at
    }

    /// Whether a transaction may be built from the watch cache at its revision.
    pub(in crate::worker_control) fn may_write(
        &self,
        now: MonotonicTime,
        cache_revision: Revision,
    ) -> bool {
        let cache_behind =
            cache_revision < self.retry_revision && now < self.retry_at + CACHE_WAIT_LIMIT;
        self.is_retry_due(now) && !cache_behind
    }

    /// Whether a record of this size may be sent. One that the key-value store would refuse again
    /// waits for more ends, which make it smaller.
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
