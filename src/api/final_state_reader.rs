//! Reads the final states of jobs. Concurrent requests about a job share one read, and the job
//! whose users have been without an answer for longest is read first.
//!
//! Users of ended jobs must be answered under load just like users of live jobs, whose comparisons
//! are retried with increasing priority. A read first tries the request class of polls, which leaves
//! part of the rate limit to placements. If that class has no token and the users of the job have been
//! without an answer for [`RESERVE_AFTER`], the read may go ahead of placements within a budget: the
//! reserved fraction of the request rate. Reads can't take more than this fraction from placements and
//! job completions, however many requests there are.
//!
//! While users of several jobs wait, one store request reads a page of final states, beginning with
//! the job that has waited longest. The page answers the waiting users of all jobs on it, and its
//! other final states are cached for later requests.

use super::final_state::{FinalState, FinalStateCache, FinalStateRead};
use super::read_queue::{MAX_READ_WAIT, ReadQueue, ReadResult};
use super::retry_reason::RetryReason;
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

/// The reserved fraction: the part of this controller's request rate that reads may use ahead of
/// placements.
const RESERVED_FRACTION: f64 = 0.1;
/// The reserved fraction while the users of the job to be read next have been without an answer for
/// [`URGENT_AFTER`] or longer. No job may stay unanswered, and there may be requests about thousands of
/// jobs at once when all controllers have restarted.
const URGENT_RESERVED_FRACTION: f64 = 0.3;
/// The time without an answer after which a job's read is urgent. Users stop retrying after a
/// minute.
const URGENT_AFTER: Millis = Millis(15_000);
/// The time without an answer after which a job's read may use the reserved fraction.
const RESERVE_AFTER: Millis = Millis(200);
/// A page is read if at least this many waiting jobs may be on it. For fewer, reading a single record
/// costs less.
const MIN_JOBS_FOR_PAGE: usize = 4;
/// The maximum number of final states on a page, which take about 40 kB and less than a millisecond
/// to read.
const PAGE_ITEMS: usize = 500;
/// The delay before a read that has no token is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Counters of final-state reads, serialized as `/admin/status` shows them.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct FinalStateReadCounters {
    /// The number of reads of a single record.
    records: u64,
    /// The number of reads of a page.
    pages: u64,
    /// The number of jobs whose waiting users were sent the result or the error of a read. A job is
    /// counted once for each of its reads.
    answered_jobs: u64,
    /// The number of reads that the store has refused because its rate limit was reached.
    refused: u64,
    /// The number of times that the next read was delayed by [`RETRY_DELAY`] because it had no token.
    /// One read can be delayed several times.
    held_back: u64,
}

/// Reads and caches the final states of jobs.
#[derive(Clone)]
pub(super) struct FinalStateReader {
    store: Rc<StoreClient>,
    cache: Rc<RefCell<FinalStateCache>>,
    queue: Rc<RefCell<ReadQueue>>,
    reserve: Rc<RefCell<TokenBucket>>,
    counters: Rc<RefCell<FinalStateReadCounters>>,
    /// Whether the task that dispatches reads is running.
    is_dispatching: Rc<Cell<bool>>,
}

impl FinalStateReader {
    /// Creates a reader with an empty cache.
    pub(super) fn new(store: Rc<StoreClient>) -> Self {
        Self {
            reserve: Rc::new(RefCell::new(TokenBucket::new(
                store.own_request_rate() * RESERVED_FRACTION,
            ))),
            store,
            cache: Rc::default(),
            queue: Rc::default(),
            counters: Rc::default(),
            is_dispatching: Rc::default(),
        }
    }

    /// Returns the counters since the start.
    pub(super) fn counters(&self) -> FinalStateReadCounters {
        *self.counters.borrow()
    }

    /// Returns a job's final state if it is cached.
    pub(super) fn cached(&self, id: &JobId) -> Option<FinalState> {
        self.cache.borrow().get(id)
    }

    /// Caches a final state, which never changes. A cancelled job is not settled at first, as its
    /// tasks may still run and its dependents may not be cancelled yet.
    pub(super) fn cache_final_state(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        let final_state = FinalState {
            record,
            revision,
            known_at: self.store.now(),
            settled: record.state != JobState::Cancelled,
        };
        self.cache.borrow_mut().put(id, final_state);
        final_state
    }

    /// Records that a cancelled job is settled: it is confirmed that no task of it is running, and all
    /// its dependents are cancelled.
    pub(super) fn mark_settled(&self, id: &JobId, final_state: FinalState) {
        let settled_state = FinalState {
            settled: true,
            ..final_state
        };
        self.cache.borrow_mut().put(id, settled_state);
    }

    /// Reads a job's final state. The request is sent after this call, unless the final state is
    /// cached.
    pub(super) async fn read(&self, id: &JobId) -> ReadResult {
        if let Some(final_state) = self.cached(id) {
            return Ok(FinalStateRead::Ended(final_state));
        }
        let (waiter, result) = oneshot();
        if !self.queue.borrow_mut().add(self.store.now(), id, waiter) {
            return Err(RetryReason::TooManyQuestions);
        }
        self.ensure_dispatching();
        let result = runtime::timeout(MAX_READ_WAIT.to_duration(), result.get()).await;
        result.flatten().unwrap_or(Err(RetryReason::HeldBack))
    }

    /// Starts the task that dispatches reads, unless it is running.
    fn ensure_dispatching(&self) {
        if !self.is_dispatching.replace(true) {
            runtime::spawn(self.clone().dispatch_reads());
        }
    }

    /// Starts one read after another while any user waits.
    async fn dispatch_reads(self) {
        loop {
            let now = self.store.now();
            let Some(next) = self.queue.borrow().next(now) else {
                break;
            };
            match self.try_admit(now, now.since(next.first_requested_at)) {
                Some(read_permit) => self.start_read(now, read_permit, next.job),
                None => {
                    self.counters.borrow_mut().held_back += 1;
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
        self.is_dispatching.set(false);
    }

    /// Acquires a token for the read of a job whose users have been without an answer for `waited`,
    /// from the reserved fraction if necessary.
    fn try_admit(&self, now: MonotonicTime, waited: Millis) -> Option<ReadPermit> {
        if let Some(read_permit) = self.store.admit_read(RequestClass::Poll) {
            return Some(read_permit);
        }
        let mut reserve = self.reserve.borrow_mut();
        let fraction = match waited < URGENT_AFTER {
            true => RESERVED_FRACTION,
            false => URGENT_RESERVED_FRACTION,
        };
        reserve.set_rate(now, self.store.own_request_rate() * fraction);
        if waited < RESERVE_AFTER || !reserve.allows(now, 1.0, RequestClass::Accept) {
            return None;
        }
        let read_permit = self.store.admit_read(RequestClass::Accept)?;
        reserve.spend(1.0);
        Some(read_permit)
    }

    /// Starts a read of the record of the job `first`, or of the page that begins with it.
    fn start_read(&self, now: MonotonicTime, read_permit: ReadPermit, first: JobId) {
        let mut queue = self.queue.borrow_mut();
        let jobs = queue.waiting_jobs_from(now, &first, PAGE_ITEMS);
        if jobs.len() < MIN_JOBS_FOR_PAGE {
            queue.start_read(&first);
            self.counters.borrow_mut().records += 1;
            runtime::spawn(self.clone().read_record(read_permit, first));
            return;
        }
        for job in &jobs {
            queue.start_read(job);
        }
        self.counters.borrow_mut().pages += 1;
        runtime::spawn(self.clone().read_page(read_permit, first, jobs));
    }

    async fn read_record(self, read_permit: ReadPermit, id: JobId) {
        let key = keys::final_state(&id);
        let read_at = self.store.now();
        match self.store.get_admitted(read_permit, &key).await {
            Ok(Some(item)) => self.answer(&id, self.decode_item(&id, item)),
            Ok(None) => self.answer(&id, Ok(FinalStateRead::NotEnded { read_at })),
            Err(error) => self.on_failed_read(&[id], error),
        }
        self.ensure_dispatching();
    }

    /// Reads the page that begins with the job `first`. `jobs` are the waiting jobs that may be on
    /// the page, in the order of their ids.
    async fn read_page(self, read_permit: ReadPermit, first: JobId, jobs: Vec<JobId>) {
        let after = keys::final_state_predecessor(&first);
        let read_at = self.store.now();
        let page =
            self.store
                .page_admitted(read_permit, keys::FINAL_STATE_PREFIX, &after, PAGE_ITEMS);
        match page.await {
            Ok(page) => self.on_page(read_at, &jobs, page),
            Err(error) => self.on_failed_read(&jobs, error),
        }
        self.ensure_dispatching();
    }

    /// Answers the users of the jobs that a page covers. The other jobs are queued again. The request
    /// for the page was sent at `read_at`.
    fn on_page(&self, read_at: MonotonicTime, jobs: &[JobId], page: Page) {
        let end = PageEnd::of(&page);
        let mut results: BTreeMap<JobId, ReadResult> = BTreeMap::new();
        for item in page.items {
            if let Some(id) = keys::job_from_final_state_key(&item.key) {
                let result = self.decode_item(&id, item);
                results.insert(id, result);
            }
        }
        for (position, id) in jobs.iter().enumerate() {
            match results.get(id) {
                Some(result) => self.answer(id, *result),
                None if end.covers(id) => {
                    self.answer(id, Ok(FinalStateRead::NotEnded { read_at }));
                }
                // The page does not even cover the job with which it begins.
                None if position == 0 => self.answer(id, Err(RetryReason::Unreadable)),
                None => self.queue.borrow_mut().requeue(id),
            }
        }
    }

    /// Decodes a record that was read, and caches the final state.
    fn decode_item(&self, id: &JobId, item: KeyValue) -> ReadResult {
        if let Some(final_state) = self.cached(id) {
            return Ok(FinalStateRead::Ended(final_state));
        }
        serde_json::from_value(item.value)
            .map(|record| FinalStateRead::Ended(self.cache_final_state(id, record, item.revision)))
            .map_err(|_| RetryReason::Unreadable)
    }

    /// Handles a failed read of these jobs.
    fn on_failed_read(&self, jobs: &[JobId], error: StoreError) {
        if error == StoreError::Refused {
            self.counters.borrow_mut().refused += 1;
        }
        for id in jobs {
            match error {
                // The users continue to wait: the job is read again as soon as there is a token.
                StoreError::Refused => self.queue.borrow_mut().requeue(id),
                error => self.answer(id, Err(error.into())),
            }
        }
    }

    /// Ends the wait of a job's users with the result or the error of a read.
    fn answer(&self, id: &JobId, result: ReadResult) {
        tracing::debug!(job = %id, ?result, "final state read");
        let has_ended = matches!(result, Ok(FinalStateRead::Ended(_)));
        let answered = self.queue.borrow_mut().finish_read(id, has_ended);
        self.counters.borrow_mut().answered_jobs += u64::from(!answered.is_empty());
        for waiter in answered {
            waiter.send(result);
        }
    }
}

/// The end of the range that a page covers.
enum PageEnd {
    /// The page covers all final states that follow its first key.
    All,
    /// The page ends at this key, and more final states follow; `None` if the page is empty
    /// although more follow.
    Key(Option<String>),
}

impl PageEnd {
    fn of(page: &Page) -> Self {
        match page.has_next {
            true => Self::Key(page.items.last().map(|item| item.key.clone())),
            false => Self::All,
        }
    }

    /// Returns whether a job's final state would be on the page if it existed. The job must not
    /// precede the page.
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
