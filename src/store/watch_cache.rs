//! Every controller's live watch cache of the records under `live/`, in the order of their changes.
//!
//! Because the watch cache follows one stream, whoever sees a shard's new record has also seen every
//! placement that was committed before it: a new leader or shard owner needs no reads of its own.

mod changes;
mod jobs;
mod machines;

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

/// The records under `live/` as the stream has brought them up to one revision.
#[derive(Debug)]
pub(crate) struct WatchCache {
    /// The last revision whose changes are all applied.
    pub revision: Revision,
    /// Tasks in one segment of a completion counter.
    tasks_per_segment: u32,
    /// The leader's record; none while nobody leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The controllers whose leases hold.
    pub members: BTreeMap<MemberId, MemberRecord>,
    /// The shards that are leased to an owner.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// The cloud's machine types and zones, as last written.
    pub catalog: Option<Versioned<Catalog>>,
    /// The administrators' settings; none while all are at their defaults.
    pub settings: Option<Versioned<Settings>>,
    /// Run times of each pipeline's earlier jobs.
    pub history: BTreeMap<Pipeline, Versioned<HistoryRecord>>,
    /// Jobs whose tasks may run.
    pub jobs: BTreeMap<JobId, LiveJob>,
    /// Blocked jobs. Nothing that counts or places work sees them.
    pub dependency_graph: DependencyGraph,
    /// Machines with a record, and those that answer before they have one.
    pub machines: BTreeMap<MachineId, LiveMachine>,
    /// Segments that came before the job they belong to, or outlived it.
    segments_without_job: BTreeMap<SegmentKey, Versioned<Bitmap>>,
    /// Plans that came before the job they belong to.
    plans_without_job: BTreeMap<JobId, PlanRecord>,
    /// The jobs of each batch of plans, by the batch's name.
    plan_batches: BTreeMap<String, Vec<JobId>>,
    /// Jobs that are known to be cancelled, by that change, before the stream has reached it.
    cancelled: BTreeMap<JobId, Revision>,
}

impl WatchCache {
    /// An empty cache, before the first page of records.
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

    /// Whether every controller that takes part understands jobs that depend on others. One that
    /// does not would start them at once.
    pub(crate) fn all_members_support_dependencies(&self) -> bool {
        let mut members = self.members.values();
        members.all(|m| m.version >= ProgramVersion::DEPENDENCIES)
    }

    /// The catalog's entry for a machine type.
    pub(crate) fn machine_type(&self, name: &MachineTypeName) -> Option<&MachineType> {
        let catalog = self.catalog.as_ref()?;
        catalog.value.types.iter().find(|t| t.name == *name)
    }

    /// The administrators' settings, or the defaults.
    pub(crate) fn settings(&self) -> Settings {
        self.settings
            .as_ref()
            .map(|s| s.value.clone())
            .unwrap_or_default()
    }

    /// At most `limit` keys of records that ended jobs left behind; nobody waits for their removal.
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

    /// What each team's placed tasks use, cancelled ones that are not proved gone included.
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
