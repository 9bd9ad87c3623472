//! The state that all routines of a controller process share.

use super::cloud_calls::CloudCalls;
use super::endpoint::ResponseStats;
use super::membership_log::MembershipLog;
use super::peer_store_access::PeerStoreAccess;
use crate::api::{Cancellation, ControllerDriver, JobApi};
use crate::config::Config;
use crate::controller::{Controller, Effect};
use crate::episodes::Episodes;
use crate::http::{Client, Response};
use crate::ids::{Incarnation, MemberId, Millis, MonotonicTime};
use crate::peers::{Links, Message, PendingForwards, RelayRoutes};
use crate::runtime::{Scope, Sender};
use crate::store::StoreClient;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Largest accepted response to a direct command, which is a heartbeat. The size of each of its
/// entries is bounded, but the number of tasks that it lists is not.
const MAX_HEARTBEAT_BYTES: usize = 1024 * 1024;
/// A refused scale-out request that has not been repeated for this time is considered abandoned.
const REFUSED_RENTAL_EXPIRY: Millis = Millis(30_000);
/// Largest number of refused scale-out requests that are tracked at a time. Refusals of further
/// ones are not logged.
const MAX_TRACKED_REFUSED_RENTALS: usize = 1000;
/// Factor by which a controller's share of the key-value store's rates exceeds an even share. It is
/// above 1 because the controllers seldom need their full shares at the same time.
const STORE_RATE_OVERCOMMIT: f64 = 1.3;

/// One controller with its connections to workers, peers, the cloud and the key-value store.
pub(super) struct Node {
    /// The validated settings file.
    pub(super) config: Config,
    /// Identifies this run of the process.
    pub(super) incarnation: Incarnation,
    /// The time at which the node's [`MonotonicTime`] is zero.
    pub(super) started: Instant,
    /// The state machine that makes all decisions. It must not be borrowed across an await point.
    pub(super) controller: Rc<RefCell<Controller>>,
    /// The client of the key-value store.
    pub(super) store: Rc<StoreClient>,
    /// The client for direct commands to workers.
    pub(super) worker_client: Client,
    /// The client of the cloud.
    pub(super) cloud: CloudCalls,
    /// Outgoing links to the peers.
    pub(super) links: Links,
    /// Which peers reach each other and this node, for relaying messages around partitions.
    pub(super) relay_routes: RefCell<RelayRoutes>,
    /// The handlers of users' requests.
    pub(super) api: JobApi,
    /// Whether the watch cache has been loaded at least once.
    pub(super) watch_cache_loaded: Cell<bool>,
    /// Which peers reach the key-value store.
    pub(super) peer_store_access: PeerStoreAccess,
    /// Requests that were forwarded to peers and have no response yet.
    pub(super) pending_forwards: RefCell<PendingForwards<Sender<Response>>>,
    /// Counts and latencies of HTTP responses.
    pub(super) response_stats: ResponseStats,
    /// The leader and the shard owners that were logged last.
    pub(super) membership_log: RefCell<MembershipLog>,
    /// Scale-out requests that the cloud has refused or not answered and that are still repeated,
    /// by request id.
    pub(super) refused_rentals: RefCell<Episodes<String>>,
}

impl Node {
    /// Creates a node whose links to its peers run in `scope`. Each cancellation that must be
    /// confirmed is sent to `cancellations`.
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
            STORE_RATE_OVERCOMMIT / f64::from(config.controller_count.max(2)),
            config.max_response_bytes,
            started,
        ));
        let controller = Rc::new(RefCell::new(Controller::new(&config, incarnation)));
        let links = Links::start(&config.member, incarnation, &config.peers, scope);
        Self {
            api: JobApi::new(&config, store.clone(), controller.clone(), cancellations),
            cloud: CloudCalls::new(config.cloud_addr, config.cloud_rps, started),
            worker_client: Client::new(MAX_HEARTBEAT_BYTES, config.max_sockets / 5),
            watch_cache_loaded: Cell::new(false),
            peer_store_access: PeerStoreAccess::default(),
            pending_forwards: RefCell::new(PendingForwards::new(incarnation)),
            response_stats: ResponseStats::default(),
            membership_log: RefCell::default(),
            refused_rentals: RefCell::new(Episodes::new(
                Millis(0),
                REFUSED_RENTAL_EXPIRY,
                MAX_TRACKED_REFUSED_RENTALS,
            )),
            config,
            incarnation,
            started,
            controller,
            store,
            links,
            relay_routes: RefCell::default(),
        }
    }

    /// Returns the time since the node was started.
    pub(super) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    /// Passes an input to the controller and carries out the effects that it returns.
    pub(super) fn update(
        self: &Rc<Self>,
        input: impl FnOnce(&mut Controller, MonotonicTime) -> Vec<Effect>,
    ) {
        self.drive(|controller, now| ((), input(controller, now)));
    }

    /// Sends a message to a peer, directly or, if this node does not reach the peer, through a
    /// relay.
    pub(super) fn send(&self, to: &MemberId, message: Message) {
        let relay = self
            .relay_routes
            .borrow()
            .relay_for(self.now(), to)
            .cloned();
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

    /// Returns whether the load balancer should route users to this node. This does not depend on
    /// whether the key-value store can be reached now. If only this node cannot reach the store, it
    /// forwards requests to a peer; if the store is down, all nodes are equally affected. In both
    /// cases removal by the load balancer would only add the time until the node is routed to
    /// again.
    pub(super) fn is_ready(&self) -> bool {
        self.watch_cache_loaded.get() && self.controller.borrow().cache.catalog.is_some()
    }
}

impl ControllerDriver for Rc<Node> {
    fn drive<T>(
        &self,
        input: impl FnOnce(&mut Controller, MonotonicTime) -> (T, Vec<Effect>),
    ) -> T {
        let (result, effects) = input(&mut self.controller.borrow_mut(), self.now());
        self.execute(effects);
        result
    }
}
