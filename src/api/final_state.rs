//! A cache of final states that were read before: they never change.

use crate::ids::{JobId, Revision};
use crate::store::records::FinalRecord;
use std::collections::{BTreeMap, VecDeque};

/// Bounds the cache to a few MB.
const MAX_FINAL_STATES: usize = 20_000;

/// How a job ended, and whether its user may be answered so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FinalState {
    /// The stored record.
    pub(super) record: FinalRecord,
    /// The store revision that ended the job.
    pub(super) revision: Revision,
    /// Its tasks are proved gone; always so for jobs that are done.
    pub(super) settled: bool,
}

/// Final states by job; the oldest entries make way for new ones.
#[derive(Default)]
pub(super) struct FinalStateCache {
    known: BTreeMap<JobId, FinalState>,
    /// The jobs in the order in which they were added.
    order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// A job's final state, if it is cached.
    pub(super) fn get(&self, id: &JobId) -> Option<FinalState> {
        self.known.get(id).copied()
    }

    /// Adds a final state, or replaces the one of the same job.
    pub(super) fn put(&mut self, id: &JobId, final_state: FinalState) {
        if self.known.insert(id.clone(), final_state).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_FINAL_STATES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
