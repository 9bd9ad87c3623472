//! The key-value store: its client, the tokens that guard its rates, and the live watch cache of
//! what it holds.

pub(crate) mod dependency_graph;
pub(crate) mod keys;
mod live_job;
pub(crate) mod machine_record;
mod rate_choice;
pub(crate) mod rate_limiter;
pub(crate) mod records;
pub(crate) mod urgency;
mod versioned;
pub(crate) mod watch_cache;

use crate::config::{StateLimits, StateRates};
use crate::http::{Client, Failure, Method};
use crate::ids::{LeaseId, MonotonicTime, Revision};
use crate::protocol::path;
use crate::protocol::store::{
    Events, Item, Lease, Page, Txn, TxnAnswer, key_path, lease_path, lease_request, page_path,
    renewal_path, watch_path,
};
use rate_choice::RateSelector;
use rate_limiter::{RequestClass, TokenBucket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Usual answers take some ms, a few take some hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TxnOutcome {
    Committed(Revision),
    /// These conditions did not hold at this revision; nothing was changed.
    Failed(Vec<String>, Revision),
    /// Certainly not executed.
    Refused,
    /// Certainly not executed, and never will be as it is: too large for the service, or under a
    /// lease that has ended.
    Invalid,
    /// May have been executed, or may still be.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    #[error("the key-value store can't be reached or refuses")]
    Unavailable,
    #[error("no such lease, or revisions too old")]
    Gone,
}

pub(crate) struct Store {
    client: Client,
    addr: SocketAddr,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    rate_choice: RefCell<RateSelector>,
    /// This controller's part of the rates.
    share: f64,
    started: Instant,
    /// Calls in a row that failed: while any, only probes are worth their wait.
    failures: Cell<u32>,
    pub counters: Counters,
}

#[derive(Default)]
pub(crate) struct Counters {
    pub calls: Cell<u64>,
    pub refused: Cell<u64>,
    pub unknown: Cell<u64>,
    pub held_back: Cell<u64>,
    /// What each class has asked for and been given.
    pub classes: RefCell<BTreeMap<RequestClass, ClassUse>>,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct ClassUse {
    pub requests: u64,
    pub changes: u64,
    pub held_back: u64,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Store {
    /// `share`: this controller's part of the service's rates. `answer_bytes`: the largest answer
    /// that is read. Pages of a list are bounded by the service, an answer of changes is not.
    pub(crate) fn new(
        addr: SocketAddr,
        limits: &StateLimits,
        share: f64,
        answer_bytes: usize,
        started: Instant,
    ) -> Self {
        Self {
            client: Client::new(answer_bytes, 1),
            addr,
            requests: RefCell::new(TokenBucket::new(limits.rates.requests * share)),
            writes: RefCell::new(TokenBucket::new(limits.rates.changes * share)),
            rate_choice: RefCell::new(RateSelector::new(limits.rates, limits.least_rates)),
            share,
            started,
            failures: Cell::new(0),
            counters: Counters::default(),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    /// Whether the last calls were answered.
    pub(crate) fn is_up(&self) -> bool {
        self.failures.get() < 2
    }

    pub(crate) fn levels(&self) -> (f64, f64) {
        let now = self.now();
        (
            self.requests.borrow_mut().level(now),
            self.writes.borrow_mut().level(now),
        )
    }

    /// A pause that grows up to `longest` as the requests are used up. Never far below: the
    /// watch caches' watches alone took nearly half of all requests (Savannah fleet, calm).
    pub(crate) fn watch_delay(&self, longest: Duration) -> Duration {
        let available_fraction = self.requests.borrow_mut().available_fraction(self.now());
        longest.mul_f64((1.0 - available_fraction).clamp(0.25, 1.0))
    }

    /// What the service takes in a second from all controllers, as far as it is known.
    pub(crate) fn rates(&self) -> StateRates {
        self.rate_choice.borrow().current(self.now())
    }

    fn apply_current_rates(&self, now: MonotonicTime) {
        let rate_choice = self.rate_choice.borrow().current(now);
        let (requests, writes) = (&self.requests, &self.writes);
        requests
            .borrow_mut()
            .set_rate(now, rate_choice.requests * self.share);
        writes
            .borrow_mut()
            .set_rate(now, rate_choice.changes * self.share);
    }

    fn admit(&self, class: RequestClass, writes: usize) -> bool {
        let now = self.now();
        self.apply_current_rates(now);
        let ok = self.requests.borrow_mut().allows(now, 1.0, class)
            && self.writes.borrow_mut().allows(now, writes as f64, class);
        let mut classes = self.counters.classes.borrow_mut();
        let class = classes.entry(class).or_default();
        if ok {
            self.requests.borrow_mut().spend(1.0);
            self.writes.borrow_mut().spend(writes as f64);
            class.requests += 1;
            class.changes += writes as u64;
        } else {
            increment(&self.counters.held_back);
            class.held_back += 1;
        }
        ok
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), Failure> {
        increment(&self.counters.calls);
        let answer = self.client.call(self.addr, method, path, body, limit).await;
        let answered = matches!(&answer, Ok(r) if r.status != 503 && r.status < 500);
        self.failures.set(if answered {
            0
        } else {
            self.failures.get().saturating_add(1)
        });
        match answer {
            Ok(response) => {
                if response.status == 429 {
                    increment(&self.counters.refused);
                    self.rate_choice.borrow_mut().refused(self.now());
                    self.requests.borrow_mut().drain(self.now());
                    self.writes.borrow_mut().drain(self.now());
                }
                Ok((response.status, response.body))
            }
            Err(failure) => {
                increment(&self.counters.unknown);
                Err(failure)
            }
        }
    }

    /// Runs a transaction if its class has a token for it.
    pub(crate) async fn txn(&self, class: RequestClass, txn: &Txn) -> TxnOutcome {
        if !self.admit(class, txn.changes.len()) {
            return TxnOutcome::Refused;
        }
        let body = match serde_json::to_vec(txn) {
            Ok(body) if body.len() <= 64 * 1024 => body,
            _ => return TxnOutcome::Invalid,
        };
        match self
            .call(Method::Post, path::TXN, &body, CALL_TIMEOUT)
            .await
        {
            Ok((200, body)) => match serde_json::from_slice::<TxnAnswer>(&body) {
                Ok(answer) => TxnOutcome::Committed(answer.revision),
                Err(_) => TxnOutcome::Unknown,
            },
            Ok((409, body)) => {
                let answer: TxnAnswer = serde_json::from_slice(&body).unwrap_or_default();
                TxnOutcome::Failed(answer.failed, answer.revision)
            }
            Ok((400, body)) => {
                tracing::warn!(body = %String::from_utf8_lossy(&body), "transaction is malformed or too large");
                TxnOutcome::Invalid
            }
            Ok((400..=499 | 503, body)) => {
                tracing::debug!(body = %String::from_utf8_lossy(&body), "transaction refused");
                TxnOutcome::Refused
            }
            Err(Failure::NotSent) => TxnOutcome::Refused,
            Ok(_) | Err(Failure::Unknown | Failure::TooLarge) => TxnOutcome::Unknown,
        }
    }

    pub(crate) async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<Item>, StoreError> {
        if !self.admit(class, 0) {
            return Err(StoreError::Unavailable);
        }
        match self
            .call(Method::Get, &key_path(key), b"", CALL_TIMEOUT)
            .await
        {
            Ok((200, body)) => serde_json::from_slice(&body)
                .map(Some)
                .map_err(|_| StoreError::Unavailable),
            Ok((404, _)) => Ok(None),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub(crate) async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        self.admit(RequestClass::Lease, 0);
        let path = page_path(prefix, after);
        match self.call(Method::Get, &path, b"", 2 * CALL_TIMEOUT).await {
            Ok((200, body)) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_up_to: Duration,
    ) -> Result<Events, StoreError> {
        self.admit(RequestClass::Lease, 0);
        let path = watch_path(prefix, after, wait_up_to.as_millis() as u64);
        match self
            .call(Method::Get, &path, b"", wait_up_to + CALL_TIMEOUT)
            .await
        {
            Ok((200, body)) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            // So many changes at once, after half a minute without any, took most of the memory a
            // controller has; one above the bound was asked for again for ever, and the watch cache
            // stood still (Savannah fleet, zone). Pages of all there is are bounded.
            Ok((410, _)) | Err(Failure::TooLarge) => Err(StoreError::Gone),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub(crate) async fn create_lease(&self, life_ms: u64) -> Result<LeaseId, StoreError> {
        self.admit(RequestClass::Lease, 0);
        let body = lease_request(life_ms);
        match self
            .call(Method::Post, path::LEASES, &body, CALL_TIMEOUT)
            .await
        {
            Ok((200, body)) => serde_json::from_slice::<Lease>(&body)
                .map(|g| g.id)
                .map_err(|_| StoreError::Unavailable),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit(RequestClass::Lease, 0);
        match self
            .call(Method::Post, &renewal_path(lease), b"", CALL_TIMEOUT)
            .await
        {
            Ok((200, _)) => Ok(()),
            Ok((404, _)) => Err(StoreError::Gone),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub(crate) async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit(RequestClass::Lease, 0);
        match self
            .call(Method::Delete, &lease_path(lease), b"", CALL_TIMEOUT)
            .await
        {
            Ok((200 | 204 | 404, _)) => Ok(()),
            _ => Err(StoreError::Unavailable),
        }
    }
}

#[cfg(test)]
mod tests;
