//! Five controllers that share a key-value store at its published rates, in virtual time, while
//! placements ask for most of the requests there are.

use super::{StandIn, catch_up, controller_api};
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

/// How many controllers share the store.
pub(crate) const CONTROLLERS: usize = 5;
/// The share of each in the store's rates, as the daemon gives it.
const RATE_SHARE: f64 = 1.3 / CONTROLLERS as f64;
const REQUESTS_PER_S: f64 = 200.0;
const CHANGES_PER_S: f64 = 80.0;
const MAX_WATCH_DELAY: Duration = Duration::from_millis(120);
/// Ends of jobs that each controller writes.
const END_INTERVAL: Duration = Duration::from_millis(500);

/// What is asked of the store, and how fast it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The time between two placements of a controller.
    pub(crate) placement_interval: Duration,
    /// The time that the store takes to answer.
    pub(crate) store_latency: Duration,
    /// The part of the time in which the store answers every request with an error, in one outage
    /// in each half minute.
    pub(crate) outage_part: f64,
    /// The controller that the store refuses all the time, if any.
    pub(crate) refused_controller: Option<usize>,
}

impl Default for Load {
    /// A controller's placements ask for four fifths of its requests.
    fn default() -> Self {
        Self {
            placement_interval: Duration::from_millis(24),
            store_latency: Duration::from_millis(3),
            outage_part: 0.0,
            refused_controller: None,
        }
    }
}

/// The store has an outage in each of these.
const OUTAGE_PERIOD: Duration = Duration::from_secs(30);
/// The store, the controllers and their load.
pub(crate) struct BusyCluster {
    /// What the store holds.
    pub(crate) state: Rc<RefCell<StandIn>>,
    /// Ends of jobs that were written.
    pub(crate) written_ends: Rc<Cell<u64>>,
    controllers: RefCell<Vec<BusyController>>,
    config: Config,
    load: Load,
    answers: FakeTransport,
    started: Instant,
}

/// A controller and what else it asks of the store.
struct BusyController {
    api: Rc<JobApi>,
    _background: Scope,
}

impl BusyCluster {
    /// Starts controllers that have just come back: their watch caches show the live jobs, and no
    /// final state was read yet. Both kinds of jobs are stored first.
    pub(crate) fn start(load: Load, live: &[JobId], ended: &[JobId]) -> Self {
        let mut config = sample_config();
        config.store_limits.rates.requests = REQUESTS_PER_S;
        config.store_limits.rates.writes = CHANGES_PER_S;
        config.store_limits.min_rates = config.store_limits.rates;
        let state = Rc::new(RefCell::new(StandIn::default()));
        store_jobs(&mut state.borrow_mut(), live, ended);
        let started = runtime::now();
        let cluster = Self {
            answers: rate_limited(state.clone(), load, started),
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

    /// Ends all controllers, if there are any, and starts new ones.
    pub(crate) fn restart_controllers(&self) {
        let controllers = (0..CONTROLLERS).map(|index| self.start_controller(index));
        self.controllers.replace(controllers.collect());
    }

    /// A controller by its number.
    pub(crate) fn controller(&self, index: usize) -> Rc<JobApi> {
        self.controllers.borrow()[index].api.clone()
    }

    /// Whether a job's final state is on record.
    pub(crate) fn has_ended(&self, job: &JobId) -> bool {
        let key = keys::final_state(job);
        self.state.borrow().keys.contains_key(&key)
    }

    fn start_controller(&self, index: usize) -> BusyController {
        let answers = match self.load.refused_controller == Some(index) {
            true => refusing(self.load.store_latency),
            false => self.answers.clone(),
        };
        let client = Client::with_fake_transport(answers);
        let (addr, limits) = (self.config.store_addr, &self.config.store_limits);
        let store = StoreClient::with_client(client, addr, limits, RATE_SHARE, self.started);
        let (api, mut cancellations) = controller_api(&self.config, store, true);
        catch_up(&self.state.borrow(), &api);
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
fn store_jobs(state: &mut StandIn, live: &[JobId], ended: &[JobId]) {
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

/// Answers for the store after its latency, or with 429 above its rate of requests.
fn rate_limited(state: Rc<RefCell<StandIn>>, load: Load, started: Instant) -> FakeTransport {
    let bucket = Rc::new(RefCell::new(TokenBucket::new(REQUESTS_PER_S)));
    Rc::new(move |request: Request| {
        let elapsed = runtime::now() - started;
        let now = MonotonicTime(elapsed.as_millis() as u64);
        let admitted = bucket
            .borrow_mut()
            .try_acquire(now, 1.0, RequestClass::Accept);
        let in_period = elapsed.as_secs_f64() % OUTAGE_PERIOD.as_secs_f64();
        let is_away = in_period < load.outage_part * OUTAGE_PERIOD.as_secs_f64();
        let answer = match request.target.as_str() {
            _ if is_away => Response::error(503, "trouble"),
            _ if !admitted => Response::error(429, "too many requests"),
            path if path.starts_with("/grants") => Response::json(200, &()),
            _ => state.borrow_mut().answer(&request),
        };
        Box::pin(async move {
            runtime::sleep(load.store_latency).await;
            answer
        })
    })
}

/// Answers for a store that does not serve a controller.
fn refusing(latency: Duration) -> FakeTransport {
    Rc::new(move |_| {
        Box::pin(async move {
            runtime::sleep(latency).await;
            Response::error(503, "trouble")
        })
    })
}

/// Follows the changes, as often as the daemon does.
async fn watch(store: Rc<StoreClient>) {
    loop {
        // The answer is not used here, but its request counts.
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

/// Asks for placements. Each one that is refused is dropped.
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

/// Writes ends of jobs, and counts those that the store has taken.
async fn end_jobs(store: Rc<StoreClient>, written: Rc<Cell<u64>>) {
    let mut txn = Txn::default();
    txn.put("over/job-900000".to_owned(), &1, None);
    loop {
        runtime::sleep(END_INTERVAL).await;
        let outcome = store.txn(RequestClass::Accept, &txn).await;
        if matches!(outcome, TxnOutcome::Committed(_)) {
            written.set(written.get() + 1);
        }
    }
}
