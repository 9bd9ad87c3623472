//! Every controller's live watch cache of the records under `live/`, in the order of their changes.
//!
//! Because the watch cache follows one stream, whoever sees a shard's new record has also seen every
//! placement that was committed before it: a new leader or shard owner needs no reads of its own.

pub(crate) use super::live_job::LiveJob;

use super::dependency_graph::{BlockedJob, DependencyGraph, JobOutcome};
use super::keys::LiveKey;
use super::records::{
    Bitmap, HistoryRecord, JobRecord, LeaderRecord, MachineRecord, MemberRecord, PlanBatch,
    PlanRecord, ProgramVersion, ShardRecord,
};
use super::urgency::Urgency;
use crate::admin::Settings;
use crate::config::Config;
use crate::ids::{Image, JobId, MachineId, Member, Pipeline, Revision, ShardId, TeamId};
use crate::protocol::store::{Event, Item};
use crate::protocol::{Catalog, JobSpec, MachineType};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Images remembered for a machine; which it still caches is a guess anyway.
const MAX_REMEMBERED_IMAGES: usize = 16;

#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub value: T,
    pub revision: Revision,
}

#[derive(Debug)]
pub(crate) struct LiveMachine {
    pub record: MachineRecord,
    pub revision: Revision,
    /// Images that its tasks have needed, the latest last.
    pub images: Vec<(Image, f64)>,
}

#[derive(Debug)]
pub(crate) struct WatchCache {
    pub revision: Revision,
    /// Tasks in one segment of a completion counter.
    segment_tasks: u32,
    pub leader: Option<Versioned<LeaderRecord>>,
    pub members: BTreeMap<Member, MemberRecord>,
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    pub catalog: Option<Versioned<Catalog>>,
    pub settings: Option<Versioned<Settings>>,
    pub history: BTreeMap<Pipeline, Versioned<HistoryRecord>>,
    /// Jobs whose tasks may run.
    pub jobs: BTreeMap<JobId, LiveJob>,
    /// Jobs that wait for others to be done. Nothing that counts or places work sees them.
    pub dependency_graph: DependencyGraph,
    pub machines: BTreeMap<MachineId, LiveMachine>,
    /// Records that came before the job they belong to.
    early_segments: BTreeMap<(JobId, u32), Versioned<Bitmap>>,
    early_plans: BTreeMap<JobId, PlanRecord>,
    /// The jobs of each batch of plans, by the batch's name.
    plan_batches: BTreeMap<String, Vec<JobId>>,
    /// Jobs that are known to be cancelled, by that change, before the stream has come so far.
    cancelled: BTreeMap<JobId, Revision>,
}

fn decode<T: DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    serde_json::from_value(value)
        .map_err(|error| tracing::error!(key, %error, "unreadable record ignored"))
        .ok()
}

impl WatchCache {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            revision: Revision(0),
            segment_tasks: config.segment_tasks(),
            leader: None,
            members: BTreeMap::new(),
            shards: BTreeMap::new(),
            catalog: None,
            settings: None,
            history: BTreeMap::new(),
            jobs: BTreeMap::new(),
            dependency_graph: DependencyGraph::default(),
            machines: BTreeMap::new(),
            early_segments: BTreeMap::new(),
            early_plans: BTreeMap::new(),
            plan_batches: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        }
    }

    /// A cancellation that is final, though the stream has not brought it yet: the job leaves the
    /// watch cache at once, and nothing that the stream still brings of it counts.
    pub(crate) fn cancel(&mut self, job: &JobId, revision: Revision) {
        if revision > self.revision {
            self.cancelled.insert(job.clone(), revision);
        }
        self.remove_job(job);
        self.dependency_graph
            .record_outcome(job, JobOutcome::Cancelled);
    }

    /// The revision of a job's record, whether it waits or not.
    pub(crate) fn job_revision(&self, id: &JobId) -> Option<Revision> {
        let live = self.jobs.get(id).map(|job| job.revision);
        live.or_else(|| self.dependency_graph.get(id).map(|job| job.revision))
    }

    /// A job's plan, whether it waits or not.
    pub(crate) fn plan(&self, id: &JobId) -> Option<&PlanRecord> {
        match self.jobs.get(id) {
            Some(job) => job.plan.as_ref(),
            None => self.dependency_graph.get(id)?.plan.as_ref(),
        }
    }

    /// A job's description, whether it waits or not.
    pub(crate) fn job_spec(&self, id: &JobId) -> Option<&Rc<JobSpec>> {
        let live = self.jobs.get(id).map(|job| &job.spec);
        live.or_else(|| self.dependency_graph.get(id).map(|job| &job.spec))
    }

    /// Whether every controller that takes part understands jobs that depend on others. One that
    /// does not would start them at once.
    pub(crate) fn all_know_dependencies(&self) -> bool {
        let mut members = self.members.values();
        members.all(|m| m.version >= ProgramVersion::DEPENDENCIES)
    }

    fn remove_job(&mut self, id: &JobId) {
        let changed = self.dependency_graph.remove(id);
        self.update_urgency(&changed);
        if let Some(job) = self.jobs.remove(id) {
            self.dependency_graph.record_machines(id, &job.ran_on);
        }
        self.dependency_graph.mark_ended(id);
    }

    /// A job's final record was read or written; the stream may not have brought it yet.
    pub(crate) fn record_job_outcome(&mut self, id: &JobId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(id) {
            self.dependency_graph.record_machines(id, &job.ran_on);
        }
        self.dependency_graph.record_outcome(id, outcome);
    }

    fn update_urgency(&mut self, changed: &[JobId]) {
        for id in changed {
            if let Some(job) = self.jobs.get_mut(id) {
                let own = Urgency::of(&job.spec, job.accepted);
                let inherited = self.dependency_graph.inherited(id);
                job.urgency = inherited.map_or(own, |other| own.merge(other));
            }
        }
    }

    /// Takes a plan for a job, whether it waits or not. `false`: there is no such job.
    pub(crate) fn set_plan(&mut self, id: &JobId, plan: PlanRecord) -> bool {
        if let Some(job) = self.jobs.get_mut(id) {
            job.plan = Some(plan);
            return true;
        }
        let waits = self.dependency_graph.contains(id);
        if waits {
            let changed = self.dependency_graph.set_plan(id, plan);
            self.update_urgency(&changed);
        }
        waits
    }

    /// The machines on whose records a job stands.
    pub(crate) fn machines_with_job(&self, job: &JobId) -> impl Iterator<Item = &MachineId> {
        let stands = move |m: &LiveMachine| m.record.jobs.iter().any(|g| g.job == *job);
        let machines_with_job = self.machines.iter().filter(move |(_, m)| stands(m));
        machines_with_job.map(|(id, _)| id)
    }

    /// A watch cache that is read anew takes over which jobs are known to be cancelled.
    pub(crate) fn keep_cancelled(&mut self, old: &Self) {
        for (job, revision) in &old.cancelled {
            self.cancel(job, *revision);
        }
    }

    pub(crate) fn load(&mut self, item: Item) {
        self.put(&item.key, item.value, item.revision);
    }

    /// Applies the next changes of the stream. Returns the ids of jobs that ended.
    pub(crate) fn apply(&mut self, revision: Revision, events: Vec<Event>) -> Vec<JobId> {
        let mut ended = Vec::new();
        for event in events {
            if let Some(key) = event.put {
                self.put(&key, event.value, event.revision);
            } else if let Some(key) = event.delete {
                ended.extend(self.delete(&key, event.revision));
            }
        }
        self.revision = self.revision.max(revision);
        let reached = self.revision;
        self.cancelled.retain(|_, at| *at > reached);
        ended
    }

    fn put(&mut self, key: &str, value: Value, revision: Revision) {
        let Some(live) = LiveKey::parse(key) else {
            return;
        };
        macro_rules! newer {
            ($slot:expr) => {
                $slot.as_ref().is_none_or(|old| old.revision < revision)
            };
        }
        macro_rules! single {
            ($slot:expr) => {
                if newer!($slot)
                    && let Some(value) = decode(key, value)
                {
                    $slot = Some(Versioned { value, revision });
                }
            };
        }
        match live {
            LiveKey::Leader => single!(self.leader),
            LiveKey::Catalog => single!(self.catalog),
            LiveKey::Settings => single!(self.settings),
            LiveKey::Member(member) => {
                if let Some(record) = decode(key, value) {
                    self.members.insert(member, record);
                }
            }
            LiveKey::Shard(shard) => {
                if newer!(self.shards.get(&shard))
                    && let Some(value) = decode(key, value)
                {
                    self.shards.insert(shard, Versioned { value, revision });
                }
            }
            LiveKey::History(pipeline) => {
                if let Some(value) = decode(key, value) {
                    self.history.insert(pipeline, Versioned { value, revision });
                }
            }
            LiveKey::Job(id) => {
                let old = self.job_revision(&id);
                if !self.cancelled.contains_key(&id)
                    && old.is_none_or(|old| old < revision)
                    && let Some(record) = decode::<JobRecord>(key, value)
                {
                    self.put_job(id, record, revision);
                }
            }
            LiveKey::Segment(id, segment) => {
                if let Some(value) = decode::<Bitmap>(key, value) {
                    let versioned = Versioned { value, revision };
                    match self.jobs.get_mut(&id) {
                        Some(job) => {
                            let bits = &versioned.value;
                            let size = self.segment_tasks;
                            job.counted
                                .retain(|i| i / size != segment || !bits.get(i % size));
                            job.segments.insert(segment, versioned);
                        }
                        None => {
                            self.early_segments.insert((id, segment), versioned);
                        }
                    }
                }
            }
            LiveKey::Plans(name) => {
                let batch: PlanBatch = decode(key, value).unwrap_or_default();
                self.plan_batches
                    .insert(name, batch.keys().cloned().collect());
                for (id, record) in batch {
                    if !self.set_plan(&id, record.clone()) {
                        self.early_plans.insert(id, record);
                    }
                }
            }
            LiveKey::Machine(id) => {
                if let Some(record) = decode(key, value) {
                    self.put_machine(id, record, revision);
                }
            }
        }
    }

    /// Takes a job's record from the stream, or from a transaction that was just committed.
    pub(crate) fn put_job(&mut self, id: JobId, record: JobRecord, revision: Revision) {
        if record.is_blocked() {
            let plan = self.early_plans.remove(&id);
            let job = BlockedJob::new(record.spec, record.accepted, revision, plan);
            let jobs = &self.jobs;
            let raised = self
                .dependency_graph
                .insert(id, job, |id| jobs.contains_key(id));
            self.update_urgency(&raised);
            return;
        }
        let waited = self
            .dependency_graph
            .get(&id)
            .and_then(|job| job.plan.clone());
        let changed = self.dependency_graph.remove(&id);
        self.update_urgency(&changed);
        let plan = waited.or_else(|| self.early_plans.remove(&id));
        self.put_live_job(id, record, revision, plan);
    }

    fn put_live_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        revision: Revision,
        plan: Option<PlanRecord>,
    ) {
        let first = (id.clone(), 0);
        let last = (id.clone(), u32::MAX);
        let early: Vec<_> = self
            .early_segments
            .range(first..=last)
            .map(|(k, _)| k.clone())
            .collect();
        let segments = early
            .into_iter()
            .filter_map(|k| self.early_segments.remove(&k).map(|s| (k.1, s)))
            .collect();
        let own = Urgency::of(&record.spec, record.accepted);
        let inherited = self.dependency_graph.inherited(&id);
        let mut job = LiveJob {
            accepted: record.accepted,
            eligible: record.released.unwrap_or(record.accepted),
            urgency: inherited.map_or(own, |other| own.merge(other)),
            spec: Rc::new(record.spec),
            revision,
            segments,
            counted: BTreeSet::new(),
            reported_done: BTreeSet::new(),
            placed: BTreeMap::new(),
            shadowed: Vec::new(),
            plan,
            ran_on: Vec::new(),
        };
        for (machine, live) in &self.machines {
            for group in live.record.jobs.iter().filter(|g| g.job == id) {
                for (index, attempt_number) in &group.tasks {
                    job.place(*index, machine, *attempt_number);
                }
            }
        }
        let records = self.machines.values().flat_map(|m| &m.record.done);
        for done in records.filter(|d| d.job == id) {
            job.count(done, self.segment_tasks);
        }
        self.dependency_graph.mark_live(&id);
        self.jobs.insert(id, job);
    }

    /// Takes a machine's record from the stream, or from a transaction that was just committed:
    /// the stream brings that one again, later, and is then ignored.
    pub(crate) fn put_machine(&mut self, id: MachineId, record: MachineRecord, revision: Revision) {
        let old = self.machines.remove(&id);
        if let Some(old) = old {
            if old.revision >= revision {
                self.machines.insert(id, old);
                return;
            }
            self.unplace(&id, &old.record);
            self.place(id, record, revision, old.images);
        } else {
            self.place(id, record, revision, Vec::new());
        }
    }

    /// A machine that answers and has no record yet.
    pub(crate) fn discover(&mut self, id: MachineId, record: MachineRecord) {
        if !self.machines.contains_key(&id) {
            self.place(id, record, Revision(0), Vec::new());
        }
    }

    /// Forgets a machine that has no record.
    pub(crate) fn forget(&mut self, id: &MachineId) {
        if self
            .machines
            .get(id)
            .is_some_and(|m| m.revision == Revision(0))
        {
            self.machines.remove(id);
        }
    }

    fn place(
        &mut self,
        id: MachineId,
        record: MachineRecord,
        revision: Revision,
        mut images: Vec<(Image, f64)>,
    ) {
        for group in &record.jobs {
            if let Some(job) = self.jobs.get_mut(&group.job) {
                for (index, attempt_number) in &group.tasks {
                    job.place(*index, &id, *attempt_number);
                }
                images.retain(|(image, _)| *image != group.image);
                images.push((group.image.clone(), job.spec.image_gb));
            }
        }
        for done in &record.done {
            if let Some(job) = self.jobs.get_mut(&done.job) {
                job.count(done, self.segment_tasks);
            }
        }
        let excess = images.len().saturating_sub(MAX_REMEMBERED_IMAGES);
        images.drain(..excess);
        let machine = LiveMachine {
            record,
            revision,
            images,
        };
        self.machines.insert(id, machine);
    }

    fn unplace(&mut self, id: &MachineId, record: &MachineRecord) {
        for group in &record.jobs {
            if let Some(job) = self.jobs.get_mut(&group.job) {
                for (index, attempt_number) in &group.tasks {
                    job.unplace(*index, id, *attempt_number);
                }
            }
        }
    }

    fn delete(&mut self, key: &str, revision: Revision) -> Option<JobId> {
        let older = |r: Revision| r < revision;
        match LiveKey::parse(key)? {
            LiveKey::Leader => self.leader = self.leader.take().filter(|l| !older(l.revision)),
            LiveKey::Catalog => self.catalog = None,
            LiveKey::Settings => self.settings = None,
            LiveKey::Member(member) => {
                self.members.remove(&member);
            }
            LiveKey::Shard(shard) => {
                if self.shards.get(&shard).is_some_and(|b| older(b.revision)) {
                    self.shards.remove(&shard);
                }
            }
            LiveKey::History(pipeline) => {
                self.history.remove(&pipeline);
            }
            LiveKey::Job(id) => {
                if self.job_revision(&id).is_some_and(older) {
                    self.remove_job(&id);
                    return Some(id);
                }
            }
            LiveKey::Segment(id, segment) => {
                self.early_segments.remove(&(id.clone(), segment));
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.segments.remove(&segment);
                }
            }
            LiveKey::Plans(name) => {
                for id in self.plan_batches.remove(&name).unwrap_or_default() {
                    self.early_plans.remove(&id);
                }
            }
            LiveKey::Machine(id) => {
                if self.machines.get(&id).is_some_and(|m| older(m.revision))
                    && let Some(old) = self.machines.remove(&id)
                {
                    self.unplace(&id, &old.record);
                }
            }
        }
        None
    }

    pub(crate) fn machine_type(&self, name: &crate::ids::TypeName) -> Option<&MachineType> {
        let catalog = self.catalog.as_ref()?;
        catalog.value.types.iter().find(|t| t.name == *name)
    }

    pub(crate) fn settings(&self) -> Settings {
        self.settings
            .as_ref()
            .map(|s| s.value.clone())
            .unwrap_or_default()
    }

    /// Records left behind by jobs that ended: they are cleaned up at leisure.
    pub(crate) fn orphaned_keys(&self, most: usize) -> Vec<String> {
        let segments = self.early_segments.keys();
        let live = |id: &JobId| self.job_revision(id).is_some();
        let plans = self.plan_batches.iter();
        segments
            .map(|(job, n)| super::keys::segment(job, *n))
            .chain(
                plans
                    .filter(|(_, jobs)| !jobs.iter().any(live))
                    .map(|(name, _)| super::keys::plans(name)),
            )
            .take(most)
            .collect()
    }

    /// What each team's placed tasks use, cancelled ones that are not proved gone included.
    pub(crate) fn team_usage(&self) -> BTreeMap<TeamId, crate::ids::Resources> {
        let mut usage: BTreeMap<TeamId, crate::ids::Resources> = BTreeMap::new();
        for group in self.machines.values().flat_map(|m| &m.record.jobs) {
            let used = group.need.times(group.tasks.len() as u64);
            match usage.get_mut(&group.team) {
                Some(sum) => *sum = *sum + used,
                None => {
                    usage.insert(group.team.clone(), used);
                }
            }
        }
        usage
    }
}

#[cfg(test)]
mod tests;
