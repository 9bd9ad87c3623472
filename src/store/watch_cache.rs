//! The watch cache of the records under `live/`, which every controller keeps. Changes are applied in
//! the order in which they were committed.
//!
//! Because all changes come from a single stream, a controller that sees a shard's new record has also
//! seen every placement committed before it. A new leader or shard owner therefore needs no reads.

mod changes;
mod jobs;
mod machines;
mod reload;

pub(crate) use super::live_job::LiveJob;
pub(crate) use machines::LiveMachine;

use super::dependency_graph::DependencyGraph;
use super::keys::{self, SegmentKey};
use super::records::{
    Bitmap, HistoryRecord, LeaderRecord, MemberRecord, PlanRecord, ProgramVersion, ShardRecord,
};
use super::versioned::Versioned;
use crate::admin::Settings;
use crate::config::Config;
use crate::ids::{
    JobId, MachineId, MachineTypeName, MemberId, Pipeline, Resources, Revision, ShardId, TeamId,
};
use crate::protocol::{Catalog, MachineType};
use std::collections::BTreeMap;

/// The records under `live/` at one revision of the store.
#[derive(Debug)]
pub(crate) struct WatchCache {
    /// The last revision whose changes are all applied.
    pub revision: Revision,
    /// The number of tasks in one segment of a completion counter.
    tasks_per_segment: u32,
    /// The leader's record. It is `None` while there is no leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The controllers whose leases have not expired.
    pub members: BTreeMap<MemberId, MemberRecord>,
    /// The shards that have an owner.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// The cloud's machine types and zones. It is `None` until they are first stored.
    pub catalog: Option<Versioned<Catalog>>,
    /// The administrators' settings. It is `None` while all of them have their defaults.
    pub settings: Option<Versioned<Settings>>,
    /// The run times of each pipeline's earlier jobs.
    pub history: BTreeMap<Pipeline, Versioned<HistoryRecord>>,
    /// Jobs whose tasks may run.
    pub jobs: BTreeMap<JobId, LiveJob>,
    /// The blocked jobs. They are kept apart from `jobs`, so that they are neither counted as demand nor
    /// placed.
    pub dependency_graph: DependencyGraph,
    /// The machines with a record, and those that respond before they have one.
    pub machines: BTreeMap<MachineId, LiveMachine>,
    /// Segments that were received before their job, or that remain after it ended.
    segments_without_job: BTreeMap<SegmentKey, Versioned<Bitmap>>,
    /// Plans that were received before their job.
    plans_without_job: BTreeMap<JobId, PlanRecord>,
    /// The jobs of each batch of plans, by the batch's name.
    plan_batches: BTreeMap<String, Vec<JobId>>,
    /// Jobs whose cancellation is committed but not yet received from the stream, with the revision of
    /// the cancellation.
    cancelled: BTreeMap<JobId, Revision>,
}

impl WatchCache {
    /// Creates an empty cache.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            revision: Revision(0),
            tasks_per_segment: config.tasks_per_segment(),
            leader: None,
            members: BTreeMap::new(),
            shards: BTreeMap::new(),
            catalog: None,
            settings: None,
            history: BTreeMap::new(),
            jobs: BTreeMap::new(),
            dependency_graph: DependencyGraph::default(),
            machines: BTreeMap::new(),
            segments_without_job: BTreeMap::new(),
            plans_without_job: BTreeMap::new(),
            plan_batches: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        }
    }

    /// Returns whether every live controller supports job dependencies. A controller without support
    /// would start blocked jobs at once.
    pub(crate) fn all_members_support_dependencies(&self) -> bool {
        let mut members = self.members.values();
        members.all(|m| m.version >= ProgramVersion::DEPENDENCIES)
    }

    /// Returns the catalog's entry for a machine type.
    pub(crate) fn machine_type(&self, name: &MachineTypeName) -> Option<&MachineType> {
        let catalog = self.catalog.as_ref()?;
        catalog.value.types.iter().find(|t| t.name == *name)
    }

    /// Returns the administrators' settings, or the defaults if none are stored.
    pub(crate) fn settings(&self) -> Settings {
        self.settings
            .as_ref()
            .map(|s| s.value.clone())
            .unwrap_or_default()
    }

    /// Returns the keys of at most `limit` records that remain of ended jobs. Their removal is not
    /// urgent.
    pub(crate) fn orphaned_keys(&self, limit: usize) -> Vec<String> {
        let segments = self.segments_without_job.keys();
        let live = |id: &JobId| self.job_revision(id).is_some();
        let plans = self.plan_batches.iter();
        segments
            .map(|key| keys::segment(&key.job, key.segment))
            .chain(
                plans
                    .filter(|(_, jobs)| !jobs.iter().any(live))
                    .map(|(name, _)| keys::plans(name)),
            )
            .take(limit)
            .collect()
    }

    /// Returns the resources that each team's placed tasks use, including cancelled tasks that are not
    /// yet confirmed to have stopped.
    pub(crate) fn team_usage(&self) -> BTreeMap<TeamId, Resources> {
        let mut usage: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for placed in self.machines.values().flat_map(|m| &m.record.jobs) {
            let used = placed.need.times(placed.tasks.len() as u64);
            match usage.get_mut(&placed.team) {
                Some(sum) => *sum = *sum + used,
                None => {
                    usage.insert(placed.team.clone(), used);
                }
            }
        }
        usage
    }
}

#[cfg(test)]
mod tests;
