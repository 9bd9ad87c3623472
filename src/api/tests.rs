//! A stand-in of the key-value store and controllers that use it, for the tests of the API.

pub(super) mod busy_cluster;

use super::{Cancellation, JobApi};
use crate::config::Config;
use crate::config::tests::sample_config;
use crate::controller::Controller;
use crate::http::{Method, Request, Response, serve};
use crate::ids::{Incarnation, MonotonicTime, Revision};
use crate::protocol::Catalog;
use crate::protocol::store::Item;
use crate::runtime::{Receiver, Scope, TcpListener, channel};
use crate::store::watch_cache::WatchCache;
use crate::store::{Store, keys};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A catalog with one machine type in one zone.
pub(super) fn catalog() -> Catalog {
    serde_json::from_value(json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 32, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]}))
    .expect("catalog")
}

/// A key-value store that holds a few keys: enough for what the API asks of it.
#[derive(Default)]
pub(super) struct StandIn {
    /// Values with the revisions of their last changes.
    pub(super) keys: BTreeMap<String, (Value, u64)>,
    /// The revision of the last change.
    pub(super) revision: u64,
    /// Answers every request with an error.
    pub(super) away: bool,
}

impl StandIn {
    pub(super) fn answer(&mut self, request: &Request) -> Response {
        if self.away {
            return Response::error(503, "trouble");
        }
        if request.method == Method::Get {
            let key = request.path.trim_start_matches("/kv/");
            return match self.keys.get(key) {
                Some((value, at)) => {
                    Response::json(200, &json!({"key": key, "data": value, "amendment": at}))
                }
                None => Response::json(404, &json!({"edition": self.revision})),
            };
        }
        let txn: Value = serde_json::from_slice(&request.body).expect("transaction");
        let list = |field: &str| txn[field].as_array().cloned().unwrap_or_default();
        let text = |v: &Value| v.as_str().expect("key").to_owned();
        let holds = |c: &Value| {
            let found = self.keys.get(&text(&c["key"])).map_or(0, |k| k.1);
            c["amendment"].as_u64() == Some(found)
        };
        let failed: Vec<String> = list("if")
            .iter()
            .filter(|c| !holds(c))
            .map(|c| text(&c["key"]))
            .collect();
        if !failed.is_empty() {
            return Response::json(409, &json!({"failed": failed, "edition": self.revision}));
        }
        self.revision += u64::from(!list("then").is_empty());
        for change in list("then") {
            match change["write"].as_str() {
                Some(key) => {
                    let value = (change["data"].clone(), self.revision);
                    self.keys.insert(key.to_owned(), value);
                }
                None => drop(self.keys.remove(&text(&change["delete"]))),
            }
        }
        Response::json(200, &json!({"edition": self.revision}))
    }
}

/// A key-value store that controllers of a test share.
pub(super) struct Scene {
    /// What the store holds.
    pub(super) state: Rc<RefCell<StandIn>>,
    addr: SocketAddr,
    _served: Scope,
}

impl Scene {
    /// Starts an empty store.
    pub(super) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let state = Rc::new(RefCell::new(StandIn::default()));
        let mut served = Scope::default();
        let answering = state.clone();
        served.spawn(serve(listener, 100, move |request| {
            let response = answering.borrow_mut().answer(&request);
            async move { response }
        }));
        Self {
            state,
            addr,
            _served: served,
        }
    }

    /// The API of a controller that has just started: its watch cache shows no job, and the machine
    /// types only with `types`.
    pub(super) fn api(&self, types: bool) -> (JobApi, Receiver<Cancellation>) {
        let config = sample_config();
        let mut limits = config.state;
        limits.rates.requests = 1e4;
        limits.rates.changes = 1e4;
        limits.least_rates = limits.rates;
        let store = Store::new(self.addr, &limits, 1.0, 1 << 20, Instant::now());
        controller_api(&config, store, types)
    }

    /// Brings a controller's watch cache up to what the key-value store holds, as the watch does.
    pub(super) fn catch_up(&self, api: &JobApi) {
        catch_up(&self.state.borrow(), api);
    }
}

/// The API of a controller that has just started with a client of the key-value store.
pub(super) fn controller_api(
    config: &Config,
    store: Store,
    types: bool,
) -> (JobApi, Receiver<Cancellation>) {
    let mut controller = Controller::new(config, Incarnation(1));
    let mut cache = WatchCache::new(config);
    if types {
        cache.load(Item {
            key: keys::CATALOG.to_owned(),
            value: serde_json::to_value(catalog()).expect("json"),
            revision: Revision(1),
            lease: None,
        });
    }
    controller.on_snapshot(MonotonicTime(1), cache);
    let (asked, cancellations) = channel();
    let controller = Rc::new(RefCell::new(controller));
    let api = JobApi::new(config, Rc::new(store), controller, asked);
    (api, cancellations)
}

/// Brings a controller's watch cache up to what a key-value store holds.
pub(super) fn catch_up(state: &StandIn, api: &JobApi) {
    let live = |(key, _): &(&String, _)| key.starts_with(keys::LIVE);
    let mut cache = WatchCache::new(&api.config);
    for (key, (value, revision)) in state.keys.iter().filter(live) {
        cache.load(Item {
            key: key.clone(),
            value: value.clone(),
            revision: Revision(*revision),
            lease: None,
        });
    }
    let catalog = api.controller.borrow().cache.catalog.clone();
    cache.catalog = cache.catalog.or(catalog);
    cache.revision = Revision(state.revision);
    let mut controller = api.controller.borrow_mut();
    controller.on_snapshot(MonotonicTime(1), cache);
}

/// A valid submission with a change.
pub(super) fn body(id: &str, change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut body = crate::protocol::tests::submission(id);
    change(&mut body);
    body.to_string().into_bytes()
}

/// The status code and the job's state of an answer.
pub(super) fn job_state(response: &Response) -> (u16, String) {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let standing = body["standing"].as_str().unwrap_or_default();
    (response.status, standing.to_owned())
}
