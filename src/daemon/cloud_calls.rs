//! Calls to the cloud, under its rate.

use crate::cloud::RentOutcome;
use crate::http::{Client, Method, Response};
use crate::ids::{MachineId, MonotonicTime};
use crate::protocol::{
    Catalog, ListedMachine, MachineList, MachineNames, RentRequest, machines_path, path,
};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const BODY_LIMIT: usize = 2 * 1024 * 1024;
const MOST_PAGES: usize = 40;

pub(super) struct CloudCalls {
    client: Client,
    addr: SocketAddr,
    bucket: RefCell<TokenBucket>,
    started: Instant,
}

impl CloudCalls {
    pub(super) fn new(addr: SocketAddr, rps: f64, started: Instant) -> Self {
        Self {
            client: Client::new(BODY_LIMIT, 1),
            addr,
            bucket: RefCell::new(TokenBucket::new(rps)),
            started,
        }
    }

    /// Deletions come first, then rentals, then lists and the catalog.
    async fn call(
        &self,
        class: RequestClass,
        method: Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Option<Response> {
        let now = MonotonicTime(self.started.elapsed().as_millis() as u64);
        if !self.bucket.borrow_mut().try_acquire(now, 1.0, class) {
            return None;
        }
        let body = match method {
            Method::Get => Vec::new(),
            _ => serde_json::to_vec(body).ok()?,
        };
        let answer = self
            .client
            .call(self.addr, method, path, &body, CALL_TIMEOUT)
            .await;
        let response = answer.ok()?;
        if response.status == 429 {
            self.bucket.borrow_mut().drain(now);
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

    pub(super) async fn catalog(&self) -> Option<Catalog> {
        self.get(path::CATALOG).await
    }

    pub(super) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        for _ in 0..MOST_PAGES {
            let page: MachineList = self.get(&machines_path(all.last().map(|m| &m.id))).await?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                break;
            }
        }
        Some(all)
    }

    pub(super) async fn rent(&self, request: &RentRequest) -> RentOutcome {
        let answer = self
            .call(RequestClass::Place, Method::Post, path::MACHINES, request)
            .await;
        match answer {
            Some(r) if r.status == 200 => serde_json::from_slice::<MachineNames>(&r.body)
                .map_or(RentOutcome::Again, |n| RentOutcome::Rented(n.machines)),
            Some(r) if r.status == 400 => RentOutcome::Malformed,
            // "no capacity" and an outage share a status.
            Some(r) if r.status == 503 && contains(&r.body, b"no capacity") => {
                RentOutcome::NoCapacity
            }
            _ => RentOutcome::Again,
        }
    }

    /// `true`: the machines and everything on them are gone.
    pub(super) async fn delete(&self, ids: &[MachineId]) -> bool {
        let names = MachineNames {
            machines: ids.to_vec(),
        };
        let answer = self
            .call(
                RequestClass::Lease,
                Method::Post,
                path::DELETE_MACHINES,
                &names,
            )
            .await;
        answer.is_some_and(|r| r.status == 200)
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|w| w == text)
}
