//! Reads of final states. Each job is read once however many users ask, and whoever has asked in vain
//! for longest comes first.
//!
//! A question about an ended job has the same right to an answer as one about a live job, whose
//! comparison is tried again with more and more of the rate limit. Reads can't be batched, so a part
//! of the rate is reserved for them instead: a question that waits may use it ahead of placements,
//! and no number of questions takes more than that part from placements and ends of jobs.

use super::final_state::{FinalState, FinalStateCache};
use super::retry_reason::RetryReason;
use super::waiting_questions::{MAX_WAIT, ReadResult, WaitingQuestions};
use crate::ids::{JobId, Millis, MonotonicTime, Revision};
use crate::protocol::JobState;
use crate::runtime::{self, oneshot};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::FinalRecord;
use crate::store::{AdmittedRead, Store, StoreError, keys};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The part of this controller's requests that is reserved for reads.
const RESERVED_PART: f64 = 0.1;
/// The part that is reserved while a question has waited long: no job may be forgotten, and thousands
/// may be asked about at once when all controllers have restarted.
const URGENT_PART: f64 = 0.3;
/// So long in vain is long: users give up after a minute.
const URGENT_AFTER: Millis = Millis(15_000);
/// A question may use the reserve once it has waited so long.
const RESERVE_AFTER: Millis = Millis(200);
/// How often a read that is held back is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Final states by job: those that were read before, and reads of the others.
#[derive(Clone)]
pub(super) struct FinalStateReader {
    store: Rc<Store>,
    cache: Rc<RefCell<FinalStateCache>>,
    waiting: Rc<RefCell<WaitingQuestions>>,
    reserve: Rc<RefCell<TokenBucket>>,
    /// Whether the routine that admits reads is running.
    is_admitting: Rc<Cell<bool>>,
}

impl FinalStateReader {
    /// Nothing was read yet.
    pub(super) fn new(store: Rc<Store>) -> Self {
        Self {
            reserve: Rc::new(RefCell::new(TokenBucket::new(
                store.own_request_rate() * RESERVED_PART,
            ))),
            store,
            cache: Rc::default(),
            waiting: Rc::default(),
            is_admitting: Rc::default(),
        }
    }

    /// A job's final state, if it was read before.
    pub(super) fn cached(&self, id: &JobId) -> Option<FinalState> {
        self.cache.borrow().get(id)
    }

    /// Keeps a final state, which never changes. Only the tasks of cancelled jobs may still run.
    pub(super) fn remember(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        let final_state = FinalState {
            record,
            revision,
            settled: record.state != JobState::Cancelled,
        };
        self.cache.borrow_mut().put(id, final_state);
        final_state
    }

    /// The tasks of a cancelled job are proved gone.
    pub(super) fn settle(&self, id: &JobId, final_state: FinalState) {
        let settled_state = FinalState {
            settled: true,
            ..final_state
        };
        self.cache.borrow_mut().put(id, settled_state);
    }

    /// Reads how a job has ended.
    pub(super) async fn read(&self, id: &JobId) -> ReadResult {
        if let Some(final_state) = self.cached(id) {
            return Ok(Some(final_state));
        }
        let (question, result) = oneshot();
        if !self
            .waiting
            .borrow_mut()
            .add(self.store.now(), id, question)
        {
            return Err(RetryReason::TooManyQuestions);
        }
        self.ensure_admitting();
        let result = runtime::timeout(MAX_WAIT.to_duration(), result.get()).await;
        result.flatten().unwrap_or(Err(RetryReason::HeldBack))
    }

    /// Starts the routine that admits reads, unless it is running.
    fn ensure_admitting(&self) {
        if !self.is_admitting.replace(true) {
            runtime::spawn(self.clone().admit_waiting());
        }
    }

    /// Starts one read after another while any user waits.
    async fn admit_waiting(self) {
        loop {
            let now = self.store.now();
            let Some(next) = self.waiting.borrow().next(now) else {
                break;
            };
            match self.admit(now, now.since(next.first_asked)) {
                Some(admitted) => {
                    self.waiting.borrow_mut().begin(&next.job);
                    runtime::spawn(self.clone().read_admitted(admitted, next.job));
                }
                None => runtime::sleep(RETRY_DELAY).await,
            }
        }
        self.is_admitting.set(false);
    }

    /// Takes a token for a job that has waited so long.
    fn admit(&self, now: MonotonicTime, waited: Millis) -> Option<AdmittedRead> {
        if let Some(admitted) = self.store.admit_read(RequestClass::Poll) {
            return Some(admitted);
        }
        let mut reserve = self.reserve.borrow_mut();
        let part = match waited < URGENT_AFTER {
            true => RESERVED_PART,
            false => URGENT_PART,
        };
        reserve.set_rate(now, self.store.own_request_rate() * part);
        if waited < RESERVE_AFTER || !reserve.allows(now, 1.0, RequestClass::Accept) {
            return None;
        }
        let admitted = self.store.admit_read(RequestClass::Accept)?;
        reserve.spend(1.0);
        Some(admitted)
    }

    async fn read_admitted(self, admitted: AdmittedRead, id: JobId) {
        let key = keys::final_state(&id);
        let result = match self.store.get_admitted(admitted, &key).await {
            Ok(Some(item)) => serde_json::from_value(item.value)
                .map(|record| Some(self.remember(&id, record, item.revision)))
                .map_err(|_| RetryReason::Unreadable),
            Ok(None) => Ok(None),
            // Its users wait on: it is read again as soon as it is admitted.
            Err(StoreError::Refused) => {
                self.waiting.borrow_mut().put_back(&id);
                self.ensure_admitting();
                return;
            }
            Err(error) => Err(error.into()),
        };
        tracing::debug!(job = %id, ?result, "final state read");
        let has_ended = matches!(result, Ok(Some(_)));
        let answered = self.waiting.borrow_mut().finish(&id, has_ended);
        for question in answered {
            question.send(result);
        }
        self.ensure_admitting();
    }
}

#[cfg(test)]
mod tests;
