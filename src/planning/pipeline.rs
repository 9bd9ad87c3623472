//! Plans accepted jobs. A job is planned together with the jobs of its pipeline that are known and not
//! finished, as section II.D of the paper describes.
//!
//! Children are accepted after their parents were planned, so a pipeline is planned again with each new
//! child. Jobs that already run keep their plans.

use super::graph::{Graph, Node, plan};
use super::history::predict;
use crate::ids::{JobId, MachineId};
use crate::protocol::{JobSpec, MachineType};
use crate::store::records::PlanRecord;
use crate::store::watch_cache::WatchCache;
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Limits the jobs of one pipeline that are planned together. Of a larger pipeline, the jobs nearest to the
/// new one are used. These are enough for a good plan, and the limit bounds the time that planning takes.
const MAX_JOBS_PER_PLAN: usize = 64;

/// Returns the plan of a new job, and the changed plans of blocked jobs of the same pipeline.
pub(crate) fn plan_job(id: &JobId, cache: &WatchCache) -> Vec<(JobId, PlanRecord)> {
    let members = pipeline_members(id, cache);
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

/// Returns the plan of a job with one of its allowed types, and without a placement group to join.
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

/// Returns the unfinished jobs that dependencies connect with `id`, directly or indirectly, parents first: at
/// most [`MAX_JOBS_PER_PLAN`], those nearest to `id`.
fn pipeline_members(id: &JobId, cache: &WatchCache) -> Vec<JobId> {
    let mut found = BTreeSet::from([id.clone()]);
    let mut queue = VecDeque::from([id.clone()]);
    while let Some(next) = queue.pop_front() {
        let parents = cache.job_spec(&next).map(|spec| spec.dependencies.clone());
        let parents = parents.into_iter().flatten();
        let parents = parents.filter(|p| cache.job_spec(p).is_some());
        let neighbors = parents.chain(cache.dependency_graph.dependents(&next).cloned());
        for neighbor in neighbors {
            if found.len() < MAX_JOBS_PER_PLAN && found.insert(neighbor.clone()) {
                queue.push_back(neighbor);
            }
        }
    }
    parents_first(found, cache)
}

/// Sorts jobs so that parents come before their children.
fn parents_first(mut remaining: BTreeSet<JobId>, cache: &WatchCache) -> Vec<JobId> {
    let mut ordered = Vec::with_capacity(remaining.len());
    while !remaining.is_empty() {
        let has_no_remaining_parent = |id: &&JobId| {
            let spec = cache.job_spec(id);
            let mut parents = spec.into_iter().flat_map(|s| &s.dependencies);
            !parents.any(|p| remaining.contains(p))
        };
        let mut next: Vec<JobId> = remaining
            .iter()
            .filter(has_no_remaining_parent)
            .cloned()
            .collect();
        if next.is_empty() {
            // A job can depend only on jobs that were accepted before, so there is no cycle. Taking all
            // remaining jobs here ensures that the loop ends.
            next = remaining.iter().cloned().collect();
        }
        for id in next {
            remaining.remove(&id);
            ordered.push(id);
        }
    }
    ordered
}

/// Builds the graph of jobs that are listed parents first.
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

/// Returns a job's graph node with no parents set. Its predicted times are those on the machine types that
/// the job may use and its tasks fit on, strongest type first.
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

/// Returns the machine types that a job may use and that its tasks fit on, strongest first.
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

/// Returns the parent whose placement group a job joins: of the parents in the job's group, the one with
/// the largest output.
fn joined_parent(at: usize, graph: &Graph, groups: &[usize]) -> Option<usize> {
    let parents = graph.nodes[at].parents.iter().copied();
    let in_same_group = parents.filter(|parent| groups[*parent] == groups[at]);
    in_same_group.max_by_key(|parent| (graph.nodes[*parent].output, Reverse(*parent)))
}

/// Returns the machines that a job may use and that have its image, most recently used image first, at most
/// [`PlanRecord::MAX_MACHINES`].
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
