//! The cached jobs, both blocked and live, with their records, plans and completion counters.

use super::{LiveJob, WatchCache};
use crate::ids::{JobId, Revision};
use crate::protocol::JobSpec;
use crate::store::dependency_graph::{BlockedJob, JobOutcome};
use crate::store::keys::SegmentKey;
use crate::store::records::{Bitmap, JobRecord, PlanBatch, PlanRecord};
use crate::store::versioned::Versioned;
use std::collections::BTreeMap;
use std::rc::Rc;

impl WatchCache {
    /// Removes a job whose cancellation is committed, before the change is received from the stream.
    /// Earlier versions of its record that are still received are ignored.
    pub(crate) fn apply_cancellation(&mut self, job: &JobId, revision: Revision) {
        if revision > self.revision {
            self.cancelled.insert(job.clone(), revision);
        }
        self.remove_job(job);
        self.dependency_graph
            .record_outcome(job, JobOutcome::Cancelled);
    }

    /// Returns the revision of the record of a blocked or live job.
    pub(crate) fn job_revision(&self, id: &JobId) -> Option<Revision> {
        let live = self.jobs.get(id).map(|job| job.revision);
        live.or_else(|| self.dependency_graph.get(id).map(|job| job.revision))
    }

    /// Returns the plan of a blocked or live job.
    pub(crate) fn plan(&self, id: &JobId) -> Option<&PlanRecord> {
        match self.jobs.get(id) {
            Some(job) => job.plan.as_ref(),
            None => self.dependency_graph.get(id)?.plan.as_ref(),
        }
    }

    /// Returns the specification of a blocked or live job.
    pub(crate) fn job_spec(&self, id: &JobId) -> Option<&Rc<JobSpec>> {
        let live = self.jobs.get(id).map(|job| &job.spec);
        live.or_else(|| self.dependency_graph.get(id).map(|job| &job.spec))
    }

    /// Records a job's outcome from its final record. The deletion of the job's live record may not have
    /// been received from the stream yet.
    pub(crate) fn record_job_outcome(&mut self, id: &JobId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(id) {
            self.dependency_graph
                .record_machines(id, &job.first_machines);
        }
        self.dependency_graph.record_outcome(id, outcome);
    }

    fn update_urgency(&mut self, changed: &[JobId]) {
        for id in changed {
            if let Some(job) = self.jobs.get_mut(id) {
                let own = job.own_urgency();
                job.urgency = self.dependency_graph.merge_inherited(id, own);
            }
        }
    }

    /// Sets the plan of a blocked or live job. Returns whether the job is in the cache.
    pub(crate) fn set_plan(&mut self, id: &JobId, plan: PlanRecord) -> bool {
        if let Some(job) = self.jobs.get_mut(id) {
            job.plan = Some(plan);
            return true;
        }
        let is_blocked = self.dependency_graph.contains(id);
        if is_blocked {
            let changed = self.dependency_graph.set_plan(id, plan);
            self.update_urgency(&changed);
        }
        is_blocked
    }

    /// Removes a job and returns its id, unless its record was written after this deletion.
    pub(super) fn delete_job(&mut self, id: JobId, revision: Revision) -> Option<JobId> {
        if self.job_revision(&id).is_some_and(|r| r < revision) {
            self.remove_job(&id);
            return Some(id);
        }
        None
    }

    fn remove_job(&mut self, id: &JobId) {
        let changed = self.dependency_graph.remove(id);
        self.update_urgency(&changed);
        if let Some(job) = self.jobs.remove(id) {
            self.dependency_graph
                .record_machines(id, &job.first_machines);
        }
        self.dependency_graph.mark_ended(id);
    }

    /// Stores a segment of a job's completion counter. Tasks that are done in it no longer need to be
    /// counted from machine records.
    pub(super) fn put_segment(&mut self, key: SegmentKey, bits: Versioned<Bitmap>) {
        match self.jobs.get_mut(&key.job) {
            Some(job) => job.put_segment(key.segment, bits, self.tasks_per_segment),
            None => {
                self.segments_without_job.insert(key, bits);
            }
        }
    }

    /// Removes a segment, whether its job is in the cache or not.
    pub(super) fn delete_segment(&mut self, key: &SegmentKey) {
        self.segments_without_job.remove(key);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.segments.remove(&key.segment);
        }
    }

    /// Stores a batch of plans. Plans whose jobs are not in the cache yet are kept until they are.
    pub(super) fn put_plan_batch(&mut self, name: String, batch: PlanBatch) {
        self.plan_batches
            .insert(name, batch.keys().cloned().collect());
        for (id, record) in batch {
            if !self.set_plan(&id, record.clone()) {
                self.plans_without_job.insert(id, record);
            }
        }
    }

    /// Removes a batch of plans, including its plans whose jobs were not received.
    pub(super) fn delete_plan_batch(&mut self, name: &str) {
        for id in self.plan_batches.remove(name).unwrap_or_default() {
            self.plans_without_job.remove(&id);
        }
    }

    /// Stores a job's record from the stream, or from a transaction that was just committed.
    pub(crate) fn put_job(&mut self, id: JobId, record: JobRecord, revision: Revision) {
        if record.is_blocked() {
            let plan = self.plans_without_job.remove(&id);
            let job = BlockedJob::new(record.spec, record.accepted_at, revision, plan);
            let jobs = &self.jobs;
            let is_live = |id: &JobId| jobs.contains_key(id);
            let raised = self.dependency_graph.insert(id, job, is_live);
            self.update_urgency(&raised);
            return;
        }
        let blocked = self.dependency_graph.get(&id);
        let known_plan = blocked.and_then(|job| job.plan.clone());
        let changed = self.dependency_graph.remove(&id);
        self.update_urgency(&changed);
        let plan = known_plan.or_else(|| self.plans_without_job.remove(&id));
        self.put_live_job(id, record, revision, plan);
    }

    fn put_live_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        revision: Revision,
        plan: Option<PlanRecord>,
    ) {
        let mut job = LiveJob::new(record, revision, plan);
        job.segments = self.take_segments_without_job(&id);
        job.urgency = self.dependency_graph.merge_inherited(&id, job.urgency);
        for (machine, live) in &self.machines {
            for placed in live.record.jobs.iter().filter(|p| p.job == id) {
                job.place_tasks(machine, placed);
            }
        }
        let records = self.machines.values().flat_map(|m| &m.record.done);
        for done in records.filter(|d| d.job == id) {
            job.add_done(done, self.tasks_per_segment);
        }
        self.dependency_graph.mark_live(&id);
        self.jobs.insert(id, job);
    }

    fn take_segments_without_job(&mut self, job: &JobId) -> BTreeMap<u32, Versioned<Bitmap>> {
        let key = |segment| SegmentKey {
            job: job.clone(),
            segment,
        };
        let range = self.segments_without_job.range(key(0)..=key(u32::MAX));
        let keys: Vec<SegmentKey> = range.map(|(key, _)| key.clone()).collect();
        let mut segments = BTreeMap::new();
        for key in keys {
            if let Some(bits) = self.segments_without_job.remove(&key) {
                segments.insert(key.segment, bits);
            }
        }
        segments
    }
}
