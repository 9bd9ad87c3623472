//! The client of the key-value store. It obeys the service's rate limits, and for each failed call
//! reports whether the request may have been executed.

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

/// The timeout of a call. Most responses arrive within a few ms, some take several hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum size of a serialized transaction. The service refuses larger ones.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// The number of consecutive failed calls after which the service counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// The minimum delay between two watch requests, as a fraction of the maximum delay.
const MIN_WATCH_DELAY_FRACTION: f64 = 0.25;

/// The admission of one read of a record or of a page of records. Its tokens are already spent.
#[derive(Debug)]
pub(crate) struct ReadPermit(());

/// A client of the key-value store at one address.
pub(crate) struct StoreClient {
    client: Client,
    addr: SocketAddr,
    started_at: Instant,
    admission: RefCell<Admission>,
    /// The number of consecutive calls without a response or with a status of 500 or above.
    consecutive_failures: Cell<u32>,
    counters: RefCell<Counters>,
    refusals: RefCell<Refusals>,
}

impl StoreClient {
    /// Creates a client. `share` is this controller's fraction of the service's rates.
    /// `max_response_bytes` is the size of the largest response that is read: the service limits the
    /// size of a list page, but not that of a watch response.
    pub(crate) fn new(
        addr: SocketAddr,
        limits: &StoreLimits,
        share: f64,
        max_response_bytes: usize,
        started_at: Instant,
    ) -> Self {
        let client = Client::new(max_response_bytes, 1);
        Self::with_client(client, addr, limits, share, started_at)
    }

    /// Creates a client that sends its requests through the given HTTP client.
    pub(crate) fn with_client(
        client: Client,
        addr: SocketAddr,
        limits: &StoreLimits,
        share: f64,
        started_at: Instant,
    ) -> Self {
        Self {
            client,
            addr,
            started_at,
            admission: RefCell::new(Admission::new(limits, share)),
            consecutive_failures: Cell::new(0),
            counters: RefCell::new(Counters::default()),
            refusals: RefCell::new(Refusals::default()),
        }
    }

    /// Returns the time since `started_at`.
    pub(crate) fn now(&self) -> MonotonicTime {
        let elapsed = runtime::now().saturating_duration_since(self.started_at);
        MonotonicTime(elapsed.as_millis() as u64)
    }

    /// Returns whether fewer than [`DOWN_AFTER_FAILURES`] calls in a row have failed.
    pub(crate) fn is_up(&self) -> bool {
        self.consecutive_failures.get() < DOWN_AFTER_FAILURES
    }

    /// Returns whether the last call got a response with a status below 500.
    pub(crate) fn last_call_answered(&self) -> bool {
        self.consecutive_failures.get() == 0
    }

    /// Returns the request counters that `/admin/status` shows.
    pub(crate) fn counters(&self) -> Ref<'_, Counters> {
        self.counters.borrow()
    }

    /// Returns the tokens left in this controller's rate limiter.
    pub(crate) fn token_levels(&self) -> TokenLevels {
        self.admission.borrow_mut().token_levels(self.now())
    }

    /// Logs the episodes of refused requests that have ended.
    pub(crate) fn log_ended_refusals(&self) {
        self.refusals.borrow_mut().log_ended(self.now());
    }

    /// Returns the delay before the next watch request. It grows up to `max_delay` as the request
    /// tokens are used up. It has a lower bound, because without one the controllers' watches alone
    /// would take nearly half of all requests.
    pub(crate) fn watch_delay(&self, max_delay: Duration) -> Duration {
        let available = self.admission.borrow_mut().available_fraction(self.now());
        max_delay.mul_f64((1.0 - available).clamp(MIN_WATCH_DELAY_FRACTION, 1.0))
    }

    /// Returns the rates that are assumed to apply to all controllers together, per second.
    pub(crate) fn rates(&self) -> StoreRates {
        self.admission.borrow().rates(self.now())
    }

    /// Returns the number of requests that this controller may send per second.
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

    /// Takes a token for a request of the class `Lease`, which is always admitted.
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

    /// Runs a transaction if the rate limiter admits it.
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
            Ok(response) => txn_outcome(&response),
            Err(CallError::NotSent) => TxnOutcome::Refused(Refusal::StoreUnavailable),
            Err(CallError::Unknown | CallError::TooLarge) => TxnOutcome::Unknown,
        }
    }

    /// Reads one record if the rate limiter admits the read. Returns `None` if the key does not exist.
    pub(crate) async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let read_permit = self.admit_read(class).ok_or(StoreError::HeldBack)?;
        self.get_admitted(read_permit, key).await
    }

    /// Takes the tokens for one read. Returns `None` if the rate limiter does not admit it.
    pub(crate) fn admit_read(&self, class: RequestClass) -> Option<ReadPermit> {
        self.try_admit(class, 0).then_some(ReadPermit(()))
    }

    /// Reads one record with a [`ReadPermit`]. Returns `None` if the key does not exist.
    pub(crate) async fn get_admitted(
        &self,
        _read_permit: ReadPermit,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let path = key_path(key);
        match self.call(Method::Get, &path, b"", CALL_TIMEOUT).await {
            Ok(response) if response.status == 200 => decode(&response).map(Some),
            Ok(response) if response.status == 404 => Ok(None),
            result => Err(failed_call(&result)),
        }
    }

    /// Reads with a [`ReadPermit`] at most `max_items` records under a prefix, starting behind `after`.
    pub(crate) async fn page_admitted(
        &self,
        _read_permit: ReadPermit,
        prefix: &str,
        after: &str,
        max_items: usize,
    ) -> Result<Page, StoreError> {
        let path = page_path(prefix, Some(after), max_items);
        match self.call(Method::Get, &path, b"", CALL_TIMEOUT).await {
            Ok(response) if response.status == 200 => decode(&response),
            result => Err(failed_call(&result)),
        }
    }

    /// Reads a page of the records under a prefix, starting behind the key `after`. Always admitted.
    pub(crate) async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        self.admit_lease_request();
        let path = page_path(prefix, after, MAX_PAGE_ITEMS);
        match self.call(Method::Get, &path, b"", 2 * CALL_TIMEOUT).await {
            Ok(response) if response.status == 200 => decode(&response),
            result => Err(failed_call(&result)),
        }
    }

    /// Waits up to `max_wait` for changes under a prefix after a revision. Returns `Gone` if the
    /// records have to be read again page by page.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        max_wait: Duration,
    ) -> Result<WatchResponseBody, StoreError> {
        self.admit_lease_request();
        let path = watch_path(prefix, after, max_wait.as_millis() as u64);
        let timeout = max_wait + CALL_TIMEOUT;
        match self.call(Method::Get, &path, b"", timeout).await {
            Ok(response) if response.status == 200 => decode(&response),
            Ok(response) if response.status == 410 => Err(StoreError::Gone),
            // Retrying the same request would fail in the same way each time, and the watch cache
            // would not advance any more. The size of a page is limited, however many records exist.
            Err(CallError::TooLarge) => Err(StoreError::Gone),
            result => Err(failed_call(&result)),
        }
    }

    /// Creates a lease that expires if it is not renewed within `ttl`.
    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.admit_lease_request();
        let body = lease_request(ttl.as_millis() as u64);
        let result = self.call(Method::Post, path::LEASES, &body, CALL_TIMEOUT);
        match result.await {
            Ok(response) if response.status == 200 => {
                decode::<LeaseResponseBody>(&response).map(|lease| lease.id)
            }
            result => Err(failed_call(&result)),
        }
    }

    /// Renews a lease for its full time to live, counted from now. Returns `Gone` if it has expired.
    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit_lease_request();
        let path = renewal_path(lease);
        match self.call(Method::Post, &path, b"", CALL_TIMEOUT).await {
            Ok(response) if response.status == 200 => Ok(()),
            Ok(response) if response.status == 404 => Err(StoreError::Gone),
            result => Err(failed_call(&result)),
        }
    }

    /// Revokes a lease, which deletes the records attached to it.
    pub(crate) async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit_lease_request();
        let path = lease_path(lease);
        match self.call(Method::Delete, &path, b"", CALL_TIMEOUT).await {
            Ok(response) if matches!(response.status, 200 | 204 | 404) => Ok(()),
            result => Err(failed_call(&result)),
        }
    }
}

#[cfg(test)]
mod tests;
