//! Pending machine deletions, and deletions that the cloud has recently confirmed.

use crate::ids::{MachineId, Millis, MonotonicTime};
use std::collections::BTreeMap;

/// The largest number of machines that the cloud accepts in one deletion call.
const MAX_DELETIONS_PER_CALL: usize = 100;
/// The delay before a failed deletion is retried.
const DELETION_RETRY_DELAY: Millis = Millis(1500);
/// A deletion that has not been answered within this time is sent again.
const DELETION_TIMEOUT: Millis = Millis(8000);
/// The time for which a confirmed deletion is kept, because the cloud continues to list a deleted machine
/// for a while.
const DELETED_EXPIRY: Millis = Millis(60_000);

/// The pending and the recently confirmed deletions.
#[derive(Debug, Default)]
pub(super) struct Deletions {
    /// When each machine's deletion is to be sent next.
    due_at: BTreeMap<MachineId, MonotonicTime>,
    /// When the cloud confirmed each deletion.
    confirmed_at: BTreeMap<MachineId, MonotonicTime>,
}

impl Deletions {
    /// Drops pending deletions at the beginning of a term. The new leader decides again what to delete.
    pub(super) fn begin_term(&mut self) {
        self.due_at.clear();
    }

    /// Requests a machine's deletion. Does nothing if the deletion is already pending or confirmed, even
    /// when the machine's record still exists.
    pub(super) fn request(&mut self, now: MonotonicTime, id: MachineId) {
        if !self.is_confirmed(&id) {
            self.due_at.entry(id).or_insert(now);
        }
    }

    /// Records that the cloud has confirmed a machine's deletion.
    pub(super) fn confirm(&mut self, now: MonotonicTime, id: &MachineId) {
        self.due_at.remove(id);
        self.confirmed_at.insert(id.clone(), now);
    }

    /// Schedules another attempt after a deletion that failed.
    pub(super) fn retry(&mut self, now: MonotonicTime, id: &MachineId) {
        self.due_at.insert(id.clone(), now + DELETION_RETRY_DELAY);
    }

    /// Returns whether a machine's deletion has been requested and is not confirmed yet.
    pub(super) fn is_pending(&self, id: &MachineId) -> bool {
        self.due_at.contains_key(id)
    }

    /// Returns whether the cloud has recently confirmed a machine's deletion.
    pub(super) fn is_confirmed(&self, id: &MachineId) -> bool {
        self.confirmed_at.contains_key(id)
    }

    /// Returns the machines whose deletion was recently confirmed, in the order of ids.
    pub(super) fn confirmed(&self) -> impl Iterator<Item = &MachineId> {
        self.confirmed_at.keys()
    }

    /// Removes confirmed deletions that are older than [`DELETED_EXPIRY`].
    pub(super) fn expire_confirmed(&mut self, now: MonotonicTime) {
        self.confirmed_at
            .retain(|_, at| now.since(*at) < DELETED_EXPIRY);
    }

    /// Returns the machines to delete now, at most [`MAX_DELETIONS_PER_CALL`]. They become due again if the
    /// call is not answered within [`DELETION_TIMEOUT`].
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
