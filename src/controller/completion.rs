//! Completes jobs whose tasks are all counted as done.

use super::effects::{Effect, TxnRequester};
use crate::config::Config;
use crate::ids::{JobId, Millis, MonotonicTime};
use crate::planning::completion_counter::{self, CounterLayout};
use crate::store::TxnOutcome;
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// How long to wait for the outcome of a completion before it is written again.
const RETRY_INTERVAL: Millis = Millis(4000);

/// When each completion in flight was started.
#[derive(Debug, Default)]
pub(super) struct JobCompletions {
    in_flight: BTreeMap<JobId, MonotonicTime>,
}

impl JobCompletions {
    /// Forgets all completions in flight. Called while this controller is not the leader.
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

    /// Handles the outcome of a job's completion. A completion that was certainly not written is retried in
    /// the next scheduling pass.
    pub(super) fn on_outcome(&mut self, job: &JobId, outcome: &TxnOutcome) {
        match outcome {
            TxnOutcome::Refused(_) | TxnOutcome::Invalid | TxnOutcome::Failed(..) => {
                self.in_flight.remove(job);
            }
            TxnOutcome::Committed(_) | TxnOutcome::Unknown => {}
        }
    }
}
