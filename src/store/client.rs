//! The client of the key-value store. It keeps to the service's rates, and says of each call
//! without an answer what may be concluded from it.

use super::admission::{Admission, TokenLevels};
use super::counters::Counters;
use super::outcomes::{
    Refusal, StoreError, TOO_MANY_REQUESTS, TxnOutcome, decode, failed_call, txn_outcome,
};
use super::rate_limiter::RequestClass;
use super::refusals::{Refusals, RefusedBy};
use crate::config::{StoreLimits, StoreRates};
use crate::http::{CallError, Client, Method, Response};
use crate::ids::{LeaseId, MonotonicTime, Revision};
use crate::protocol::path;
use crate::protocol::store::{
    KeyValue, LeaseResponseBody, MAX_PAGE_ITEMS, Page, Txn, WatchResponseBody, key_path,
    lease_path, lease_request, page_path, renewal_path, watch_path,
};
use crate::runtime;
use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Usual answers take some ms, a few take some hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The service refuses larger transactions.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// After so many failed calls in a row the service counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// The least part of the longest delay between two watch requests.
const MIN_WATCH_DELAY_FRACTION: f64 = 0.25;

/// A token for one read: of a record, or of a page of them.
#[derive(Debug)]
pub(crate) struct ReadPermit(());

/// The client of the service at one address.
pub(crate) struct StoreClient {
    client: Client,
    addr: SocketAddr,
    started_at: Instant,
    admission: RefCell<Admission>,
    /// Calls that have failed one after another, up to now.
    consecutive_failures: Cell<u32>,
    counters: RefCell<Counters>,
    refusals: RefCell<Refusals>,
}

impl StoreClient {
    /// `share`: this controller's part of the service's rates. `max_response_bytes`: the largest
    /// answer that is read. Pages of a list are bounded by the service, an answer of changes is not.
    pub(crate) fn new(
        addr: SocketAddr,
        limits: &StoreLimits,
        share: f64,
        max_response_bytes: usize,
        started: Instant,
    ) -> Self {
        let client = Client::new(max_response_bytes, 1);
        Self::with_client(client, addr, limits, share, started)
    }

    /// The same with an HTTP client that the caller has made.
    pub(crate) fn with_client(
        client: Client,
        addr: SocketAddr,
        limits: &StoreLimits,
        share: f64,
        started: Instant,
    ) -> Self {
        Self {
            client,
            addr,
            started_at: started,
            admission: RefCell::new(Admission::new(limits, share)),
            consecutive_failures: Cell::new(0),
            counters: RefCell::new(Counters::default()),
            refusals: RefCell::new(Refusals::default()),
        }
    }

    /// The time since the client was made.
    pub(crate) fn now(&self) -> MonotonicTime {
        let elapsed = runtime::now().saturating_duration_since(self.started_at);
        MonotonicTime(elapsed.as_millis() as u64)
    }

    /// Whether the last calls were answered.
    pub(crate) fn is_up(&self) -> bool {
        self.consecutive_failures.get() < DOWN_AFTER_FAILURES
    }

    /// Whether the last call was answered.
    pub(crate) fn last_call_answered(&self) -> bool {
        self.consecutive_failures.get() == 0
    }

    /// What was counted of the calls.
    pub(crate) fn counters(&self) -> Ref<'_, Counters> {
        self.counters.borrow()
    }

    /// The tokens that are left of this controller's rates.
    pub(crate) fn token_levels(&self) -> TokenLevels {
        self.admission.borrow_mut().token_levels(self.now())
    }

    /// Logs the episodes of refused requests that are over.
    pub(crate) fn log_ended_refusals(&self) {
        self.refusals.borrow_mut().log_ended(self.now());
    }

    /// A pause that grows up to `longest` as the requests are used up. Never far below: the
    /// controllers' watches alone would take nearly half of all requests.
    pub(crate) fn watch_delay(&self, longest: Duration) -> Duration {
        let available = self.admission.borrow_mut().available_fraction(self.now());
        longest.mul_f64((1.0 - available).clamp(MIN_WATCH_DELAY_FRACTION, 1.0))
    }

    /// What the service takes in a second from all controllers, as far as it is known.
    pub(crate) fn rates(&self) -> StoreRates {
        self.admission.borrow().rates(self.now())
    }

    /// The requests that this controller may make in a second.
    pub(crate) fn own_request_rate(&self) -> f64 {
        self.admission.borrow().own_request_rate(self.now())
    }

    fn try_admit(&self, class: RequestClass, changes: usize) -> bool {
        let mut admission = self.admission.borrow_mut();
        let admitted = admission.try_admit(self.now(), class, changes);
        let mut counters = self.counters.borrow_mut();
        counters.count_request(class, changes, admitted);
        if !admitted {
            let by = RefusedBy::RateLimiter(class);
            let levels = admission.token_levels(self.now());
            self.refusals.borrow_mut().record(self.now(), by, levels);
        }
        admitted
    }

    /// Takes a token for a request that is never held back.
    fn admit_lease_request(&self) {
        self.try_admit(RequestClass::Lease, 0);
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, CallError> {
        self.counters.borrow_mut().calls += 1;
        let result = self
            .client
            .call(self.addr, method, path, body, timeout)
            .await;
        let answered = matches!(&result, Ok(response) if response.status < 500);
        self.consecutive_failures.set(if answered {
            0
        } else {
            self.consecutive_failures.get().saturating_add(1)
        });
        match &result {
            Ok(response) if response.status == TOO_MANY_REQUESTS => {
                self.counters.borrow_mut().refused += 1;
                self.admission.borrow_mut().on_refused(self.now());
                let levels = self.token_levels();
                self.refusals
                    .borrow_mut()
                    .record(self.now(), RefusedBy::Store, levels);
            }
            Ok(_) => {}
            Err(_) => self.counters.borrow_mut().unanswered += 1,
        }
        result
    }

    /// Runs a transaction if its class has a token for it.
    pub(crate) async fn txn(&self, class: RequestClass, txn: &Txn) -> TxnOutcome {
        if !self.try_admit(class, txn.changes.len()) {
            return TxnOutcome::Refused(Refusal::RateLimiter);
        }
        let body = match serde_json::to_vec(txn) {
            Ok(body) if body.len() <= MAX_TXN_BYTES => body,
            _ => return TxnOutcome::Invalid,
        };
        let result = self.call(Method::Post, path::TXN, &body, CALL_TIMEOUT);
        match result.await {
            Ok(answer) => txn_outcome(&answer),
            Err(CallError::NotSent) => TxnOutcome::Refused(Refusal::StoreUnavailable),
            Err(CallError::Unknown | CallError::TooLarge) => TxnOutcome::Unknown,
        }
    }

    /// Reads one record, if there is one, when its class has a token for it.
    pub(crate) async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let admitted = self.admit_read(class).ok_or(StoreError::HeldBack)?;
        self.get_admitted(admitted, key).await
    }

    /// Takes a token for one read, if its class has one.
    pub(crate) fn admit_read(&self, class: RequestClass) -> Option<ReadPermit> {
        self.try_admit(class, 0).then_some(ReadPermit(()))
    }

    /// Reads one record, if there is one, for a token that was taken.
    pub(crate) async fn get_admitted(
        &self,
        _admitted: ReadPermit,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let path = key_path(key);
        match self.call(Method::Get, &path, b"", CALL_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => decode(&answer).map(Some),
            Ok(answer) if answer.status == 404 => Ok(None),
            result => Err(failed_call(&result)),
        }
    }

    /// Reads the first so many records under a prefix that follow the key `after`, for a token that
    /// was taken.
    pub(crate) async fn page_admitted(
        &self,
        _admitted: ReadPermit,
        prefix: &str,
        after: &str,
        max_items: usize,
    ) -> Result<Page, StoreError> {
        let path = page_path(prefix, Some(after), max_items);
        match self.call(Method::Get, &path, b"", CALL_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => decode(&answer),
            result => Err(failed_call(&result)),
        }
    }

    /// Reads a page of the records under a prefix, behind the key `after`.
    pub(crate) async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        self.admit_lease_request();
        let path = page_path(prefix, after, MAX_PAGE_ITEMS);
        match self.call(Method::Get, &path, b"", 2 * CALL_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => decode(&answer),
            result => Err(failed_call(&result)),
        }
    }

    /// Waits for changes under a prefix after a revision. `Gone`: the records have to be read
    /// again, page by page.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_up_to: Duration,
    ) -> Result<WatchResponseBody, StoreError> {
        self.admit_lease_request();
        let path = watch_path(prefix, after, wait_up_to.as_millis() as u64);
        let timeout = wait_up_to + CALL_TIMEOUT;
        match self.call(Method::Get, &path, b"", timeout).await {
            Ok(answer) if answer.status == 200 => decode(&answer),
            Ok(answer) if answer.status == 410 => Err(StoreError::Gone),
            // The same request would get the same answer for ever, and the watch cache would stop.
            // Pages are bounded, however many records there are.
            Err(CallError::TooLarge) => Err(StoreError::Gone),
            result => Err(failed_call(&result)),
        }
    }

    /// Creates a lease that ends when it is not renewed for so long.
    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.admit_lease_request();
        let body = lease_request(ttl.as_millis() as u64);
        let result = self.call(Method::Post, path::LEASES, &body, CALL_TIMEOUT);
        match result.await {
            Ok(answer) if answer.status == 200 => {
                decode::<LeaseResponseBody>(&answer).map(|lease| lease.id)
            }
            result => Err(failed_call(&result)),
        }
    }

    /// Extends a lease by its full time from now. `Gone`: it has ended.
    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit_lease_request();
        let path = renewal_path(lease);
        match self.call(Method::Post, &path, b"", CALL_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) if answer.status == 404 => Err(StoreError::Gone),
            result => Err(failed_call(&result)),
        }
    }

    /// Ends a lease, and with it the records attached to it.
    pub(crate) async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit_lease_request();
        let path = lease_path(lease);
        match self.call(Method::Delete, &path, b"", CALL_TIMEOUT).await {
            Ok(answer) if matches!(answer.status, 200 | 204 | 404) => Ok(()),
            result => Err(failed_call(&result)),
        }
    }
}

#[cfg(test)]
mod tests;
