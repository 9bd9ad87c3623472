//! The public side: which request goes to which duty.

use super::{Node, forwarding};
use crate::admin::Settings;
use crate::http::{Method, Request, Response};
use crate::ids::FencingToken;
use crate::protocol::store::Txn;
use crate::protocol::{self, Heartbeat, path};
use crate::store::rate_limiter::RequestClass;
use crate::store::{TxnOutcome, keys};
use crate::worker_control::HeartbeatAnswer;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Answers by duty and status, and how long each took.
#[derive(Default)]
pub(super) struct ResponseStats {
    counts: RefCell<BTreeMap<(&'static str, u16), u64>>,
    times: RefCell<BTreeMap<&'static str, Histogram<u32>>>,
}

impl ResponseStats {
    fn note(&self, duty: &'static str, status: u16, since: Instant) {
        *self.counts.borrow_mut().entry((duty, status)).or_default() += 1;
        let mut times = self.times.borrow_mut();
        if !times.contains_key(duty)
            && let Ok(histogram) = Histogram::new_with_bounds(1, 60_000_000, 2)
        {
            times.insert(duty, histogram);
        }
        if let Some(histogram) = times.get_mut(duty) {
            histogram.saturating_record(since.elapsed().as_micros() as u64);
        }
    }

    fn json(&self) -> Value {
        let mut duties = serde_json::Map::new();
        for (duty, histogram) in self.times.borrow().iter() {
            let counts: serde_json::Map<String, Value> = self
                .counts
                .borrow()
                .iter()
                .filter(|((d, _), _)| d == duty)
                .map(|((_, status), n)| (status.to_string(), (*n).into()))
                .collect();
            let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
            let entry = json!({
                "answers": counts,
                "ms": {"p50": ms(0.5), "p90": ms(0.9), "p99": ms(0.99), "max": ms(1.0)},
            });
            duties.insert((*duty).to_owned(), entry);
        }
        Value::Object(duties)
    }
}

const ADMIN_SETTINGS: &str = "/admin/settings";
const ADMIN_STATUS: &str = "/admin/status";

pub(super) async fn route(node: Rc<Node>, request: Request) -> Response {
    let since = Instant::now();
    let (duty, response) = dispatch(&node, &request).await;
    node.stats.note(duty, response.status, since);
    if response.status >= 400 && response.status != 421 {
        tracing::debug!(path = request.path, status = response.status, body = %String::from_utf8_lossy(&response.body), "refused");
    }
    response
}

async fn dispatch(node: &Rc<Node>, request: &Request) -> (&'static str, Response) {
    let path = request.path.split('?').next().unwrap_or("");
    match (request.method, path) {
        (Method::Post, path::HEARTBEAT) => ("report", heartbeat(node, request).await),
        (_, path::HEARTBEAT) => ("other", Response::wrong_method("POST")),
        (Method::Get, path::READY) => ("ready", ready(node)),
        (_, path::READY) => ("other", Response::wrong_method("GET")),
        (Method::Get, ADMIN_STATUS) => ("admin", status(node)),
        (_, ADMIN_STATUS) => ("other", Response::wrong_method("GET")),
        (Method::Get, ADMIN_SETTINGS) => {
            let settings = node.controller.borrow().cache.settings();
            ("admin", Response::json(200, &settings))
        }
        (Method::Put, ADMIN_SETTINGS) => ("admin", change(node, &request.body).await),
        (_, ADMIN_SETTINGS) => ("other", Response::wrong_method("GET, PUT")),
        _ => match user_request(node, request).await {
            // Not for us to decide, perhaps for a peer.
            Some(response) if response.status == 503 => {
                let forwarded = forwarding::forward_request(node, request).await;
                (user_duty(request), forwarded.unwrap_or(response))
            }
            Some(response) => (user_duty(request), response),
            None => ("other", Response::error(404, "no such path")),
        },
    }
}

fn user_duty(request: &Request) -> &'static str {
    match request.method {
        Method::Get => "poll",
        _ if request.path.ends_with(path::CANCEL) => "cancel",
        _ => "submit",
    }
}

/// Submissions, polls and cancellations; `None` for other paths.
pub(super) async fn user_request(node: &Node, request: &Request) -> Option<Response> {
    let path = request.path.split('?').next().unwrap_or("");
    let rest = path.strip_prefix(path::JOBS)?;
    if rest.is_empty() {
        return Some(match request.method {
            Method::Post => node.api.submit(&request.body).await,
            _ => Response::wrong_method("POST"),
        });
    }
    let job = rest.strip_prefix('/').filter(|job| !job.is_empty())?;
    match (request.method, job.split_once('/')) {
        (Method::Get, None) => Some(node.api.poll(job).await),
        (_, None) => Some(Response::wrong_method("GET")),
        (Method::Post, Some((id, path::CANCEL))) => Some(node.api.cancel(id).await),
        (_, Some((_, path::CANCEL))) => Some(Response::wrong_method("POST")),
        _ => None,
    }
}

async fn heartbeat(node: &Rc<Node>, request: &Request) -> Response {
    let heartbeat = match Heartbeat::parse(&request.body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    if !node.loaded.get() {
        return Response::retry_later("not ready yet", 1);
    }
    let (answer, effects) = node
        .controller
        .borrow_mut()
        .on_heartbeat(node.now(), &heartbeat);
    node.execute(effects);
    if let HeartbeatAnswer::Redirect(Some(owner)) = &answer {
        let machine = &heartbeat.machine;
        let answer = forwarding::forward_heartbeat(node, owner, machine, request).await;
        if let Some(response) = answer {
            return response;
        }
    }
    heartbeat_response(answer)
}

fn heartbeat_response(answer: HeartbeatAnswer) -> Response {
    match answer {
        HeartbeatAnswer::Commands(token, commands) => {
            Response::new(200, protocol::commands(token, None, &commands))
        }
        HeartbeatAnswer::Redirect(owner) => Response::new(421, protocol::redirect(owner.as_ref())),
    }
}

/// A heartbeat that a peer hands on.
pub(super) fn relayed_heartbeat(node: &Rc<Node>, body: &[u8]) -> Response {
    let Ok(heartbeat) = Heartbeat::parse(body) else {
        return Response::error(400, "unreadable report");
    };
    let now = node.now();
    let (answer, effects) = node
        .controller
        .borrow_mut()
        .on_relayed_heartbeat(now, &heartbeat);
    node.execute(effects);
    heartbeat_response(answer.unwrap_or(HeartbeatAnswer::Redirect(None)))
}

fn ready(node: &Node) -> Response {
    if node.is_ready() {
        Response::json(200, &json!({"ready": true}))
    } else {
        Response::retry_later("not ready", 1)
    }
}

/// Changes settings: checked here, stored in the key-value store, taken up by every controller.
async fn change(node: &Node, body: &[u8]) -> Response {
    let change: Value = match serde_json::from_slice(body) {
        Ok(change) => change,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let (settings, revision) = {
        let controller = node.controller.borrow();
        let stored = controller.cache.settings.as_ref();
        let revision = stored.map_or(crate::ids::Revision(0), |s| s.revision);
        (controller.cache.settings(), revision)
    };
    let new: Settings = match settings.change(&change) {
        Ok(new) => new,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let mut txn = Txn::default();
    txn.require(keys::SETTINGS, revision);
    txn.put(keys::SETTINGS, &new, None);
    match node.store.txn(RequestClass::Accept, &txn).await {
        TxnOutcome::Committed(_) => Response::json(200, &new),
        TxnOutcome::Failed(..) => Response::retry_later("changed by somebody else just now", 1),
        _ => Response::retry_later("the state service did not take it", 1),
    }
}

fn status(node: &Node) -> Response {
    let controller = node.controller.borrow();
    let cache = &controller.cache;
    let shards: BTreeMap<String, Value> = cache
        .shards
        .iter()
        .map(|(id, b)| {
            let entry = json!({"holder": b.value.owner, "token": FencingToken::of(b.revision, 0)});
            (id.to_string(), entry)
        })
        .collect();
    let machines: Vec<Value> = cache
        .machines
        .iter()
        .map(|(id, m)| {
            json!({"id": id, "type": m.record.type_name, "zone": m.record.zone,
                   "spot": m.record.spot, "tasks": m.record.runs().count(), "used": m.record.used()})
        })
        .collect();
    let (requests, writes) = node.store.levels();
    let counters = &node.store.counters;
    let body = json!({
        "member": node.config.member,
        "zone": node.config.zone,
        "ready": node.is_ready(),
        "leader": cache.leader.as_ref().map(|l| &l.value.member),
        "members": cache.members.keys().collect::<Vec<_>>(),
        "versions": cache.members.iter().map(|(m, r)| (m, r.version)).collect::<BTreeMap<_, _>>(),
        "revision": cache.revision,
        "blocks": shards,
        "machines": machines,
        "booting": controller.autoscaler.booting(),
        "teams": cache.team_usage(),
        "jobs": cache.jobs.len(),
        "waiting_jobs": cache.dependency_graph.len(),
        "waiting_tasks": controller.scheduler.unmet_demands.iter().map(|s| s.tasks).sum::<u64>(),
        "allotted": controller.scheduler.allotted_count(),
        "held_machines": controller.shard_owner.tracked_count(),
        "state_service": {
            "up": node.store.is_up(), "request_tokens": requests, "write_tokens": writes,
            "calls": counters.calls.get(), "refused": counters.refused.get(),
            "unanswered": counters.unknown.get(), "held_back": counters.held_back.get(),
            "classes": &*counters.classes.borrow(),
        },
        "answers": node.stats.json(),
    });
    Response::json(200, &body)
}
