//! Users who submit jobs that need others, and what is checked of them: no task starts too early,
//! and no job is left behind by the cancellation of one that it needs.

use super::cluster::{CANCELLATION_LIMIT_MS, DisabledGuard, SimulatedCluster, SimulationEvent};
use crate::api::dependencies::{
    CancellationCascade, CascadeStep, Dependencies, DependencyState, named_in_cache,
};
use crate::controller::Effect;
use crate::ids::{JobId, MonotonicTime, UnixTime};
use crate::protocol::{JobKind, JobSpec, JobState};
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;

/// Users repeat what was not answered.
const USER_RETRY_MS: u64 = 1000;
/// A submission whose named jobs have changed is decided anew after this.
const DECISION_RETRY_MS: u64 = 20;
/// Jobs that users name are among the last so many.
const RECENT_JOBS: u64 = 8;
const POLL_INTERVAL: u64 = 15;
/// Percent of the cancelled jobs that users name all the same.
const CANCELLED_PARENT_PERCENT: u64 = 10;

/// Dependent jobs as they came to be; a day without any shows nothing.
#[derive(Debug, Default)]
pub(super) struct PipelineCounts {
    pub submitted: u64,
    /// Accepted with dependencies that were not over.
    pub waited: u64,
    pub released: u64,
    /// Accepted as cancelled, and cancelled later with what they needed.
    pub cancelled_at_once: u64,
    pub cancelled_with: u64,
    /// Submissions put off since a controller of an earlier version took part.
    pub postponed: u64,
    /// Stood on record when the user of a job that they need was told.
    pub left_at_confirmation: u64,
}

impl PipelineCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.waited += other.waited;
        self.released += other.released;
        self.cancelled_at_once += other.cancelled_at_once;
        self.cancelled_with += other.cancelled_with;
        self.postponed += other.postponed;
        self.left_at_confirmation += other.left_at_confirmation;
    }
}

impl SimulatedCluster {
    /// Names some recent jobs, whatever has become of them. Users know only those that were
    /// accepted.
    pub(super) fn add_dependencies(&mut self, spec: &mut JobSpec) {
        let known = self.jobs.iter().rev();
        let recent = known.filter(|(id, s)| s.kind != JobKind::Service && self.is_accepted(id));
        let recent: Vec<JobId> = recent
            .map(|(id, _)| id.clone())
            .take(RECENT_JOBS as usize)
            .collect();
        let most = (recent.len() as u64).min(3);
        let mut named = BTreeSet::new();
        for _ in 0..self.pick(0, most) {
            let at = self.pick(0, recent.len() as u64 - 1) as usize;
            let cancelled = self.final_state(&recent[at]) == Some(JobState::Cancelled);
            if !cancelled || self.chance(CANCELLED_PARENT_PERCENT) {
                named.insert(recent[at].clone());
            }
        }
        spec.dependencies = named.into_iter().collect();
    }

    fn is_accepted(&self, id: &JobId) -> bool {
        let keys = &self.store.keys;
        keys.contains_key(&keys::job(id)) || keys.contains_key(&keys::final_state(id))
    }

    /// Submits a job that names others through some controller, as the intake does it.
    pub(super) fn submit_dependent(&mut self, spec: JobSpec) {
        if self.is_accepted(&spec.id) {
            return;
        }
        let Some(node) = self.serving_node() else {
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Submit(spec));
            return;
        };
        let Some(controller) = &self.nodes[node].controller else {
            return;
        };
        let guarded = self.disabled_guard != DisabledGuard::OldVersionsAcceptDependencies;
        if guarded && !controller.cache.all_know_dependencies() {
            self.pipelines.postponed += 1;
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Submit(spec));
            return;
        }
        let ids = spec.dependencies.iter();
        let named = ids.map(|id| (id.clone(), self.named(node, id)));
        let dependencies = Dependencies::of(&spec.id, named.collect());
        self.write_submission(&spec, &dependencies);
    }

    fn write_submission(&mut self, spec: &JobSpec, dependencies: &Dependencies) {
        let decided = match self.disabled_guard {
            DisabledGuard::DependenciesIgnored => &Dependencies::Done,
            _ => dependencies,
        };
        let (now, ops) = (UnixTime(self.now.0), self.nodes[0].config.state.txn_ops);
        let Some((txn, state)) = decided.accept(spec, now, ops) else {
            self.record_violation("not_accepted", format!("{} {dependencies:?}", spec.id));
            return;
        };
        match self.write_as_user(txn) {
            TxnOutcome::Committed(_) => {
                let counts = &mut self.pipelines;
                counts.submitted += 1;
                counts.waited += u64::from(matches!(dependencies, Dependencies::Open(_)));
                counts.cancelled_at_once += u64::from(state == JobState::Cancelled);
                if state == JobState::Cancelled {
                    self.check_final_states();
                }
            }
            _ => self.schedule_in(DECISION_RETRY_MS, SimulationEvent::Submit(spec.clone())),
        }
    }

    /// A controller that can decide: it runs, and the key-value store serves it.
    fn serving_node(&mut self) -> Option<usize> {
        let able = |n: &usize| {
            let node = &self.nodes[*n];
            let served = node.store_cut_until <= self.now && node.frozen_until <= self.now;
            node.controller.is_some() && served
        };
        let able: Vec<usize> = (0..self.nodes.len()).filter(able).collect();
        let last = able.len().checked_sub(1)? as u64;
        let at = self.pick(0, last) as usize;
        able.get(at).copied()
    }

    fn named(&self, node: usize, id: &JobId) -> DependencyState {
        let controller = self.nodes[node].controller.as_ref();
        let shown = controller.and_then(|c| named_in_cache(id, &c.cache));
        // What the watch cache shows may be old: the conditions of the write tell, and then the records
        // are read.
        let stands = |named: &DependencyState| {
            let found = self.store.keys.get(&keys::job(id)).map(|k| k.1);
            matches!(named, DependencyState::Live { revision, .. } if found == Some(*revision))
        };
        if let Some(live) = shown.filter(stands) {
            return live;
        }
        if let Some((value, revision, _)) = self.store.keys.get(&keys::job(id)) {
            let record: JobRecord = serde_json::from_value(value.clone()).expect("record");
            let (kind, revision) = (record.spec.kind, *revision);
            return DependencyState::Live { kind, revision };
        }
        match self.final_state(id) {
            Some(JobState::Cancelled) => DependencyState::Cancelled,
            Some(_) => DependencyState::Done,
            None => DependencyState::Never,
        }
    }

    fn final_state(&self, id: &JobId) -> Option<JobState> {
        let (value, ..) = self.store.keys.get(&keys::final_state(id))?;
        let record: FinalRecord = serde_json::from_value(value.clone()).expect("record");
        Some(record.state)
    }

    /// Cancels what needs a cancelled job before its user is told, as the intake does it.
    pub(super) fn cascade(
        &mut self,
        node: usize,
        generation: u64,
        job: JobId,
        mut cascade: CancellationCascade,
        until: MonotonicTime,
    ) {
        if self.disabled_guard == DisabledGuard::DependentsNotCancelled {
            self.confirm(&job);
            return;
        }
        let now = self.now;
        let ops = self.nodes[node].config.state.txn_ops;
        let served = self.nodes[node].store_cut_until <= now;
        let asked = &mut self.nodes[node];
        let Some(controller) = asked
            .controller
            .as_mut()
            .filter(|_| asked.generation == generation)
        else {
            self.schedule_in(USER_RETRY_MS, SimulationEvent::Cancel(job));
            return;
        };
        let step = cascade.next(&controller.cache, ops);
        match step {
            CascadeStep::Complete => {
                self.count_left_dependents(&job);
                self.confirm(&job);
                return;
            }
            _ if now > until => {
                self.schedule_in(USER_RETRY_MS, SimulationEvent::Cancel(job));
                return;
            }
            CascadeStep::Write(txn, jobs) if served => {
                let outcome = self.write_as_user(txn);
                self.check_final_states();
                if let TxnOutcome::Committed(at) = outcome {
                    cascade.committed(at);
                    self.pipelines.cancelled_with += jobs.len() as u64;
                    self.with_controller(node, generation, |c| {
                        c.dependents_cancelled(&jobs, at);
                        Vec::new()
                    });
                }
            }
            CascadeStep::Write(..) | CascadeStep::Wait => {}
        }
        self.schedule_in(
            POLL_INTERVAL,
            SimulationEvent::CancellationCascade(node, generation, job, cascade, until),
        );
    }

    fn count_left_dependents(&mut self, told: &JobId) {
        let left = self.jobs.keys().filter(|id| {
            self.store.keys.contains_key(&keys::job(id)) && self.ancestors(id).contains(told)
        });
        self.pipelines.left_at_confirmation += left.count() as u64;
    }

    /// All jobs that a job needs, directly or through others.
    fn ancestors(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut open = vec![id.clone()];
        while let Some(next) = open.pop() {
            for parent in &self.jobs[&next].dependencies {
                if found.insert(parent.clone()) {
                    open.push(parent.clone());
                }
            }
        }
        found
    }

    fn is_done(&self, id: &JobId) -> bool {
        let done = self.completed_indices.get(id).map_or(0, BTreeSet::len);
        done >= self.jobs[id].tasks as usize
    }

    /// `too_early`.
    pub(super) fn check_parents_done(&mut self, spec: &JobSpec) {
        let open = spec.dependencies.iter().find(|id| !self.is_done(id));
        if let Some(open) = open.cloned() {
            self.record_violation("too_early", format!("{} before {open}", spec.id));
        }
    }

    /// `orphaned`: it would still be called queued or running.
    pub(super) fn check_no_orphans(&mut self) {
        let late = |id: &JobId| {
            let told = self.cancelled.get(id);
            told.is_some_and(|at| self.now.since(*at).0 > CANCELLATION_LIMIT_MS)
        };
        let live = self.jobs.keys();
        let live = live.filter(|id| self.store.keys.contains_key(&keys::job(id)));
        let orphaned_keys = live.filter(|id| self.ancestors(id).iter().any(late));
        let orphaned_keys: Vec<JobId> = orphaned_keys.cloned().collect();
        for orphan in orphaned_keys {
            self.record_violation("orphaned", orphan);
        }
    }

    /// A job is only cancelled if its user has asked for it, or with one that it needs.
    pub(super) fn check_cancellation_reason(&mut self, id: &JobId) {
        let asked = |id: &JobId| self.cancelling.contains(id) || self.cancelled.contains_key(id);
        let mut reasons = self.ancestors(id);
        reasons.insert(id.clone());
        if !reasons.iter().any(asked) {
            self.record_violation("cancelled_without_reason", id);
        }
    }

    /// Whether something that a job needs is not done: it may wait however much room there is.
    pub(super) fn has_unfinished_dependencies(&self, spec: &JobSpec) -> bool {
        let mut needed = spec.dependencies.iter();
        needed.any(|id| self.final_state(id) != Some(JobState::Done))
    }

    /// Counts what the leader does for dependent jobs.
    pub(super) fn count_dependents(&mut self, effects: &[Effect]) {
        use crate::controller::TxnRequester;
        let is_release = |e: &&Effect| {
            let requester = match e {
                Effect::Txn { requester, .. } => requester,
                _ => return false,
            };
            matches!(requester, TxnRequester::Dependent(_))
        };
        self.pipelines.released += effects.iter().filter(is_release).count() as u64;
    }
}
