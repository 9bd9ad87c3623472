//! The operators' endpoints: `/admin/status` and `/admin/settings`.

use super::node::Node;
use crate::admin::Settings;
use crate::http::Response;
use crate::ids::{FencingToken, Member, Revision};
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::ProgramVersion;
use crate::store::watch_cache::WatchCache;
use crate::store::{Store, TxnOutcome, keys};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The settings in force.
pub(super) fn settings(node: &Node) -> Response {
    Response::json(200, &node.controller.borrow().cache.settings())
}

/// Changes settings: checked here, stored in the key-value store, adopted by every controller.
pub(super) async fn change_settings(node: &Node, body: &[u8]) -> Response {
    let change: Value = match serde_json::from_slice(body) {
        Ok(change) => change,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let (settings, revision) = {
        let controller = node.controller.borrow();
        let stored = controller.cache.settings.as_ref();
        let revision = stored.map_or(Revision(0), |stored| stored.revision);
        (controller.cache.settings(), revision)
    };
    let changed: Settings = match settings.change(&change) {
        Ok(changed) => changed,
        Err(message) => return Response::error(400, &message),
    };
    let mut txn = Txn::default();
    txn.require(keys::SETTINGS, revision);
    txn.put(keys::SETTINGS, &changed, None);
    match node.store.txn(RequestClass::Accept, &txn).await {
        TxnOutcome::Committed(_) => Response::json(200, &changed),
        TxnOutcome::Failed(..) => Response::retry_later("changed by somebody else just now", 1),
        _ => Response::retry_later("the state service did not take it", 1),
    }
}

/// What this node knows of the cluster and of itself.
pub(super) fn status(node: &Node) -> Response {
    let controller = node.controller.borrow();
    let cache = &controller.cache;
    let unmet_demands = &controller.scheduler.unmet_demands;
    let body = json!({
        "member": node.config.member,
        "zone": node.config.zone,
        "ready": node.is_ready(),
        "leader": cache.leader.as_ref().map(|leader| &leader.value.member),
        "members": cache.members.keys().collect::<Vec<_>>(),
        "versions": versions_by_member(cache),
        "revision": cache.revision,
        "blocks": shards_json(cache),
        "machines": machines_json(cache),
        "booting": controller.autoscaler.booting(),
        "teams": cache.team_usage(),
        "jobs": cache.jobs.len(),
        "waiting_jobs": cache.dependency_graph.len(),
        "waiting_tasks": unmet_demands.iter().map(|demand| demand.tasks).sum::<u64>(),
        "allotted": controller.scheduler.allotted_count(),
        "held_machines": controller.shard_owner.tracked_count(),
        "state_service": store_json(&node.store),
        "answers": node.response_stats.to_json(),
    });
    Response::json(200, &body)
}

fn versions_by_member(cache: &WatchCache) -> BTreeMap<&Member, ProgramVersion> {
    let members = cache.members.iter();
    members
        .map(|(member, record)| (member, record.version))
        .collect()
}

/// Each shard's owner and fencing token, by the shard's id.
fn shards_json(cache: &WatchCache) -> BTreeMap<String, Value> {
    let shards = cache.shards.iter();
    shards
        .map(|(id, shard)| {
            let token = FencingToken::of(shard.revision, 0);
            let entry = json!({"holder": shard.value.owner, "token": token});
            (id.to_string(), entry)
        })
        .collect()
}

fn machines_json(cache: &WatchCache) -> Vec<Value> {
    let machines = cache.machines.iter();
    machines
        .map(|(id, machine)| {
            let record = &machine.record;
            json!({
                "id": id,
                "type": record.type_name,
                "zone": record.zone,
                "spot": record.spot,
                "tasks": record.runs().count(),
                "used": record.used(),
            })
        })
        .collect()
}

/// The key-value store's state as seen from here, and what was asked of it.
fn store_json(store: &Store) -> Value {
    let (request_permits, write_permits) = store.levels();
    let counters = &store.counters;
    json!({
        "up": store.is_up(),
        "request_tokens": request_permits,
        "write_tokens": write_permits,
        "calls": counters.calls.get(),
        "refused": counters.refused.get(),
        "unanswered": counters.unknown.get(),
        "held_back": counters.held_back.get(),
        "classes": &*counters.classes.borrow(),
    })
}
