//! The state that all routines of a controller's process share.

use super::cloud_calls::CloudCalls;
use super::endpoint::ResponseStats;
use super::membership_log::MembershipLog;
use super::pending_forwards::PendingForwards;
use super::served_peers::ServedPeers;
use crate::api::{Cancellation, JobApi};
use crate::config::Config;
use crate::controller::{Controller, Effect};
use crate::episodes::Episodes;
use crate::http::Client;
use crate::ids::{Incarnation, MemberId, Millis, MonotonicTime};
use crate::peers::{Links, Message, RelayRoutes};
use crate::runtime::{Scope, Sender};
use crate::store::StoreClient;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Largest heartbeat that is read: a worker's lines are bounded, its list of tasks is not.
const HEARTBEAT_BODY_LIMIT: usize = 1024 * 1024;
/// A scale-out request that is not repeated for so long was given up.
const RENTAL_QUIET_AFTER: Millis = Millis(30_000);
/// More refused scale-out requests are logged one by one no longer.
const MAX_REFUSED_RENTALS: usize = 1000;
/// What a controller may use of the key-value store's rates, in even shares: somewhat more than
/// one, since seldom do all controllers need theirs.
const STORE_RATE_SHARES: f64 = 1.3;

/// One controller with its connections to workers, peers, the cloud and the key-value store.
pub(super) struct Node {
    /// The checked settings file.
    pub(super) config: Config,
    /// This run of the process.
    pub(super) incarnation: Incarnation,
    /// The zero of the node's [`MonotonicTime`].
    pub(super) started: Instant,
    /// All decisions; never borrowed across an await point.
    pub(super) controller: Rc<RefCell<Controller>>,
    /// The client of the key-value store.
    pub(super) store: Rc<StoreClient>,
    /// The client for direct commands to workers.
    pub(super) workers: Client,
    /// The client of the cloud.
    pub(super) cloud: CloudCalls,
    /// Outgoing links to the peers.
    pub(super) links: Links,
    /// Which peers reach each other and this node.
    pub(super) routes: RefCell<RelayRoutes>,
    /// The users' requests.
    pub(super) api: JobApi,
    /// Whether the watch cache has been loaded once.
    pub(super) loaded: Cell<bool>,
    /// Peers that the key-value store serves.
    pub(super) served_peers: ServedPeers,
    /// Requests that peers were asked to answer.
    pub(super) pending_forwards: PendingForwards,
    /// Counts and latencies of HTTP responses.
    pub(super) response_stats: ResponseStats,
    /// The last leader and shard owners that were logged.
    pub(super) membership_log: RefCell<MembershipLog>,
    /// Scale-out requests that the cloud goes on refusing, by their names.
    pub(super) refused_rentals: RefCell<Episodes<String>>,
}

impl Node {
    /// A node whose links to its peers run in `scope`. Each cancellation that must be confirmed
    /// goes to `cancellations`.
    pub(super) fn new(
        config: Config,
        cancellations: Sender<Cancellation>,
        scope: &mut Scope,
    ) -> Self {
        let started = Instant::now();
        let incarnation = Incarnation(rand::random::<u64>() >> 1);
        let store = Rc::new(StoreClient::new(
            config.store_addr,
            &config.store_limits,
            STORE_RATE_SHARES / f64::from(config.controller_count.max(2)),
            config.max_response_bytes,
            started,
        ));
        let controller = Rc::new(RefCell::new(Controller::new(&config, incarnation)));
        let links = Links::start(&config.member, incarnation, &config.peers, scope);
        Self {
            api: JobApi::new(&config, store.clone(), controller.clone(), cancellations),
            cloud: CloudCalls::new(config.cloud_addr, config.cloud_rps, started),
            workers: Client::new(HEARTBEAT_BODY_LIMIT, config.max_sockets / 5),
            loaded: Cell::new(false),
            served_peers: ServedPeers::default(),
            pending_forwards: PendingForwards::default(),
            response_stats: ResponseStats::default(),
            membership_log: RefCell::default(),
            refused_rentals: RefCell::new(Episodes::new(
                Millis(0),
                RENTAL_QUIET_AFTER,
                MAX_REFUSED_RENTALS,
            )),
            config,
            incarnation,
            started,
            controller,
            store,
            links,
            routes: RefCell::default(),
        }
    }

    /// Milliseconds since the node was started.
    pub(super) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    /// Gives the controller an input and carries out the effects that it returns.
    pub(super) fn update(
        self: &Rc<Self>,
        input: impl FnOnce(&mut Controller, MonotonicTime) -> Vec<Effect>,
    ) {
        self.update_and_get(|controller, now| ((), input(controller, now)));
    }

    /// The same for an input that also has a result.
    pub(super) fn update_and_get<T>(
        self: &Rc<Self>,
        input: impl FnOnce(&mut Controller, MonotonicTime) -> (T, Vec<Effect>),
    ) -> T {
        let (result, effects) = input(&mut self.controller.borrow_mut(), self.now());
        self.execute(effects);
        result
    }

    /// Sends a message to a peer: directly, or through one that reaches it when this node does not.
    pub(super) fn send(&self, to: &MemberId, message: Message) {
        let relay = self.routes.borrow().relay_for(self.now(), to).cloned();
        match relay {
            None => self.links.send(to, message),
            Some(relay) => {
                let message = Message::Relay {
                    to: to.clone(),
                    from: self.config.member.clone(),
                    message: Box::new(message),
                };
                self.links.send(&relay, message);
            }
        }
    }

    /// Whether users are served here. A node that alone can't reach the key-value store forwards
    /// requests to a peer, and in an outage of the store no node is better than another: in both
    /// cases leaving the load balancer's sight would only cost the time until it is seen again.
    pub(super) fn is_ready(&self) -> bool {
        self.loaded.get() && self.controller.borrow().cache.catalog.is_some()
    }
}
