//! Three controllers that share a key-value store, in virtual time. Each has its own watch and links to
//! the others. Requests, responses and messages take drawn times, and some are held back.

use super::{FakeStore, controller_api, generous_limits};
use crate::api::{ControllerDriver, JobApi, confirm_cancellations};
use crate::config::Config;
use crate::config::tests::sample;
use crate::controller::{Controller, Effect};
use crate::http::{Client, FakeTransport, Request, Response};
use crate::ids::{MemberId, MonotonicTime, Revision};
use crate::peers::Message;
use crate::runtime::{self, Scope};
use crate::store::{StoreClient, keys};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of controllers that share the store.
pub(crate) const CONTROLLERS: usize = 3;
/// The delay of most requests, responses and messages, in ms.
const USUAL_DELAY_MS: Range<u64> = 0..8;
/// The delay of responses that are held back, in ms. The longest is shorter than the timeout of a call.
const HELD_DELAY_MS: Range<u64> = 20..1450;
/// The delay between two requests of a watch, in ms.
const WATCH_DELAY_MS: Range<u64> = 30..120;

/// The troubles of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Troubles {
    /// The part of the store's responses that are held back.
    pub(crate) held_responses: f64,
    /// The part of the messages between controllers that are held back.
    pub(crate) held_messages: f64,
    /// The links on which all messages are lost: sender and receiver.
    pub(crate) cut_links: Vec<(usize, usize)>,
    /// A controller that the store refuses, if any.
    pub(crate) refused_controller: Option<usize>,
}

/// The store, the controllers, and what lies between them.
pub(crate) struct DelayedCluster {
    /// The store that the controllers share.
    pub(crate) store: Rc<RefCell<FakeStore>>,
    network: Rc<Network>,
    _routines: Scope,
}

/// The network between the controllers and the store.
struct Network {
    store: Rc<RefCell<FakeStore>>,
    random: RefCell<StdRng>,
    troubles: Troubles,
    /// For each controller, the delay of its next comparison's response, if a test has set one.
    next_comparison_delay: [Cell<Option<Duration>>; CONTROLLERS],
    controllers: RefCell<Vec<TestController>>,
}

/// A controller with its API.
#[derive(Clone)]
struct TestController {
    index: usize,
    api: Rc<JobApi>,
    started_at: Instant,
    network: Rc<Network>,
}

impl ControllerDriver for TestController {
    fn drive<T>(
        &self,
        input: impl FnOnce(&mut Controller, MonotonicTime) -> (T, Vec<Effect>),
    ) -> T {
        let elapsed = runtime::now() - self.started_at;
        let now = MonotonicTime(elapsed.as_millis() as u64);
        let (result, effects) = input(&mut self.api.controller.borrow_mut(), now);
        for effect in effects {
            // The cluster has no workers and no cloud.
            if let Effect::SendToPeer(member, message) = effect {
                self.network.send(self.index, &member, message);
            }
        }
        result
    }
}

/// Returns all links between the controllers: sender and receiver.
pub(crate) fn all_links() -> impl Iterator<Item = (usize, usize)> {
    (0..CONTROLLERS).flat_map(|from| (0..CONTROLLERS).map(move |to| (from, to)))
}

fn member(index: usize) -> MemberId {
    MemberId::from(format!("c{index}").as_str())
}

/// Returns the configuration of one of the controllers.
fn config_of(index: usize) -> Config {
    let others = (0..CONTROLLERS).filter(|other| *other != index);
    let others = others.map(|other| {
        let addr = format!("127.0.0.1:{}", 10 + other);
        json!({"member": member(other).as_str(), "area": "a", "addr": addr})
    });
    let mut settings = sample();
    settings["member"] = json!(member(index).as_str());
    settings["others"] = others.collect();
    Config::parse(&settings.to_string()).expect("valid settings")
}

impl Network {
    fn draw(&self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.borrow_mut().random_range(range))
    }

    fn draw_delay(&self, held_share: f64) -> Duration {
        let is_held = self.random.borrow_mut().random_bool(held_share);
        self.draw(if is_held {
            HELD_DELAY_MS
        } else {
            USUAL_DELAY_MS
        })
    }

    /// Sends a message to another controller.
    fn send(self: &Rc<Self>, from: usize, to: &MemberId, message: Message) {
        let receivers = self.controllers.borrow();
        let receiver = receivers.iter().find(|c| member(c.index) == *to).cloned();
        let Some(receiver) = receiver else {
            return;
        };
        if self.troubles.cut_links.contains(&(from, receiver.index)) {
            return;
        }
        let delay = self.draw_delay(self.troubles.held_messages);
        runtime::spawn(async move {
            runtime::sleep(delay).await;
            receiver.drive(|controller, now| {
                ((), controller.on_peer_message(now, &member(from), message))
            });
        });
    }

    /// Carries out a request of a controller to the store, and returns the response later.
    async fn call_store(self: Rc<Self>, from: usize, request: Request) -> Response {
        runtime::sleep(self.draw(USUAL_DELAY_MS)).await;
        if self.troubles.refused_controller == Some(from) {
            return Response::error(503, "trouble");
        }
        let response = self.store.borrow_mut().respond(&request);
        let set_delay = match is_comparison(&request) {
            true => self.next_comparison_delay[from].take(),
            false => None,
        };
        let delay = set_delay.unwrap_or_else(|| self.draw_delay(self.troubles.held_responses));
        runtime::sleep(delay).await;
        response
    }

    fn transport(self: &Rc<Self>, from: usize) -> FakeTransport {
        let network = self.clone();
        Rc::new(move |request| Box::pin(network.clone().call_store(from, request)))
    }
}

/// Returns whether a request is a transaction without changes.
fn is_comparison(request: &Request) -> bool {
    let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    request.target == "/txn" && body["then"].as_array().is_none_or(Vec::is_empty)
}

impl DelayedCluster {
    /// Starts the controllers. All delays are drawn from the seed.
    pub(crate) fn start(seed: u64, troubles: Troubles) -> Rc<Self> {
        let store = Rc::<RefCell<FakeStore>>::default();
        let network = Rc::new(Network {
            store: store.clone(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            troubles,
            next_comparison_delay: Default::default(),
            controllers: RefCell::default(),
        });
        let mut routines = Scope::default();
        for index in 0..CONTROLLERS {
            start_controller(&network, index, &mut routines);
        }
        Rc::new(Self {
            store,
            network,
            _routines: routines,
        })
    }

    /// Returns the API of a controller.
    pub(crate) fn api(&self, index: usize) -> Rc<JobApi> {
        self.network.controllers.borrow()[index].api.clone()
    }

    /// Draws a number.
    pub(crate) fn random(&self, range: Range<u64>) -> u64 {
        self.network.random.borrow_mut().random_range(range)
    }

    /// Waits for a drawn time in ms.
    pub(crate) async fn pause(&self, range: Range<u64>) {
        runtime::sleep(self.network.draw(range)).await;
    }

    /// Sets by how much the response to a controller's next comparison is held back.
    pub(crate) fn hold_next_comparison(&self, index: usize, delay: Duration) {
        self.network.next_comparison_delay[index].set(Some(delay));
    }

    /// Waits as long as a message between two controllers takes. Returns `false` if it is lost.
    pub(crate) async fn cross_link(&self, from: usize, to: usize) -> bool {
        let troubles = &self.network.troubles;
        let delay = self.network.draw_delay(troubles.held_messages);
        runtime::sleep(delay).await;
        !troubles.cut_links.contains(&(from, to))
    }

    /// Returns the controller that the store refuses, if any.
    pub(crate) fn refused_controller(&self) -> Option<usize> {
        self.network.troubles.refused_controller
    }
}

impl Drop for DelayedCluster {
    fn drop(&mut self) {
        // The controllers refer to the network.
        self.network.controllers.borrow_mut().clear();
    }
}

fn start_controller(network: &Rc<Network>, index: usize, routines: &mut Scope) {
    let config = config_of(index);
    let limits = generous_limits(&config);
    let client = Client::with_fake_transport(network.transport(index));
    let started_at = runtime::now();
    let store = StoreClient::with_client(client, config.store_addr, &limits, 1.0, started_at);
    let (api, cancellations) = controller_api(&config, store, true);
    let controller = TestController {
        index,
        api: Rc::new(api),
        started_at,
        network: network.clone(),
    };
    routines.spawn(watch(controller.clone()));
    routines.spawn(confirm_cancellations(controller.clone(), cancellations));
    network.controllers.borrow_mut().push(controller);
}

/// Applies the store's changes to a controller's watch cache.
async fn watch(controller: TestController) {
    let mut revision = Revision(0);
    let store = controller.api.store.clone();
    loop {
        let changes = store.watch(keys::LIVE_PREFIX, revision, Duration::ZERO);
        if let Ok(changes) = changes.await {
            revision = revision.max(changes.revision);
            controller.drive(|controller, now| {
                let (effects, _) = controller.on_events(now, changes.revision, changes.events);
                ((), effects)
            });
        }
        runtime::sleep(controller.network.draw(WATCH_DELAY_MS)).await;
    }
}
