//! Calls to the cloud's API, with a client-side rate limit.

use crate::cloud::RentOutcome;
use crate::http::{Client, Method, Response};
use crate::ids::{MachineId, MonotonicTime};
use crate::protocol::{
    Catalog, ListedMachine, MachineIds, MachineList, RentRequest, machines_path, path,
};
use crate::runtime;
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;
/// Largest number of pages that are read of a list. Machines on further pages are left out of it.
const MAX_LIST_PAGES: usize = 40;
/// Time limit after which a rate-limited page is no longer retried and the list fails, because its
/// first pages are out of date by then.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a rate-limited page request is repeated.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(200);
const TOO_MANY_REQUESTS: u16 = 429;

/// The reason why a call has no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFailure {
    /// The rate limiter or the cloud refused the call because the call rate is used up.
    RateLimited,
    /// The cloud did not respond, responded with an error, or sent a body that cannot be decoded.
    NoUsableResponse,
}

/// The client of the cloud's API. The controller repeats calls that the rate limiter refuses or
/// that have no usable response; only rate-limited continuation pages of a list are retried here.
pub(super) struct CloudCalls {
    client: Client,
    addr: SocketAddr,
    rate_limiter: RefCell<TokenBucket>,
    started: Instant,
}

impl CloudCalls {
    /// Creates a client that calls `addr` at most `rps` times a second. The rate limiter's clock
    /// starts at `started`.
    pub(super) fn new(addr: SocketAddr, rps: f64, started: Instant) -> Self {
        Self::with_client(Client::new(MAX_RESPONSE_BYTES, 1), addr, rps, started)
    }

    /// Creates a client on top of an existing HTTP client.
    fn with_client(client: Client, addr: SocketAddr, rps: f64, started: Instant) -> Self {
        Self {
            client,
            addr,
            rate_limiter: RefCell::new(TokenBucket::new(rps)),
            started,
        }
    }

    /// Calls the cloud once. Near the rate limit, deletions have priority over lists and the
    /// catalog, and these over rentals.
    async fn call(
        &self,
        class: RequestClass,
        method: Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Response, CallFailure> {
        let elapsed = runtime::now().saturating_duration_since(self.started);
        let now = MonotonicTime(elapsed.as_millis() as u64);
        if !self.rate_limiter.borrow_mut().try_acquire(now, 1.0, class) {
            return Err(CallFailure::RateLimited);
        }
        let body = match method {
            Method::Get => Vec::new(),
            _ => serde_json::to_vec(body).map_err(|_| CallFailure::NoUsableResponse)?,
        };
        let result = self
            .client
            .call(self.addr, method, path, &body, CALL_TIMEOUT)
            .await;
        let response = result.map_err(|_| CallFailure::NoUsableResponse)?;
        if response.status == TOO_MANY_REQUESTS {
            self.rate_limiter.borrow_mut().drain(now);
            return Err(CallFailure::RateLimited);
        }
        Ok(response)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        let response = self
            .call(RequestClass::Accept, Method::Get, path, &())
            .await?;
        if response.status != 200 {
            return Err(CallFailure::NoUsableResponse);
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            tracing::error!(path, %error, "cannot decode the cloud's response");
            CallFailure::NoUsableResponse
        })
    }

    /// Returns the machine types on offer, or `None` if the call failed.
    pub(super) async fn catalog(&self) -> Option<Catalog> {
        self.get(path::CATALOG).await.ok()
    }

    /// Returns all rented machines, read page by page, or `None` if a page could not be read.
    pub(super) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        let list_started_at = runtime::now();
        for _ in 0..MAX_LIST_PAGES {
            let path = machines_path(machines.last().map(|machine| &machine.id));
            let page = self
                .list_page(&path, !machines.is_empty(), list_started_at)
                .await?;
            let has_more = page.has_next && !page.machines.is_empty();
            machines.extend(page.machines);
            if !has_more {
                break;
            }
        }
        Some(machines)
    }

    /// Reads one page of a list that was started at `list_started_at`. A continuation page is
    /// retried when it is rate limited. Otherwise a list with more pages than the burst of the rate
    /// limit would restart at its first page every time and never complete.
    async fn list_page(
        &self,
        path: &str,
        is_continuation: bool,
        list_started_at: Instant,
    ) -> Option<MachineList> {
        loop {
            match self.get(path).await {
                Ok(page) => return Some(page),
                Err(CallFailure::RateLimited)
                    if is_continuation && runtime::now() < list_started_at + LIST_TIMEOUT =>
                {
                    runtime::sleep(PAGE_RETRY_DELAY).await;
                }
                Err(_) => return None,
            }
        }
    }

    /// Rents machines and classifies the cloud's response.
    pub(super) async fn rent(&self, request: &RentRequest) -> RentOutcome {
        let response = self
            .call(RequestClass::Place, Method::Post, path::MACHINES, request)
            .await;
        match response {
            Ok(response) if response.status == 200 => {
                serde_json::from_slice::<MachineIds>(&response.body)
                    .map_or(RentOutcome::Again, |rented| {
                        RentOutcome::Rented(rented.machines)
                    })
            }
            Ok(response) if response.status == 400 => RentOutcome::Malformed,
            // The cloud uses status 503 both for lack of capacity and for outages.
            Ok(response) if response.status == 503 && contains(&response.body, b"no capacity") => {
                RentOutcome::NoCapacity
            }
            _ => RentOutcome::Again,
        }
    }

    /// Deletes machines. Returns `true` if the cloud confirmed that they and everything on them are
    /// gone.
    pub(super) async fn delete(&self, ids: &[MachineId]) -> bool {
        let request = MachineIds {
            machines: ids.to_vec(),
        };
        let response = self
            .call(
                RequestClass::Lease,
                Method::Post,
                path::DELETE_MACHINES,
                &request,
            )
            .await;
        response.is_ok_and(|response| response.status == 200)
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}

#[cfg(test)]
mod tests;
