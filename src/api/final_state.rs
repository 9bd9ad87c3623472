//! Final states that were read once: they never change, so they may be remembered.

use crate::ids::{JobId, Revision};
use crate::store::records::OverRecord;
use std::collections::{BTreeMap, VecDeque};

/// A few MB at most.
const LIMIT: usize = 20_000;

/// How a job ended, and whether its user may be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Over {
    pub record: OverRecord,
    pub revision: Revision,
    /// Its tasks are proved gone; always so for jobs that are done.
    pub settled: bool,
}

#[derive(Default)]
pub struct OverCache {
    known: BTreeMap<JobId, Over>,
    order: VecDeque<JobId>,
}

impl OverCache {
    pub fn get(&self, id: &JobId) -> Option<Over> {
        self.known.get(id).copied()
    }

    pub fn put(&mut self, id: &JobId, over: Over) {
        if self.known.insert(id.clone(), over).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
