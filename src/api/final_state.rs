//! A cache of final states, which never change.

use crate::ids::{JobId, MonotonicTime, Revision};
use crate::store::records::FinalRecord;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of cached final states, which take a few MB.
const MAX_FINAL_STATES: usize = 20_000;

/// The final state of a job, and whether its user may be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FinalState {
    /// The stored record.
    pub(super) record: FinalRecord,
    /// The store revision that ended the job.
    pub(super) revision: Revision,
    /// When this controller first knew that the job has ended.
    pub(super) known_at: MonotonicTime,
    /// Whether users may be told: for a cancelled job, once it is confirmed that no task of it is
    /// running and all its dependents are cancelled; always `true` for a job that is done.
    pub(super) settled: bool,
}

/// The result of a read of a job's final state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FinalStateRead {
    /// The job has ended.
    Ended(FinalState),
    /// No final state was stored, because the job was live or not accepted.
    NotEnded {
        /// When the request was sent.
        read_at: MonotonicTime,
    },
}

/// Final states by job. The entry that was added first is evicted when the cache is full.
#[derive(Default)]
pub(super) struct FinalStateCache {
    known: BTreeMap<JobId, FinalState>,
    /// The cached jobs in the order in which they were added.
    order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// Returns a job's final state if it is cached.
    pub(super) fn get(&self, id: &JobId) -> Option<FinalState> {
        self.known.get(id).copied()
    }

    /// Inserts a final state, or replaces the one of the same job.
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
