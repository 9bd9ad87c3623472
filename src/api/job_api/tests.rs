use super::*;
use crate::config::tests::sample_config;
use crate::http::{Method, Request, serve};
use crate::runtime::{self, Receiver, Scope, TcpListener, channel};
use crate::store::watch_cache::WatchCache;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn catalog() -> Catalog {
    serde_json::from_value(serde_json::json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 32, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]}))
    .expect("catalog")
}

#[test]
fn what_can_never_run_is_told_from_what_must_wait() {
    let config = sample_config();
    let base = crate::protocol::tests::spec("job-000001");
    let revision_status = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = base.clone();
        change(&mut spec);
        infeasibility(&spec, &config, &catalog())
    };
    assert_eq!(revision_status(&|_| ()), None);
    // Far more tasks than the limit are fine for an array, and never for a service.
    assert_eq!(revision_status(&|s| s.tasks = 100_000), None);
    assert!(
        revision_status(&|s| {
            s.tasks = 13;
            s.kind = JobKind::Service
        })
        .is_some()
    );
    assert_eq!(
        revision_status(&|s| {
            s.tasks = 12;
            s.kind = JobKind::Service
        }),
        None
    );
    assert!(revision_status(&|s| s.team = "green".into()).is_some());
    assert!(revision_status(&|s| s.cpus = 8.5).is_some());
    assert!(revision_status(&|s| s.zone = Some("b".into())).is_some());
    assert!(revision_status(&|s| s.types = Some(vec!["t9".into()])).is_some());
    assert!(revision_status(&|s| s.gpus = 1.0).is_some());
    // Two replicas of which at most one may be in a zone need two zones.
    let apart = |kind: JobKind| {
        revision_status(&move |s| {
            s.tasks = 2;
            s.kind = kind;
            s.spread = true;
        })
    };
    assert!(apart(JobKind::Service).is_some() && apart(JobKind::Gang).is_some());
    assert!(apart(JobKind::Array).is_none());
}

/// A key-value store that holds a few keys: enough for what the intake asks of it.
#[derive(Default)]
pub(crate) struct StandIn {
    pub keys: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    pub away: bool,
}

impl StandIn {
    fn answer(&mut self, request: &Request) -> Response {
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
        let stands = |c: &Value| {
            let found = self.keys.get(&text(&c["key"])).map_or(0, |k| k.1);
            c["amendment"].as_u64() == Some(found)
        };
        let failed: Vec<String> = list("if")
            .iter()
            .filter(|c| !stands(c))
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

pub(crate) struct Scene {
    pub state: Rc<RefCell<StandIn>>,
    addr: SocketAddr,
    _served: Scope,
}

impl Scene {
    pub(crate) fn new() -> Self {
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

    /// The intake of a controller that has just started: its watch cache knows of no job, and of the
    /// machine types only if it is told.
    pub(crate) fn api(&self, types: bool) -> (JobApi, Receiver<Cancellation>) {
        let config = sample_config();
        let mut limits = config.state;
        limits.rates.requests = 1e4;
        limits.rates.changes = 1e4;
        limits.least_rates = limits.rates;
        let store = Store::new(self.addr, &limits, 1.0, 1 << 20, Instant::now());
        let mut controller = Controller::new(&config, crate::ids::Incarnation(1));
        let mut cache = WatchCache::new(&config);
        if types {
            cache.load(crate::protocol::store::Item {
                key: keys::CATALOG.to_owned(),
                value: serde_json::to_value(catalog()).expect("json"),
                revision: Revision(1),
                lease: None,
            });
        }
        controller.on_snapshot(crate::ids::MonotonicTime(1), cache);
        let (asked, cancellations) = channel();
        let controller = Rc::new(RefCell::new(controller));
        let api = JobApi::new(&config, Rc::new(store), controller, asked);
        (api, cancellations)
    }
}

impl Scene {
    /// Brings a controller's watch cache up to what the key-value store holds, as the stream does.
    pub(crate) fn catch_up(&self, api: &JobApi) {
        let state = self.state.borrow();
        let live = |(key, _): &(&String, _)| key.starts_with(keys::LIVE);
        let mut cache = WatchCache::new(&api.config);
        for (key, (value, revision)) in state.keys.iter().filter(live) {
            cache.load(crate::protocol::store::Item {
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
        controller.on_snapshot(crate::ids::MonotonicTime(1), cache);
    }
}

pub(crate) fn body(id: &str, change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut body = crate::protocol::tests::submission(id);
    change(&mut body);
    body.to_string().into_bytes()
}

pub(crate) fn stand(response: &Response) -> (u16, String) {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let standing = body["standing"].as_str().unwrap_or_default();
    (response.status, standing.to_owned())
}

/// What is refused for good, what has to come again, and what was accepted once: at a controller
/// that accepted it, at one that knows nothing yet, and while nothing can be read.
#[test]
fn bad_requests_are_told_from_repeats_of_accepted_jobs_at_every_controller() {
    runtime::run(async {
        let scene = Scene::new();
        let (first, _kept) = scene.api(true);
        let (fresh, _kept_too) = scene.api(false);
        let whole = body("job-1", |_| ());
        let lacking = |id: &str| {
            body(id, |b| {
                b.as_object_mut().expect("object").remove("crew");
            })
        };
        let unknown_team = |id: &str| body(id, |b| b["crew"] = json!("green"));
        assert_eq!(first.submit(&lacking("job-1")).await.status, 400);
        assert_eq!(first.submit(&unknown_team("job-1")).await.status, 422);
        assert_eq!(first.submit(b"{").await.status, 400);
        // Machine types are not known there: it can't tell, and says so at once.
        let retry_later = fresh.submit(&whole).await;
        assert_eq!(
            (retry_later.status, retry_later.retry_after),
            (503, Some(RETRY_AFTER_S))
        );
        assert_eq!(first.submit(&whole).await.status, 201);
        for repeat in [&whole, &lacking("job-1"), &unknown_team("job-1")] {
            let answer = first.submit(repeat).await;
            assert_eq!(stand(&answer), (200, "pending".into()));
        }
        // One that knows no machine types recognises the id all the same, or has it come again.
        let answer = fresh.submit(&lacking("job-1")).await;
        assert_eq!(stand(&answer), (200, "pending".into()));
        assert_eq!(fresh.submit(&unknown_team("job-1")).await.status, 503);
        for api in [&first, &fresh] {
            assert_eq!(api.poll("job-1").await.status, 200);
            assert_eq!(api.poll("job-2").await.status, 404);
            assert_eq!(api.submit(&lacking("job-2")).await.status, 400);
        }
        scene.state.borrow_mut().away = true;
        for api in [&first, &fresh] {
            assert_eq!(api.submit(&lacking("job-1")).await.status, 503);
            assert_eq!(api.poll("job-1").await.status, 503);
            assert_eq!(api.poll("job-3").await.status, 503);
        }
    })
    .expect("loop");
}

/// Nobody hears of a cancellation before its tasks are gone, by whatever way they ask; then at once.
#[test]
fn a_cancellation_is_answered_by_nobody_before_its_tasks_are_gone() {
    runtime::run(async {
        let scene = Scene::new();
        let (first, mut asked) = scene.api(true);
        let (other, mut asked_there) = scene.api(true);
        assert_eq!(first.submit(&body("job-1", |_| ())).await.status, 201);
        let gone = Rc::new(std::cell::Cell::new(false));
        let answer = |mut asked: Receiver<Cancellation>| {
            let gone = gone.clone();
            async move {
                while let Some(cancellation) = asked.recv().await {
                    cancellation.settled.send(gone.get());
                }
            }
        };
        assert!(asked.try_recv().is_none() && asked_there.try_recv().is_none());
        let mut scope = Scope::default();
        scope.spawn(answer(asked));
        scope.spawn(answer(asked_there));
        for api in [&first, &other, &first] {
            let refused = api.cancel("job-1").await;
            assert_eq!(
                (refused.status, refused.retry_after),
                (503, Some(RETRY_AFTER_S))
            );
            assert_eq!(api.poll("job-1").await.status, 503);
            assert_eq!(api.submit(&body("job-1", |_| ())).await.status, 503);
        }
        gone.set(true);
        scene.catch_up(&first);
        scene.catch_up(&other);
        // In an outage too, where the record was read before.
        scene.state.borrow_mut().away = true;
        for api in [&first, &other] {
            assert_eq!(stand(&api.cancel("job-1").await), (200, "withdrawn".into()));
        }
        gone.set(false);
        for api in [&first, &other] {
            assert_eq!(stand(&api.poll("job-1").await), (200, "withdrawn".into()));
        }
    })
    .expect("loop");
}
