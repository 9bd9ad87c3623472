//! Calls to the cloud, limited to its rate.

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
const RESPONSE_LIMIT: usize = 2 * 1024 * 1024;
const MAX_LIST_PAGES: usize = 40;
/// A list that takes longer is given up: its first pages say little of the present.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// How often a page is asked for that was refused.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(200);
const TOO_MANY_REQUESTS: u16 = 429;

/// Why a call has no response that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFailure {
    /// By the rate limiter or by the cloud, since its rate is used up.
    Refused,
    /// No answer, an error, or an answer that can't be read.
    Unanswered,
}

/// The client of the cloud. A call that the rate limiter refuses, or that has no usable answer, is
/// left to the controller to repeat.
pub(super) struct CloudCalls {
    client: Client,
    addr: SocketAddr,
    rate_limiter: RefCell<TokenBucket>,
    started: Instant,
}

impl CloudCalls {
    /// A client that calls `addr` at most `rps` times a second; its clock starts at `started`.
    pub(super) fn new(addr: SocketAddr, rps: f64, started: Instant) -> Self {
        Self::with_client(Client::new(RESPONSE_LIMIT, 1), addr, rps, started)
    }

    /// The same with an HTTP client that the caller has made.
    fn with_client(client: Client, addr: SocketAddr, rps: f64, started: Instant) -> Self {
        Self {
            client,
            addr,
            rate_limiter: RefCell::new(TokenBucket::new(rps)),
            started,
        }
    }

    /// Calls the cloud once. Deletions come first, then lists and the catalog, then rentals.
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
            return Err(CallFailure::Refused);
        }
        let body = match method {
            Method::Get => Vec::new(),
            _ => serde_json::to_vec(body).map_err(|_| CallFailure::Unanswered)?,
        };
        let result = self
            .client
            .call(self.addr, method, path, &body, CALL_TIMEOUT)
            .await;
        let response = result.map_err(|_| CallFailure::Unanswered)?;
        if response.status == TOO_MANY_REQUESTS {
            self.rate_limiter.borrow_mut().drain(now);
            return Err(CallFailure::Refused);
        }
        Ok(response)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        let response = self
            .call(RequestClass::Accept, Method::Get, path, &())
            .await?;
        if response.status != 200 {
            return Err(CallFailure::Unanswered);
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            tracing::error!(path, %error, "cloud answer not understood");
            CallFailure::Unanswered
        })
    }

    /// The machine types on offer.
    pub(super) async fn catalog(&self) -> Option<Catalog> {
        self.get(path::CATALOG).await.ok()
    }

    /// All machines that are rented, read page by page. `None`: not all could be read.
    pub(super) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        let begun = runtime::now();
        for _ in 0..MAX_LIST_PAGES {
            let path = machines_path(machines.last().map(|machine| &machine.id));
            let page = self.list_page(&path, !machines.is_empty(), begun).await?;
            let more = page.has_next && !page.machines.is_empty();
            machines.extend(page.machines);
            if !more {
                break;
            }
        }
        Some(machines)
    }

    /// Reads a page of a list that was begun at `begun`. A later page waits for its turn: a list that
    /// began anew whenever one is refused would never be complete in a fleet of more pages than the
    /// cloud allows calls at once.
    async fn list_page(&self, path: &str, is_later: bool, begun: Instant) -> Option<MachineList> {
        loop {
            match self.get(path).await {
                Ok(page) => return Some(page),
                Err(CallFailure::Refused) if is_later && runtime::now() < begun + LIST_TIMEOUT => {
                    runtime::sleep(PAGE_RETRY_DELAY).await;
                }
                Err(_) => return None,
            }
        }
    }

    /// Rents machines.
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
            // "no capacity" and an outage share a status.
            Ok(response) if response.status == 503 && contains(&response.body, b"no capacity") => {
                RentOutcome::NoCapacity
            }
            _ => RentOutcome::Again,
        }
    }

    /// Returns machines to the cloud. `true`: they and everything on them are gone.
    pub(super) async fn delete(&self, ids: &[MachineId]) -> bool {
        let names = MachineIds {
            machines: ids.to_vec(),
        };
        let response = self
            .call(
                RequestClass::Lease,
                Method::Post,
                path::DELETE_MACHINES,
                &names,
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
