//! Reads of final states. Each job is read once however many users ask, and whoever has asked in vain
//! for longest comes first.
//!
//! A question about an ended job has the same right to an answer as one about a live job, whose
//! comparison is tried again with more and more of the rate limit. A part of the rate is reserved for
//! reads: a question that waits may use it ahead of placements, and no number of questions takes more
//! than that part from placements and ends of jobs.
//!
//! Where users of several jobs wait, one request reads a page of final states that begins with the job
//! that has waited longest. It answers all whose jobs are on it, and the rest is kept for later
//! questions.

use super::final_state::{FinalState, FinalStateCache};
use super::retry_reason::RetryReason;
use super::waiting_questions::{MAX_WAIT, ReadResult, WaitingQuestions};
use crate::ids::{JobId, Millis, MonotonicTime, Revision};
use crate::protocol::JobState;
use crate::protocol::store::{KeyValue, Page};
use crate::runtime::{self, oneshot};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::FinalRecord;
use crate::store::{ReadPermit, StoreClient, StoreError, keys};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
/// A page is read once users of so many jobs wait that may be on it. Below that a record costs less.
const PAGE_FROM_JOBS: usize = 4;
/// The final states on a page: about 40 kB, and less than a millisecond to read.
const PAGE_ITEMS: usize = 500;
/// How often a read that is held back is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What is counted of the reads of final states. Serialized as `/admin/status` shows it.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct FinalStateReadCounters {
    /// Reads of one record.
    records: u64,
    /// Reads of a page.
    pages: u64,
    /// Jobs whose users were answered by a read.
    answered_jobs: u64,
    /// Reads that the store has refused, since its rates were used up.
    refused: u64,
    /// How often a read that was due had to wait for a token.
    held_back: u64,
}

/// Final states by job: those that were read before, and reads of the others.
#[derive(Clone)]
pub(super) struct FinalStateReader {
    store: Rc<StoreClient>,
    cache: Rc<RefCell<FinalStateCache>>,
    waiting: Rc<RefCell<WaitingQuestions>>,
    reserve: Rc<RefCell<TokenBucket>>,
    counters: Rc<RefCell<FinalStateReadCounters>>,
    /// Whether the routine that admits reads is running.
    is_admitting: Rc<Cell<bool>>,
}

impl FinalStateReader {
    /// Nothing was read yet.
    pub(super) fn new(store: Rc<StoreClient>) -> Self {
        Self {
            reserve: Rc::new(RefCell::new(TokenBucket::new(
                store.own_request_rate() * RESERVED_PART,
            ))),
            store,
            cache: Rc::default(),
            waiting: Rc::default(),
            counters: Rc::default(),
            is_admitting: Rc::default(),
        }
    }

    /// What was counted since the start.
    pub(super) fn counters(&self) -> FinalStateReadCounters {
        *self.counters.borrow()
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
                Some(admitted) => self.begin_read(now, admitted, next.job),
                None => {
                    self.counters.borrow_mut().held_back += 1;
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
        self.is_admitting.set(false);
    }

    /// Takes a token for a job that has waited so long.
    fn admit(&self, now: MonotonicTime, waited: Millis) -> Option<ReadPermit> {
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

    /// Starts the read of a job, or of the page that begins with it.
    fn begin_read(&self, now: MonotonicTime, admitted: ReadPermit, first: JobId) {
        let mut waiting = self.waiting.borrow_mut();
        let jobs = waiting.awaited_from(now, &first, PAGE_ITEMS);
        if jobs.len() < PAGE_FROM_JOBS {
            waiting.begin(&first);
            self.counters.borrow_mut().records += 1;
            runtime::spawn(self.clone().read_record(admitted, first));
            return;
        }
        for job in &jobs {
            waiting.begin(job);
        }
        self.counters.borrow_mut().pages += 1;
        runtime::spawn(self.clone().read_page(admitted, first, jobs));
    }

    async fn read_record(self, admitted: ReadPermit, id: JobId) {
        let key = keys::final_state(&id);
        match self.store.get_admitted(admitted, &key).await {
            Ok(item) => self.answer(&id, self.decode_item(&id, item)),
            Err(error) => self.on_failed_read(&[id], error),
        }
        self.ensure_admitting();
    }

    /// Reads the page that begins with the first of these jobs, which are in the order of their ids.
    async fn read_page(self, admitted: ReadPermit, first: JobId, jobs: Vec<JobId>) {
        let after = keys::final_state_predecessor(&first);
        let page = self
            .store
            .page_admitted(admitted, keys::FINAL_STATE_PREFIX, &after, PAGE_ITEMS);
        match page.await {
            Ok(page) => self.on_page(&jobs, page),
            Err(error) => self.on_failed_read(&jobs, error),
        }
        self.ensure_admitting();
    }

    /// Answers the jobs that a page covers. The others wait on.
    fn on_page(&self, jobs: &[JobId], page: Page) {
        let end = PageEnd::of(&page);
        let mut results: BTreeMap<JobId, ReadResult> = BTreeMap::new();
        for item in page.items {
            if let Some(id) = keys::job_from_final_state_key(&item.key) {
                let result = self.decode_item(&id, Some(item));
                results.insert(id, result);
            }
        }
        for (position, id) in jobs.iter().enumerate() {
            match results.get(id) {
                Some(result) => self.answer(id, *result),
                None if end.covers(id) => self.answer(id, Ok(None)),
                // A page that does not even cover the job with which it begins.
                None if position == 0 => self.answer(id, Err(RetryReason::Unreadable)),
                None => self.waiting.borrow_mut().put_back(id),
            }
        }
    }

    /// The result of a read of one record, which is kept if there is one.
    fn decode_item(&self, id: &JobId, item: Option<KeyValue>) -> ReadResult {
        let Some(item) = item else {
            return Ok(None);
        };
        if let Some(final_state) = self.cached(id) {
            return Ok(Some(final_state));
        }
        serde_json::from_value(item.value)
            .map(|record| Some(self.remember(id, record, item.revision)))
            .map_err(|_| RetryReason::Unreadable)
    }

    /// What the users of these jobs are told of a read without a result.
    fn on_failed_read(&self, jobs: &[JobId], error: StoreError) {
        if error == StoreError::Refused {
            self.counters.borrow_mut().refused += 1;
        }
        for id in jobs {
            match error {
                // Its users wait on: it is read again as soon as it is admitted.
                StoreError::Refused => self.waiting.borrow_mut().put_back(id),
                error => self.answer(id, Err(error.into())),
            }
        }
    }

    /// Answers the users of a job that was read.
    fn answer(&self, id: &JobId, result: ReadResult) {
        tracing::debug!(job = %id, ?result, "final state read");
        let has_ended = matches!(result, Ok(Some(_)));
        let answered = self.waiting.borrow_mut().finish(id, has_ended);
        self.counters.borrow_mut().answered_jobs += u64::from(!answered.is_empty());
        for question in answered {
            question.send(result);
        }
    }
}

/// How far a page goes.
enum PageEnd {
    /// To the end of all final states.
    All,
    /// To this key; `None`: it is empty although there is more.
    Key(Option<String>),
}

impl PageEnd {
    fn of(page: &Page) -> Self {
        match page.has_next {
            true => Self::Key(page.items.last().map(|item| item.key.clone())),
            false => Self::All,
        }
    }

    /// Whether a job's final state would be on the page if there were one; it does not come before the
    /// page.
    fn covers(&self, id: &JobId) -> bool {
        match self {
            Self::All => true,
            Self::Key(last) => last
                .as_ref()
                .is_some_and(|last| keys::final_state(id) <= *last),
        }
    }
}

#[cfg(test)]
mod tests;
