//! The process: sockets, routines and clocks around the decisions.

mod cancellation_waits;
mod cloud_calls;
mod forwarding;
mod http_routes;

use crate::api::JobApi;
use crate::config::Config;
use crate::controller::{Controller, Effect, TxnRequester};
use crate::http::{self, Client, Failure, Method};
use crate::ids::{FencingToken, Incarnation, MachineId, MonotonicTime, UnixTime, WorkerEpoch};
use crate::leadership::keep_lease;
use crate::peers::{Links, Message, RelayRoutes, listen};
use crate::protocol::store::Txn;
use crate::protocol::{self, Command, Heartbeat, path};
use crate::runtime::{self, Scope, TcpListener, channel};
use crate::store::records::ProgramVersion;
use crate::store::watch_cache::WatchCache;
use crate::store::{Store, StoreError, keys};
use crate::worker_control::DirectCallOutcome;
use cloud_calls::CloudCalls;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_WATCH_DELAY: Duration = Duration::from_millis(120);
const PEER_STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// Largest heartbeat that is read: a worker's lines are bounded, its list of tasks is not.
const HEARTBEAT_BODY_LIMIT: usize = 1024 * 1024;

pub(crate) struct Node {
    config: Config,
    incarnation: Incarnation,
    started: Instant,
    controller: Rc<RefCell<Controller>>,
    store: Rc<Store>,
    workers: Client,
    cloud: CloudCalls,
    links: Links,
    routes: RefCell<RelayRoutes>,
    api: JobApi,
    loaded: Cell<bool>,
    /// When a peer last said that the key-value store serves it.
    peers_served: RefCell<BTreeMap<crate::ids::Member, Instant>>,
    forwarded: forwarding::ForwardedRequests,
    stats: http_routes::ResponseStats,
}

/// Runs a controller until the process is ended.
pub fn run(config: Config) -> std::io::Result<()> {
    runtime::run(async move {
        if let Err(error) = start(config).await {
            tracing::error!(%error, "cannot start");
            std::process::exit(1);
        }
    })
}

async fn start(config: Config) -> std::io::Result<()> {
    let public = TcpListener::bind(config.listen)?;
    let peer = TcpListener::bind(config.peer_listen)?;
    let started = Instant::now();
    let incarnation = Incarnation(rand::random::<u64>() >> 1);
    let mut scope = Scope::default();
    // Every controller may use somewhat more than its even share: seldom do all need theirs.
    let share = 1.3 / f64::from(config.controllers.max(2));
    let store = Rc::new(Store::new(
        config.state_addr,
        &config.state,
        share,
        config.answer_bytes,
        started,
    ));
    let controller = Rc::new(RefCell::new(Controller::new(&config, incarnation)));
    let (cancellation_waits, told) = channel();
    let links = Links::start(&config.member, incarnation, &config.peers, &mut scope);
    let node = Rc::new(Node {
        api: JobApi::new(
            &config,
            store.clone(),
            controller.clone(),
            cancellation_waits,
        ),
        cloud: CloudCalls::new(config.cloud_addr, config.cloud_rps, started),
        workers: Client::new(HEARTBEAT_BODY_LIMIT, config.sockets / 5),
        loaded: Cell::new(false),
        peers_served: RefCell::default(),
        forwarded: forwarding::ForwardedRequests::default(),
        stats: http_routes::ResponseStats::default(),
        config,
        incarnation,
        started,
        controller,
        store,
        links,
        routes: RefCell::default(),
    });
    let version = ProgramVersion::CURRENT.0;
    tracing::info!(member = %node.config.member, %incarnation, version, "controller started");
    scope.spawn(maintain_lease(node.clone()));
    scope.spawn(watch_store(node.clone()));
    scope.spawn(tick_loop(node.clone()));
    scope.spawn(publish_peer_status(node.clone()));
    scope.spawn(cancellation_waits::tell(node.clone(), told));
    let heard = node.clone();
    scope.spawn(listen(
        peer,
        Rc::new(move |from, message| heard.on_peer(&from, message)),
    ));
    let limit = node.config.sockets * 6 / 10;
    let routed = node.clone();
    http::serve(public, limit, move |request| {
        http_routes::route(routed.clone(), request)
    })
    .await;
    Ok(())
}

async fn maintain_lease(node: Rc<Node>) {
    // Whoever holds a lease is given shards: not before the watch cache shows what is in them.
    while !node.loaded.get() {
        runtime::sleep(Duration::from_millis(10)).await;
    }
    let life = {
        let node = node.clone();
        move || {
            node.controller
                .borrow()
                .cache
                .settings()
                .lease()
                .to_duration()
        }
    };
    let told = node.clone();
    let assured = node.clone();
    keep_lease(
        node.store.clone(),
        node.config.member.clone(),
        node.incarnation,
        life,
        move |lease| {
            tracing::info!(held = lease.is_some(), "lease");
            let effects = told.controller.borrow_mut().set_lease(told.now(), lease);
            told.execute(effects);
        },
        move |until| {
            let until = until.saturating_duration_since(assured.started);
            let until = MonotonicTime(until.as_millis() as u64);
            assured.controller.borrow_mut().set_lease_deadline(until);
        },
    )
    .await;
}

/// Keeps the watch cache: a snapshot, then the stream of changes; anew when the stream is lost.
async fn watch_store(node: Rc<Node>) {
    loop {
        match snapshot(&node.store, &node.config).await {
            Ok(cache) => {
                let mut revision = cache.revision;
                tracing::info!(%revision, jobs = cache.jobs.len(), machines = cache.machines.len(), "watch cache loaded");
                node.loaded.set(true);
                let effects = node.controller.borrow_mut().on_snapshot(node.now(), cache);
                node.execute(effects);
                loop {
                    match node.store.watch(keys::LIVE, revision, WATCH_TIMEOUT).await {
                        Ok(events) => {
                            revision = revision.max(events.revision);
                            let (effects, _) = node.controller.borrow_mut().on_events(
                                node.now(),
                                events.revision,
                                events.events,
                            );
                            node.execute(effects);
                            // Each answer costs a request: the fewer are left, the more changes
                            // gather for the next one.
                            runtime::sleep(node.store.watch_delay(MAX_WATCH_DELAY)).await;
                        }
                        Err(StoreError::Gone) => break,
                        Err(StoreError::Unavailable) => {
                            runtime::sleep(Duration::from_millis(200)).await;
                        }
                    }
                }
            }
            Err(error) => {
                tracing::debug!(%error, "watch cache not loaded");
                runtime::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// Reads everything. Pages may be of different revisions: following from the first one's brings
/// whatever changed in between.
async fn snapshot(store: &Store, config: &Config) -> Result<WatchCache, StoreError> {
    let mut cache = WatchCache::new(config);
    let mut first = None;
    let mut after: Option<String> = None;
    loop {
        let page = store.page(keys::LIVE, after.as_deref()).await?;
        first.get_or_insert(page.revision);
        after = page.items.last().map(|i| i.key.clone());
        let more = page.more && after.is_some();
        for item in page.items {
            cache.load(item);
        }
        if !more {
            break;
        }
    }
    cache.revision = first.unwrap_or_default();
    Ok(cache)
}

async fn tick_loop(node: Rc<Node>) {
    loop {
        let now = node.now();
        let at = node.controller.borrow().next_tick_at(now);
        let wait = at.since(now).0.clamp(5, 100);
        runtime::sleep(Duration::from_millis(wait)).await;
        let mut controller = node.controller.borrow_mut();
        controller.set_change_rate(node.store.rates().changes);
        let effects = controller.tick(node.now(), UnixTime::now());
        drop(controller);
        node.execute(effects);
    }
}

/// Says a word to the peers. One that the key-value store refuses alone can then tell that from an
/// outage and hand users' requests on, and ways around a cut are known.
async fn publish_peer_status(node: Rc<Node>) {
    loop {
        runtime::sleep(PEER_STATUS_INTERVAL).await;
        let now = node.now();
        let word = Message::PeerStatus {
            store_reachable: node.store.is_up(),
            reachable_peers: node.routes.borrow().reachable_peers(now),
            missing_machines: node.controller.borrow().missing_machines(now),
        };
        for peer in node.config.peers.keys() {
            node.links.send(peer, word.clone());
        }
        let cut = node.routes.borrow().has_partition(now);
        node.controller.borrow_mut().set_partitioned(cut);
    }
}

impl Node {
    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    fn on_peer(self: &Rc<Self>, from: &crate::ids::Member, message: Message) {
        let message = match message {
            Message::PeerStatus {
                store_reachable,
                reachable_peers,
                missing_machines,
            } => {
                let now = self.now();
                self.routes.borrow_mut().on_peer_status(
                    now,
                    from,
                    reachable_peers,
                    missing_machines,
                );
                let mut all = self.peers_served.borrow_mut();
                if store_reachable {
                    all.insert(from.clone(), Instant::now());
                } else {
                    all.remove(from);
                }
                return;
            }
            Message::Relay { to, from, message } => {
                // Once more at most: whoever was asked hears the other side itself.
                if to == self.config.member {
                    self.on_peer(&from, *message);
                } else {
                    self.links.send(
                        &to,
                        Message::Relay {
                            to: to.clone(),
                            from,
                            message,
                        },
                    );
                }
                return;
            }
            Message::ForwardedRequest {
                id,
                post,
                path,
                body,
            } => {
                let node = self.clone();
                let from = from.clone();
                runtime::spawn(async move {
                    forwarding::answer_forwarded(node, from, id, post, path, body).await
                });
                return;
            }
            Message::ForwardedResponse { id, status, body } => {
                self.forwarded.complete(id, status, body);
                return;
            }
            other => other,
        };
        let effects = self
            .controller
            .borrow_mut()
            .on_peer(self.now(), from, message);
        self.execute(effects);
    }

    /// Sends a message to a peer, straight or through one that hears it.
    fn send(&self, to: &crate::ids::Member, message: Message) {
        let relay = self.routes.borrow().relay_for(self.now(), to).cloned();
        match relay {
            None => self.links.send(to, message),
            Some(between) => {
                let message = Message::Relay {
                    to: to.clone(),
                    from: self.config.member.clone(),
                    message: Box::new(message),
                };
                self.links.send(&between, message);
            }
        }
    }

    /// Starts a routine for each effect; each hands its outcome back.
    fn execute(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            let node = self.clone();
            match effect {
                Effect::Peer(member, message) => self.send(&member, message),
                Effect::Txn {
                    requester,
                    class,
                    txn,
                } => runtime::spawn(async move {
                    node.run_txn(requester, class, txn).await;
                }),
                Effect::Call {
                    machine,
                    addr,
                    token,
                    epoch,
                    commands,
                } => runtime::spawn(async move {
                    node.run_call(machine, &addr, token, epoch, commands).await;
                }),
                Effect::Rent(request) => runtime::spawn(async move {
                    let outcome = node.cloud.rent(&request).await;
                    tracing::info!(?request, ?outcome, "scale-out request answered");
                    let effects =
                        node.controller
                            .borrow_mut()
                            .on_rent(node.now(), &request, outcome);
                    node.execute(effects);
                }),
                Effect::Delete(ids) => runtime::spawn(async move {
                    let ok = node.cloud.delete(&ids).await;
                    tracing::info!(?ids, ok, "machine deletion answered");
                    let effects = node
                        .controller
                        .borrow_mut()
                        .on_deleted(node.now(), &ids, ok);
                    node.execute(effects);
                }),
                Effect::QueryOutcome(job) => runtime::spawn(async move {
                    if let Some(state) = node.api.final_outcome(&job).await {
                        let now = node.now();
                        let effects = node
                            .controller
                            .borrow_mut()
                            .on_job_outcome(now, &job, state);
                        node.execute(effects);
                    }
                }),
                Effect::List => runtime::spawn(async move {
                    let list = node.cloud.list().await;
                    let effects = node.controller.borrow_mut().on_list(node.now(), list);
                    node.execute(effects);
                }),
                Effect::Catalog => runtime::spawn(async move {
                    let catalog = node.cloud.catalog().await;
                    let effects = node.controller.borrow_mut().on_catalog(node.now(), catalog);
                    node.execute(effects);
                }),
            }
        }
    }

    async fn run_txn(
        self: Rc<Self>,
        requester: TxnRequester,
        class: crate::store::rate_limiter::RequestClass,
        txn: Txn,
    ) {
        let outcome = self.store.txn(class, &txn).await;
        tracing::debug!(?requester, ?outcome, "transaction");
        let effects = self
            .controller
            .borrow_mut()
            .on_txn(self.now(), &requester, &outcome);
        self.execute(effects);
    }

    async fn run_call(
        self: Rc<Self>,
        machine: MachineId,
        addr: &str,
        token: FencingToken,
        epoch: WorkerEpoch,
        commands: Vec<Command>,
    ) {
        let outcome = match addr.parse::<SocketAddr>() {
            Err(_) => DirectCallOutcome::NotSent,
            Ok(addr) => {
                let body = protocol::commands(token, Some(epoch), &commands);
                let answer = self
                    .workers
                    .call(addr, Method::Post, path::COMMANDS, &body, CALL_TIMEOUT)
                    .await;
                match answer {
                    Ok(response) => {
                        let heartbeat = Heartbeat::parse(&response.body).ok();
                        match (response.status, heartbeat) {
                            (200, Some(heartbeat)) => DirectCallOutcome::Done(heartbeat),
                            (200, None) => DirectCallOutcome::Unknown,
                            (409 | 400, heartbeat) => DirectCallOutcome::Rejected(heartbeat),
                            _ => DirectCallOutcome::Unknown,
                        }
                    }
                    Err(Failure::NotSent) => DirectCallOutcome::NotSent,
                    Err(Failure::Unknown | Failure::TooLarge) => DirectCallOutcome::Unknown,
                }
            }
        };
        let effects = self
            .controller
            .borrow_mut()
            .on_call(self.now(), &machine, token, outcome);
        self.execute(effects);
    }

    /// Whether users are served here. A node that the key-value store refuses alone hands requests
    /// to a peer, and in an outage no node is better than another: in both cases leaving the load
    /// balancer's sight would only cost the time until it is seen again.
    fn is_ready(&self) -> bool {
        self.loaded.get() && self.controller.borrow().cache.catalog.is_some()
    }
}
