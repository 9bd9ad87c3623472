//! Final states that were read once: they never change, so they may be remembered.

use crate::ids::JobId;
use crate::store::records::OverRecord;
use std::collections::{BTreeMap, VecDeque};

/// A few MB at most.
const LIMIT: usize = 20_000;

#[derive(Default)]
pub struct OverCache {
    known: BTreeMap<JobId, OverRecord>,
    order: VecDeque<JobId>,
}

impl OverCache {
    pub fn get(&self, id: &JobId) -> Option<OverRecord> {
        self.known.get(id).copied()
    }

    pub fn put(&mut self, id: &JobId, record: OverRecord) {
        if self.known.insert(id.clone(), record).is_none() {
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
mod tests {
    use super::*;
    use crate::wire::JobState;

    #[test]
    fn the_cache_is_bounded_and_keeps_the_latest() {
        let mut cache = OverCache::default();
        let record = OverRecord {
            state: JobState::Done,
            tasks: 1,
        };
        for n in 0..LIMIT + 10 {
            let id = JobId::from(format!("job-{n}").as_str());
            cache.put(&id, record);
            cache.put(&id, record);
        }
        assert_eq!((cache.known.len(), cache.order.len()), (LIMIT, LIMIT));
        assert!(cache.get(&"job-0".into()).is_none());
        assert!(
            cache
                .get(&format!("job-{}", LIMIT + 9).as_str().into())
                .is_some()
        );
    }
}
