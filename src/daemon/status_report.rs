//! The response body of `/admin/status`. Its field names are part of the operators' interface.

use super::endpoint::EndpointReport;
use super::node::Node;
use crate::api::{FinalStateReadCounters, UnansweredReport};
use crate::ids::{
    FencingToken, MachineId, MachineTypeName, MemberId, Resources, Revision, TeamId, Zone,
};
use crate::store::rate_limiter::RequestClass;
use crate::store::records::ProgramVersion;
use crate::store::watch_cache::WatchCache;
use crate::store::{ClassCounters, StoreClient};
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of a node, and of the cluster as the node's watch cache shows it.
#[derive(Serialize)]
pub(super) struct StatusReport<'a> {
    member: &'a MemberId,
    zone: &'a Zone,
    /// Whether the load balancer should route users to this node.
    ready: bool,
    /// The leader according to the watch cache.
    leader: Option<&'a MemberId>,
    /// All controllers that hold a lease.
    members: Vec<&'a MemberId>,
    /// Program version of each controller that holds a lease.
    versions: BTreeMap<&'a MemberId, ProgramVersion>,
    /// The revision of the watch cache.
    revision: Revision,
    /// Owner and fencing token of each shard, by shard id.
    #[serde(rename = "blocks")]
    shards: BTreeMap<String, ShardReport<'a>>,
    machines: Vec<MachineReport<'a>>,
    /// Number of machines that the cloud lists and that have no record yet.
    booting: usize,
    /// Resources that each team's tasks use.
    teams: BTreeMap<TeamId, Resources>,
    /// Number of jobs that have not ended.
    jobs: usize,
    /// Number of jobs that wait for their dependencies.
    waiting_jobs: usize,
    /// Number of tasks for which no machine has enough free resources.
    waiting_tasks: u64,
    /// Number of task attempts that the leader has allotted to shards and that no machine record
    /// shows yet.
    allotted: usize,
    /// Number of machines that this node controls as a shard owner.
    #[serde(rename = "held_machines")]
    owned_machines: usize,
    #[serde(rename = "state_service")]
    store: StoreReport,
    /// Statistics of the HTTP responses, by endpoint.
    #[serde(rename = "answers")]
    responses: BTreeMap<&'static str, EndpointReport>,
    /// Users' requests that remain unanswered.
    unanswered: UnansweredReport,
    /// Counters of the reads of jobs' final states.
    final_state_reads: FinalStateReadCounters,
}

/// A shard's owner and its fencing token.
#[derive(Serialize)]
struct ShardReport<'a> {
    #[serde(rename = "holder")]
    owner: &'a MemberId,
    token: FencingToken,
}

/// A machine as its record describes it.
#[derive(Serialize)]
struct MachineReport<'a> {
    id: &'a MachineId,
    #[serde(rename = "type")]
    type_name: &'a MachineTypeName,
    zone: &'a Zone,
    spot: bool,
    /// Number of tasks that are placed on the machine.
    tasks: usize,
    /// Resources that these tasks use.
    used: Resources,
}

/// The state of the key-value store as seen from this node, and counters of its calls since the
/// process started.
#[derive(Serialize)]
struct StoreReport {
    up: bool,
    /// Number of requests that the rate limiter would admit now.
    #[serde(rename = "request_tokens")]
    request_permits: f64,
    /// Number of key changes that the rate limiter would admit now.
    #[serde(rename = "write_tokens")]
    write_permits: f64,
    calls: u64,
    /// Number of calls that the store refused.
    refused: u64,
    unanswered: u64,
    /// Number of calls that this node's rate limiter refused.
    held_back: u64,
    classes: BTreeMap<RequestClass, ClassCounters>,
}

impl<'a> StatusReport<'a> {
    /// Creates the report of a node whose watch cache is `cache`.
    pub(super) fn new(node: &'a Node, cache: &'a WatchCache) -> Self {
        let controller = node.controller.borrow();
        let unmet_demands = &controller.scheduler.unmet_demands;
        Self {
            member: &node.config.member,
            zone: &node.config.zone,
            ready: node.is_ready(),
            leader: cache.leader.as_ref().map(|leader| &leader.value.member),
            members: cache.members.keys().collect(),
            versions: versions_by_member(cache),
            revision: cache.revision,
            shards: shard_reports(cache),
            machines: machine_reports(cache),
            booting: controller.autoscaler.booting_count(),
            teams: cache.team_usage(),
            jobs: cache.jobs.len(),
            waiting_jobs: cache.dependency_graph.len(),
            waiting_tasks: unmet_demands.iter().map(|demand| demand.tasks).sum(),
            allotted: controller.scheduler.in_flight_task_count(),
            owned_machines: controller.shard_owner.tracked_count(),
            store: StoreReport::new(&node.store),
            responses: node.response_stats.report(),
            unanswered: node.api.unanswered_report(),
            final_state_reads: node.api.final_state_read_counters(),
        }
    }
}

fn versions_by_member(cache: &WatchCache) -> BTreeMap<&MemberId, ProgramVersion> {
    let members = cache.members.iter();
    members
        .map(|(member, record)| (member, record.version))
        .collect()
}

fn shard_reports(cache: &WatchCache) -> BTreeMap<String, ShardReport<'_>> {
    let shards = cache.shards.iter();
    shards
        .map(|(id, shard)| {
            let report = ShardReport {
                owner: &shard.value.owner,
                token: FencingToken::of(shard.revision, 0),
            };
            (id.to_string(), report)
        })
        .collect()
}

fn machine_reports(cache: &WatchCache) -> Vec<MachineReport<'_>> {
    let machines = cache.machines.iter();
    machines
        .map(|(id, machine)| MachineReport {
            id,
            type_name: &machine.record.type_name,
            zone: &machine.record.zone,
            spot: machine.record.spot,
            tasks: machine.record.attempts().count(),
            used: machine.record.used(),
        })
        .collect()
}

impl StoreReport {
    fn new(store: &StoreClient) -> Self {
        let levels = store.token_levels();
        let counters = store.counters();
        Self {
            up: store.is_up(),
            request_permits: levels.requests,
            write_permits: levels.writes,
            calls: counters.calls,
            refused: counters.refused,
            unanswered: counters.unanswered,
            held_back: counters.held_back,
            classes: counters.classes.clone(),
        }
    }
}
