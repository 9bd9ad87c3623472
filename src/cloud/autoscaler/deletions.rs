//! Machines that are being deleted, and those that the cloud has deleted lately.

use crate::ids::{MachineId, Millis, MonotonicTime};
use std::collections::BTreeMap;

/// The cloud takes no more machines than this in one deletion.
const MAX_DELETIONS_PER_CALL: usize = 100;
/// How long a deletion that failed waits before it is repeated.
const DELETION_RETRY_DELAY: Millis = Millis(1500);
/// A deletion without an answer is repeated after this time.
const DELETION_TIMEOUT: Millis = Millis(8000);
/// How long a deleted machine is remembered: the cloud's list still shows it for a while.
const DELETED_EXPIRY: Millis = Millis(60_000);

/// Deletions that are pending, and those that are confirmed.
#[derive(Debug, Default)]
pub(super) struct Deletions {
    /// When each machine's deletion is to be sent next.
    due_at: BTreeMap<MachineId, MonotonicTime>,
    /// When the cloud confirmed each deletion.
    confirmed_at: BTreeMap<MachineId, MonotonicTime>,
}

impl Deletions {
    /// Drops pending deletions at the beginning of a term; what is to be deleted is decided anew.
    pub(super) fn begin_term(&mut self) {
        self.due_at.clear();
    }

    /// Asks for a machine's deletion. Once is enough, also when its record can't be removed yet.
    pub(super) fn request(&mut self, now: MonotonicTime, id: MachineId) {
        if !self.is_confirmed(&id) {
            self.due_at.entry(id).or_insert(now);
        }
    }

    /// Records that the cloud has deleted a machine.
    pub(super) fn confirm(&mut self, now: MonotonicTime, id: &MachineId) {
        self.due_at.remove(id);
        self.confirmed_at.insert(id.clone(), now);
    }

    /// Records that the cloud did not take a deletion: it is repeated.
    pub(super) fn retry(&mut self, now: MonotonicTime, id: &MachineId) {
        self.due_at.insert(id.clone(), now + DELETION_RETRY_DELAY);
    }

    /// Whether a machine's deletion was asked for and is not confirmed.
    pub(super) fn is_pending(&self, id: &MachineId) -> bool {
        self.due_at.contains_key(id)
    }

    /// Whether the cloud has confirmed a machine's deletion lately.
    pub(super) fn is_confirmed(&self, id: &MachineId) -> bool {
        self.confirmed_at.contains_key(id)
    }

    /// The machines whose deletion is confirmed, in the order of ids.
    pub(super) fn confirmed(&self) -> impl Iterator<Item = &MachineId> {
        self.confirmed_at.keys()
    }

    /// Forgets deletions that were confirmed long ago.
    pub(super) fn expire_confirmed(&mut self, now: MonotonicTime) {
        self.confirmed_at
            .retain(|_, at| now.since(*at) < DELETED_EXPIRY);
    }

    /// The deletions to send now, as many as one call takes. They are due again when no answer
    /// comes.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<MachineId> {
        let due: Vec<MachineId> = self
            .due_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .take(MAX_DELETIONS_PER_CALL)
            .collect();
        for id in &due {
            self.due_at.insert(id.clone(), now + DELETION_TIMEOUT);
        }
        due
    }
}

#[cfg(test)]
mod tests;
