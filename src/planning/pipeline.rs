//! Plans of accepted jobs: each is planned within the part of its pipeline that is known and not
//! finished (the paper's II.D).
//!
//! Children are accepted after their parents were planned, so the plan of a pipeline is made anew
//! with each of them. Jobs that already run keep theirs.

use super::graph::{Graph, Node, plan};
use super::history::predict;
use crate::ids::{JobId, MachineId};
use crate::protocol::{JobSpec, MachineType};
use crate::store::records::PlanRecord;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Jobs of one pipeline that are planned together; of a larger one those nearest to the new job.
/// Enough for any plan to be as good, and few enough for planning to cost the same each time.
const MAX_MEMBERS: usize = 64;

/// The plan of a job that was just accepted, and the changed ones of jobs that wait with it.
pub(crate) fn plan_job(id: &JobId, cache: &WatchCache) -> Vec<(JobId, PlanRecord)> {
    let members = members(id, cache);
    let settings = cache.settings();
    let graph = graph(&members, cache);
    let plan = plan(&graph, settings.group_cap as usize);
    let mut plans = Vec::new();
    for (at, member) in members.iter().enumerate() {
        let Some(spec) = cache.job_spec(member) else {
            continue;
        };
        if member != id && !cache.dependency_graph.contains(member) {
            continue;
        }
        let joined = joined_parent(at, &graph, &plan.groups);
        let record = PlanRecord {
            placement_group_job: joined.map(|parent| members[parent].clone()),
            ..plan_record(spec, &graph.nodes[at], plan.types[at], cache)
        };
        let is_changed = |old: &PlanRecord| {
            (&old.type_name, &old.placement_group_job)
                != (&record.type_name, &record.placement_group_job)
        };
        if member == id || cache.plan(member).is_some_and(is_changed) {
            plans.push((member.clone(), record));
        }
    }
    plans
}

/// The plan of a job with one of its allowed types, without a parent to join.
fn plan_record(spec: &JobSpec, node: &Node, type_index: usize, cache: &WatchCache) -> PlanRecord {
    let allowed = allowed_types(spec, cache);
    let predicted = node.times.get(type_index);
    PlanRecord {
        type_name: allowed.get(type_index).map(|t| t.name.clone()),
        machines: machines_with_image(spec, cache),
        predicted_s: predicted.map_or(spec.estimate_s, |t| t.seconds),
        placement_group_job: None,
    }
}

/// The jobs of a pipeline that have no final state, parents first: up to a number of them, those
/// nearest to `id`.
fn members(id: &JobId, cache: &WatchCache) -> Vec<JobId> {
    let mut found = BTreeSet::from([id.clone()]);
    let mut queue = VecDeque::from([id.clone()]);
    while let Some(next) = queue.pop_front() {
        let parents = cache.job_spec(&next).map(|spec| spec.dependencies.clone());
        let parents = parents.into_iter().flatten();
        let parents = parents.filter(|p| cache.job_spec(p).is_some());
        let neighbors = parents.chain(cache.dependency_graph.dependents(&next).cloned());
        for neighbor in neighbors {
            if found.len() < MAX_MEMBERS && found.insert(neighbor.clone()) {
                queue.push_back(neighbor);
            }
        }
    }
    parents_first(found, cache)
}

/// Jobs in an order in which parents come before their children.
fn parents_first(mut open: BTreeSet<JobId>, cache: &WatchCache) -> Vec<JobId> {
    let mut ordered = Vec::with_capacity(open.len());
    while !open.is_empty() {
        let has_no_open_parent = |id: &&JobId| {
            let spec = cache.job_spec(id);
            let mut parents = spec.into_iter().flat_map(|s| &s.dependencies);
            !parents.any(|p| open.contains(p))
        };
        let mut next: Vec<JobId> = open.iter().filter(has_no_open_parent).cloned().collect();
        if next.is_empty() {
            // Only accepted jobs can be named, so there is no cycle.
            next = open.iter().cloned().collect();
        }
        for id in next {
            open.remove(&id);
            ordered.push(id);
        }
    }
    ordered
}

/// The graph of some jobs that are listed parents first.
fn graph(members: &[JobId], cache: &WatchCache) -> Graph {
    let mut graph = Graph::default();
    for (at, id) in members.iter().enumerate() {
        let Some(spec) = cache.job_spec(id) else {
            continue;
        };
        let index_of = |parent: &JobId| members[..at].iter().position(|m| m == parent);
        graph.nodes.push(Node {
            parents: spec.dependencies.iter().filter_map(index_of).collect(),
            ..node(spec, cache)
        });
    }
    graph
}

/// A job by itself, with its predicted times on the types that it may use, strongest first.
fn node(spec: &JobSpec, cache: &WatchCache) -> Node {
    let settings = cache.settings();
    let history = cache.history.get(&spec.pipeline).map(|h| &h.value);
    let types = allowed_types(spec, cache).into_iter();
    Node {
        parents: Vec::new(),
        output: spec.tasks,
        times: types
            .map(|t| predict(history, &t.name, &settings, spec.estimate_s))
            .collect(),
    }
}

/// The types that a job may use, strongest first.
fn allowed_types<'a>(spec: &JobSpec, cache: &'a WatchCache) -> Vec<&'a MachineType> {
    let mut allowed: Vec<&MachineType> = cache
        .catalog
        .iter()
        .flat_map(|c| &c.value.types)
        .filter(|t| {
            spec.machine_types
                .as_ref()
                .is_none_or(|l| l.contains(&t.name))
        })
        .filter(|t| spec.need().fits(t.capacity()))
        .collect();
    allowed.sort_by(|a, b| {
        (b.cpus, b.gpus, b.memory_gb)
            .partial_cmp(&(a.cpus, a.gpus, a.memory_gb))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    allowed
}

/// The parent whose placement group a job shares: the one with the largest output.
fn joined_parent(at: usize, graph: &Graph, groups: &[usize]) -> Option<usize> {
    let parents = graph.nodes[at].parents.iter().copied();
    let in_same_group = parents.filter(|parent| groups[*parent] == groups[at]);
    in_same_group.max_by_key(|parent| (graph.nodes[*parent].output, Reverse(*parent)))
}

/// The placement group of a job: the machines that have its image, up to a number of them.
fn machines_with_image(spec: &JobSpec, cache: &WatchCache) -> Vec<MachineId> {
    let mut machines: Vec<(usize, &MachineId)> = cache
        .machines
        .iter()
        .filter_map(|(id, m)| {
            let at = m.images.iter().rev().position(|i| *i == spec.image)?;
            let record = &m.record;
            spec.allows(&record.type_name, &record.zone, record.spot)
                .then_some((at, id))
        })
        .collect();
    machines.sort();
    let first = machines.into_iter().take(PlanRecord::MAX_MACHINES);
    first.map(|(_, id)| id.clone()).collect()
}

#[cfg(test)]
mod tests;
