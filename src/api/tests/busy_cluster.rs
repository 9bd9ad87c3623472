//! Five controllers that share a key-value store with rate limits, in virtual time, while
//! placements use most of the request rate.

use super::{FakeStore, controller_api, sync_watch_cache};
use crate::api::JobApi;
use crate::config::Config;
use crate::config::tests::sample_config;
use crate::http::{Client, FakeTransport, Request, Response};
use crate::ids::{JobId, MonotonicTime, Revision};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::runtime::{self, Scope};
use crate::store::rate_limiter::{RequestClass, TokenBucket};
use crate::store::records::JobRecord;
use crate::store::{StoreClient, TxnOutcome, keys};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of controllers that share the store.
pub(crate) const CONTROLLERS: usize = 5;
/// The share of each controller in the store's rates, as the daemon sets it.
const RATE_SHARE: f64 = 1.3 / CONTROLLERS as f64;
/// The store's limit of requests per second. The store refuses requests beyond it.
const MAX_REQUESTS_PER_S: f64 = 200.0;
/// The store's limit of writes per second as the controllers are configured. The store itself does not
/// enforce it.
const MAX_WRITES_PER_S: f64 = 80.0;
const MAX_WATCH_DELAY: Duration = Duration::from_millis(120);
/// The interval at which each controller writes the end of a job.
const JOB_END_INTERVAL: Duration = Duration::from_millis(500);

/// The load on the store, and the store's latency and outages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The interval between two placements of a controller.
    pub(crate) placement_interval: Duration,
    /// The latency of the store's responses.
    pub(crate) store_latency: Duration,
    /// The fraction of time in which the store answers every request with an error, in one outage
    /// per half minute.
    pub(crate) outage_fraction: f64,
    /// The index of a controller whose requests the store always refuses, if any.
    pub(crate) refused_controller: Option<usize>,
}

impl Default for Load {
    /// A load in which a controller's placements use four fifths of its request rate.
    fn default() -> Self {
        Self {
            placement_interval: Duration::from_millis(24),
            store_latency: Duration::from_millis(3),
            outage_fraction: 0.0,
            refused_controller: None,
        }
    }
}

/// The interval between the starts of two outages.
const OUTAGE_PERIOD: Duration = Duration::from_secs(30);
/// A store, controllers and their load.
pub(crate) struct BusyCluster {
    /// The fake store.
    pub(crate) state: Rc<RefCell<FakeStore>>,
    /// The number of job ends that were written.
    pub(crate) written_ends: Rc<Cell<u64>>,
    controllers: RefCell<Vec<BusyController>>,
    config: Config,
    load: Load,
    transport: FakeTransport,
    started: Instant,
}

/// A controller and the tasks that produce its other store requests.
struct BusyController {
    api: Rc<JobApi>,
    _background: Scope,
}

impl BusyCluster {
    /// Stores live and ended jobs and starts controllers as after a restart: their watch caches
    /// show the live jobs, and no final state is cached.
    pub(crate) fn start(load: Load, live: &[JobId], ended: &[JobId]) -> Self {
        let mut config = sample_config();
        config.store_limits.rates.requests = MAX_REQUESTS_PER_S;
        config.store_limits.rates.writes = MAX_WRITES_PER_S;
        config.store_limits.min_rates = config.store_limits.rates;
        let state = Rc::new(RefCell::new(FakeStore::default()));
        store_jobs(&mut state.borrow_mut(), live, ended);
        let started = runtime::now();
        let cluster = Self {
            transport: rate_limited_transport(state.clone(), load, started),
            state,
            written_ends: Rc::default(),
            controllers: RefCell::default(),
            config,
            load,
            started,
        };
        cluster.restart_controllers();
        cluster
    }

    /// Stops all controllers, if there are any, and starts new ones.
    pub(crate) fn restart_controllers(&self) {
        let controllers = (0..CONTROLLERS).map(|index| self.start_controller(index));
        self.controllers.replace(controllers.collect());
    }

    /// Returns the API of a controller by its index.
    pub(crate) fn controller(&self, index: usize) -> Rc<JobApi> {
        self.controllers.borrow()[index].api.clone()
    }

    /// Returns whether the store has a final state of the job.
    pub(crate) fn has_ended(&self, job: &JobId) -> bool {
        let key = keys::final_state(job);
        self.state.borrow().keys.contains_key(&key)
    }

    fn start_controller(&self, index: usize) -> BusyController {
        let transport = match self.load.refused_controller == Some(index) {
            true => unavailable_transport(self.load.store_latency),
            false => self.transport.clone(),
        };
        let client = Client::with_fake_transport(transport);
        let (addr, limits) = (self.config.store_addr, &self.config.store_limits);
        let store = StoreClient::with_client(client, addr, limits, RATE_SHARE, self.started);
        let (api, mut cancellations) = controller_api(&self.config, store, true);
        sync_watch_cache(&self.state.borrow(), &api);
        let api = Rc::new(api);
        let mut background = Scope::default();
        background.spawn(async move {
            while let Some(cancellation) = cancellations.recv().await {
                cancellation.settled.send(true);
            }
        });
        let store = &api.store;
        background.spawn(watch(store.clone()));
        background.spawn(renew_lease(store.clone()));
        background.spawn(place(store.clone(), self.load.placement_interval));
        background.spawn(end_jobs(store.clone(), self.written_ends.clone()));
        BusyController {
            api,
            _background: background,
        }
    }
}

/// Stores live jobs and jobs that have ended.
fn store_jobs(state: &mut FakeStore, live: &[JobId], ended: &[JobId]) {
    for id in live {
        let spec = crate::protocol::tests::submission(id.as_str()).to_string();
        let spec = crate::protocol::JobSpec::parse(spec.as_bytes()).expect("valid");
        let record = JobRecord::new(spec, crate::ids::UnixTime(1));
        state.put(keys::job(id), &record);
    }
    for id in ended {
        state.end(id.as_str(), JobState::Done);
    }
}

/// Returns a transport to the store that adds its latency and answers with 429 above its request
/// rate.
fn rate_limited_transport(
    state: Rc<RefCell<FakeStore>>,
    load: Load,
    started: Instant,
) -> FakeTransport {
    let bucket = Rc::new(RefCell::new(TokenBucket::new(MAX_REQUESTS_PER_S)));
    Rc::new(move |request: Request| {
        let elapsed = runtime::now() - started;
        let now = MonotonicTime(elapsed.as_millis() as u64);
        let admitted = bucket
            .borrow_mut()
            .try_acquire(now, 1.0, RequestClass::Accept);
        let in_period = elapsed.as_secs_f64() % OUTAGE_PERIOD.as_secs_f64();
        let is_away = in_period < load.outage_fraction * OUTAGE_PERIOD.as_secs_f64();
        let answer = match request.target.as_str() {
            _ if is_away => Response::error(503, "trouble"),
            _ if !admitted => Response::error(429, "too many requests"),
            path if path.starts_with("/grants") => Response::json(200, &()),
            // The watch of this cluster only uses up requests.
            path if path.starts_with("/follow") => Response::json(404, &()),
            _ => state.borrow_mut().respond(&request),
        };
        Box::pin(async move {
            runtime::sleep(load.store_latency).await;
            answer
        })
    })
}

/// Returns a transport to a store that refuses every request of a controller.
fn unavailable_transport(latency: Duration) -> FakeTransport {
    Rc::new(move |_| {
        Box::pin(async move {
            runtime::sleep(latency).await;
            Response::error(503, "trouble")
        })
    })
}

/// Watches for changes at the same interval as the daemon.
async fn watch(store: Rc<StoreClient>) {
    loop {
        // The response is not used here, but the request counts towards the rate limit.
        let _ = store
            .watch(keys::LIVE_PREFIX, Revision(0), Duration::ZERO)
            .await;
        runtime::sleep(store.watch_delay(MAX_WATCH_DELAY)).await;
    }
}

async fn renew_lease(store: Rc<StoreClient>) {
    loop {
        let _ = store.renew_lease(crate::ids::LeaseId(1)).await;
        runtime::sleep(Duration::from_secs(1)).await;
    }
}

/// Sends placement transactions. A refused one is not retried.
async fn place(store: Rc<StoreClient>, interval: Duration) {
    let mut txn = Txn::default();
    txn.require(keys::LEADER.to_owned(), Revision(0));
    loop {
        let (store, txn) = (store.clone(), txn.clone());
        runtime::spawn(async move {
            store.txn(RequestClass::Place, &txn).await;
        });
        runtime::sleep(interval).await;
    }
}

/// Writes ends of jobs and counts those that the store has committed.
async fn end_jobs(store: Rc<StoreClient>, written: Rc<Cell<u64>>) {
    let mut txn = Txn::default();
    txn.put("over/job-900000".to_owned(), &1, None);
    loop {
        runtime::sleep(JOB_END_INTERVAL).await;
        let outcome = store.txn(RequestClass::Accept, &txn).await;
        if matches!(outcome, TxnOutcome::Committed(_)) {
            written.set(written.get() + 1);
        }
    }
}
