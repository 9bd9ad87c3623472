//! A fake key-value store and controllers that use it, for the tests of the API.

mod answer_order;
pub(super) mod busy_cluster;
pub(super) mod delayed_cluster;
pub(super) mod users;

use super::{Cancellation, JobApi};
use crate::config::tests::sample_config;
use crate::config::{Config, StoreLimits};
use crate::controller::Controller;
use crate::http::{Client, Method, Request, Response, serve};
use crate::ids::{Incarnation, JobId, MonotonicTime, Revision};
use crate::protocol::store::KeyValue;
use crate::protocol::{Catalog, JobState};
use crate::runtime::{self, Receiver, Scope, TcpListener, channel, run_in_virtual_time};
use crate::store::records::FinalRecord;
use crate::store::watch_cache::WatchCache;
use crate::store::{StoreClient, keys};
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Instant;

/// A catalog with one machine type in one zone.
pub(super) fn catalog() -> Catalog {
    serde_json::from_value(json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 32, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]}))
    .expect("catalog")
}

/// How the fake store handles transactions that change something.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum WriteMode {
    /// They are executed and answered.
    #[default]
    Answered,
    /// They are refused because of the rate limit.
    Refused,
    /// They are executed, but the response is lost.
    AnswerLost,
    /// They are neither executed nor answered until `execute_delayed` is called.
    Delayed,
}

/// A fake key-value store with the operations that the API needs.
#[derive(Default)]
pub(super) struct FakeStore {
    /// The values by key, each with the revision of its last change.
    pub(super) keys: BTreeMap<String, (Value, u64)>,
    /// The revision of the last change.
    pub(super) revision: u64,
    /// Whether the store answers every request with an error.
    pub(super) unavailable: bool,
    /// How transactions that change something are handled.
    pub(super) writes: WriteMode,
    /// A change by another client that is made once, when the next write is refused.
    pub(super) after_refused_write: Option<fn(&mut FakeStore)>,
    /// The number of the next reads that are refused because of the rate limit.
    pub(super) refused_reads: u32,
    delayed: Vec<Value>,
    /// All changes, as a watch reports them.
    events: Vec<Value>,
}

impl FakeStore {
    pub(super) fn respond(&mut self, request: &Request) -> Response {
        if self.unavailable {
            return Response::error(503, "trouble");
        }
        if let Some(query) = request.target.strip_prefix("/follow?") {
            return self.changes(query);
        }
        if request.method == Method::Get && self.refused_reads > 0 {
            self.refused_reads -= 1;
            return Response::error(429, "too many requests");
        }
        if let Some(query) = request.target.strip_prefix("/kv?") {
            return self.page(query);
        }
        if request.method == Method::Get {
            let key = request.target.trim_start_matches("/kv/");
            return match self.keys.get(key) {
                Some((value, at)) => {
                    Response::json(200, &json!({"key": key, "data": value, "amendment": at}))
                }
                None => Response::json(404, &json!({"edition": self.revision})),
            };
        }
        let txn: Value = serde_json::from_slice(&request.body).expect("transaction");
        let changes = txn["then"].as_array().is_some_and(|then| !then.is_empty());
        match self.writes {
            WriteMode::Refused if changes => {
                if let Some(change) = self.after_refused_write.take() {
                    change(self);
                }
                Response::error(429, "too many changes")
            }
            WriteMode::Delayed if changes => {
                self.delayed.push(txn);
                Response::error(500, "no answer")
            }
            WriteMode::AnswerLost if changes => {
                self.execute(&txn);
                Response::error(500, "no answer")
            }
            _ => self.execute(&txn),
        }
    }

    /// Returns a page of the keys under a prefix that follow a given key.
    fn page(&self, query: &str) -> Response {
        let fields = query_fields(query);
        let after = fields["after"].to_owned();
        let page_size: usize = fields["most"].parse().expect("number");
        let following = self
            .keys
            .range((Bound::Excluded(after), Bound::Unbounded))
            .filter(|(key, _)| key.starts_with(fields["prefix"]));
        let mut items: Vec<Value> = following
            .take(page_size + 1)
            .map(|(key, (value, at))| json!({"key": key, "data": value, "amendment": at}))
            .collect();
        let has_next = items.len() > page_size;
        items.truncate(page_size);
        let page = json!({"items": items, "has_next": has_next, "edition": self.revision});
        Response::json(200, &page)
    }

    /// Returns the changes under a prefix after a given revision, without waiting for any.
    fn changes(&self, query: &str) -> Response {
        let fields = query_fields(query);
        let after: u64 = fields["after"].parse().expect("number");
        let is_reported = |event: &&Value| {
            let key = event["write"].as_str().or(event["delete"].as_str());
            let has_prefix = key.is_some_and(|key| key.starts_with(fields["prefix"]));
            has_prefix && event["amendment"].as_u64() > Some(after)
        };
        let events: Vec<&Value> = self.events.iter().filter(is_reported).collect();
        Response::json(200, &json!({"edition": self.revision, "events": events}))
    }

    /// Executes a transaction if its conditions hold.
    fn execute(&mut self, txn: &Value) -> Response {
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
                Some(key) => self.write(key.to_owned(), change["data"].clone()),
                None => self.delete(&text(&change["delete"])),
            }
        }
        Response::json(200, &json!({"edition": self.revision}))
    }

    /// Executes the transactions that were delayed.
    pub(super) fn execute_delayed(&mut self) {
        for txn in std::mem::take(&mut self.delayed) {
            self.execute(&txn);
        }
    }

    /// Writes a record as another client would.
    pub(super) fn put(&mut self, key: String, record: &impl Serialize) {
        self.revision += 1;
        self.write(key, serde_json::to_value(record).expect("json"));
    }

    /// Ends a job as another controller would.
    pub(super) fn end(&mut self, id: &str, state: JobState) {
        let id = JobId::from(id);
        self.put(keys::final_state(&id), &FinalRecord { state, tasks: 1 });
        self.delete(&keys::job(&id));
    }

    /// Changes a key at the present revision.
    fn write(&mut self, key: String, value: Value) {
        let revision = self.revision;
        let event = json!({"write": key, "data": value, "amendment": revision});
        self.events.push(event);
        self.keys.insert(key, (value, revision));
    }

    /// Deletes a key at the present revision.
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = json!({"delete": key, "amendment": self.revision});
            self.events.push(event);
        }
    }
}

/// Returns the fields of a request's query.
fn query_fields(query: &str) -> BTreeMap<&str, &str> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.collect()
}

/// A fake key-value store, served over HTTP, that several controllers share.
pub(super) struct StoreFixture {
    /// The fake store.
    pub(super) store: Rc<RefCell<FakeStore>>,
    addr: SocketAddr,
    _server: Scope,
}

impl StoreFixture {
    /// Starts a server with an empty store.
    pub(super) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let store = Rc::new(RefCell::new(FakeStore::default()));
        let mut server = Scope::default();
        let store_in_transport = store.clone();
        server.spawn(serve(listener, 100, move |request| {
            let response = store_in_transport.borrow_mut().respond(&request);
            async move { response }
        }));
        Self {
            store,
            addr,
            _server: server,
        }
    }

    /// Creates the API of a controller that has just started. Its watch cache shows no job, and
    /// shows the machine types only with `with_catalog`.
    pub(super) fn api(&self, with_catalog: bool) -> (JobApi, Receiver<Cancellation>) {
        let config = sample_config();
        let limits = generous_limits(&config);
        let store = StoreClient::new(self.addr, &limits, 1.0, 1 << 20, Instant::now());
        controller_api(&config, store, with_catalog)
    }

    /// Loads the contents of the store into a controller's watch cache, as the watch does.
    pub(super) fn sync_watch_cache(&self, api: &JobApi) {
        sync_watch_cache(&self.store.borrow(), api);
    }
}

/// Creates the API of a controller that has just started, with an in-memory key-value store that
/// answers at once, for tests in virtual time.
pub(super) fn api_in_memory(state: &Rc<RefCell<FakeStore>>) -> (JobApi, Receiver<Cancellation>) {
    let config = sample_config();
    let store_in_transport = state.clone();
    let client = Client::with_fake_transport(Rc::new(move |request: Request| {
        let answer = store_in_transport.borrow_mut().respond(&request);
        Box::pin(std::future::ready(answer))
    }));
    let limits = generous_limits(&config);
    let store = StoreClient::with_client(client, config.store_addr, &limits, 1.0, runtime::now());
    controller_api(&config, store, true)
}

/// Returns rate limits that no test reaches.
pub(super) fn generous_limits(config: &Config) -> StoreLimits {
    let mut limits = config.store_limits;
    limits.rates.requests = 1e4;
    limits.rates.writes = 1e4;
    limits.min_rates = limits.rates;
    limits
}

/// Runs a test in virtual time and returns its result. The result has to be checked outside, since
/// a panic inside the event loop would end the test process.
pub(super) fn in_virtual_time<T: 'static>(test: impl Future<Output = T> + 'static) -> T {
    let result = Rc::new(RefCell::new(None));
    let result_slot = result.clone();
    run_in_virtual_time(async move {
        let value = test.await;
        result_slot.replace(Some(value));
    });
    result.take().expect("the event loop has ended")
}

/// Creates the API of a controller that has just started, with the given client of the key-value
/// store.
pub(super) fn controller_api(
    config: &Config,
    store: StoreClient,
    with_catalog: bool,
) -> (JobApi, Receiver<Cancellation>) {
    let mut controller = Controller::new(config, Incarnation(1));
    let mut cache = WatchCache::new(config);
    if with_catalog {
        cache.load(KeyValue {
            key: keys::CATALOG.to_owned(),
            value: serde_json::to_value(catalog()).expect("json"),
            revision: Revision(1),
            lease: None,
        });
    }
    controller.on_snapshot(MonotonicTime(1), cache);
    let (cancellation_sender, cancellations) = channel();
    let controller = Rc::new(RefCell::new(controller));
    let api = JobApi::new(config, Rc::new(store), controller, cancellation_sender);
    (api, cancellations)
}

/// Loads the contents of a store into a controller's watch cache.
pub(super) fn sync_watch_cache(state: &FakeStore, api: &JobApi) {
    let live = |(key, _): &(&String, _)| key.starts_with(keys::LIVE_PREFIX);
    let mut cache = WatchCache::new(&api.config);
    for (key, (value, revision)) in state.keys.iter().filter(live) {
        cache.load(KeyValue {
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

/// Returns the body of a valid submission after applying a change to it.
pub(super) fn body(id: &str, change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut body = crate::protocol::tests::submission(id);
    change(&mut body);
    body.to_string().into_bytes()
}

/// Returns the status code and the job's state of a response.
pub(super) fn job_state(response: &Response) -> (u16, String) {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let standing = body["standing"].as_str().unwrap_or_default();
    (response.status, standing.to_owned())
}
