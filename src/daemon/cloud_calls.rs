//! Calls to the cloud, limited to its rate.

use crate::cloud::RentOutcome;
use crate::http::{Client, Method, Response};
use crate::ids::{MachineId, MonotonicTime};
use crate::protocol::{
    Catalog, ListedMachine, MachineList, MachineNames, RentRequest, machines_path, path,
};
use crate::runtime;
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const RESPONSE_LIMIT: usize = 2 * 1024 * 1024;
const MAX_LIST_PAGES: usize = 40;

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

    /// Calls the cloud once. The classes let deletions come first, then rentals, then lists and the
    /// catalog. `None`: refused by the rate limiter, or unanswered.
    async fn call(
        &self,
        class: RequestClass,
        method: Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Option<Response> {
        let elapsed = runtime::now().saturating_duration_since(self.started);
        let now = MonotonicTime(elapsed.as_millis() as u64);
        if !self.rate_limiter.borrow_mut().try_acquire(now, 1.0, class) {
            return None;
        }
        let body = match method {
            Method::Get => Vec::new(),
            _ => serde_json::to_vec(body).ok()?,
        };
        let result = self
            .client
            .call(self.addr, method, path, &body, CALL_TIMEOUT)
            .await;
        let response = result.ok()?;
        if response.status == 429 {
            self.rate_limiter.borrow_mut().drain(now);
        }
        Some(response)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let response = self
            .call(RequestClass::Accept, Method::Get, path, &())
            .await?;
        if response.status != 200 {
            return None;
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| tracing::error!(path, %error, "cloud answer not understood"))
            .ok()
    }

    /// The machine types on offer.
    pub(super) async fn catalog(&self) -> Option<Catalog> {
        self.get(path::CATALOG).await
    }

    /// All machines that are rented, read page by page. `None`: not all could be read.
    pub(super) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        for _ in 0..MAX_LIST_PAGES {
            let page: MachineList = self
                .get(&machines_path(machines.last().map(|machine| &machine.id)))
                .await?;
            let more = page.more && !page.machines.is_empty();
            machines.extend(page.machines);
            if !more {
                break;
            }
        }
        Some(machines)
    }

    /// Rents machines.
    pub(super) async fn rent(&self, request: &RentRequest) -> RentOutcome {
        let response = self
            .call(RequestClass::Place, Method::Post, path::MACHINES, request)
            .await;
        match response {
            Some(response) if response.status == 200 => {
                serde_json::from_slice::<MachineNames>(&response.body)
                    .map_or(RentOutcome::Again, |rented| {
                        RentOutcome::Rented(rented.machines)
                    })
            }
            Some(response) if response.status == 400 => RentOutcome::Malformed,
            // "no capacity" and an outage share a status.
            Some(response)
                if response.status == 503 && contains(&response.body, b"no capacity") =>
            {
                RentOutcome::NoCapacity
            }
            _ => RentOutcome::Again,
        }
    }

    /// Returns machines to the cloud. `true`: they and everything on them are gone.
    pub(super) async fn delete(&self, ids: &[MachineId]) -> bool {
        let names = MachineNames {
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
        response.is_some_and(|response| response.status == 200)
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}

#[cfg(test)]
mod tests;
