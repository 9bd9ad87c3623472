//! Final states that were read once: they never change, so they may be remembered.

use crate::ids::{JobId, Revision};
use crate::store::records::FinalRecord;
use std::collections::{BTreeMap, VecDeque};

/// A few MB at most.
const MAX_FINAL_STATES: usize = 20_000;

/// How a job ended, and whether its user may be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FinalState {
    pub record: FinalRecord,
    pub revision: Revision,
    /// Its tasks are proved gone; always so for jobs that are done.
    pub settled: bool,
}

#[derive(Default)]
pub(super) struct FinalStateCache {
    known: BTreeMap<JobId, FinalState>,
    order: VecDeque<JobId>,
}

impl FinalStateCache {
    pub(super) fn get(&self, id: &JobId) -> Option<FinalState> {
        self.known.get(id).copied()
    }

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
