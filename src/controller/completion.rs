//! The completion of jobs all of whose tasks are counted as done.

use super::effects::{Effect, TxnRequester};
use crate::config::Config;
use crate::ids::{JobId, Millis, MonotonicTime};
use crate::planning::completion_counter::{self, CounterLayout};
use crate::store::TxnOutcome;
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// A completion without an outcome is written again after this.
const RETRY_INTERVAL: Millis = Millis(4000);

/// Completions under way, and since when.
#[derive(Debug, Default)]
pub(super) struct JobCompletions {
    in_flight: BTreeMap<JobId, MonotonicTime>,
}

impl JobCompletions {
    /// Forgets what is under way: another controller leads now.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
    }

    /// Writes the final records of jobs that are complete.
    pub(super) fn step(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        config: &Config,
        effects: &mut Vec<Effect>,
    ) {
        self.in_flight
            .retain(|id, at| cache.jobs.contains_key(id) && now.since(*at) < RETRY_INTERVAL);
        let layout = CounterLayout::new(config);
        for (id, job) in &cache.jobs {
            if !self.in_flight.contains_key(id)
                && let Some(txn) = completion_counter::completion_txn(id, job, &layout)
            {
                self.in_flight.insert(id.clone(), now);
                effects.push(Effect::Txn {
                    requester: TxnRequester::JobCompletion(id.clone()),
                    class: RequestClass::Accept,
                    txn,
                });
            }
        }
    }

    /// The outcome of a job's completion. One that certainly was not written is tried again at once.
    pub(super) fn on_outcome(&mut self, job: &JobId, outcome: &TxnOutcome) {
        match outcome {
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Failed(..) => {
                self.in_flight.remove(job);
            }
            TxnOutcome::Committed(_) | TxnOutcome::Unknown => {}
        }
    }
}
