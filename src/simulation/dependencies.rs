//! Submission of jobs that depend on other jobs, and cancellation of dependents.

use super::cluster::SimulatedCluster;
use super::events::{CascadeStepDue, ControllerProcess, SimulationEvent};
use super::guards::DisabledGuard;
use super::timing::USER_RETRY_MS;
use super::violations::ViolationKind;
use crate::api::dependencies::{
    CancellationCascade, CascadeStep, CombinedDependencyState, DependencyState,
    cached_dependency_state,
};
use crate::controller::{Effect, TxnRequester};
use crate::ids::{JobId, UnixTime};
use crate::protocol::store::Txn;
use crate::protocol::{JobKind, JobSpec, JobState};
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;

/// The delay before a submission is retried because its dependencies have changed, in ms.
const DECISION_RETRY_MS: u64 = 20;
/// The number of most recent jobs among which users choose dependencies.
const RECENT_JOBS: u64 = 8;
/// The interval between the steps of cancelling dependents, in ms.
const CASCADE_INTERVAL_MS: u64 = 15;
/// Percent of the chosen cancelled jobs that users still name as dependencies.
const CANCELLED_DEPENDENCY_PERCENT: u64 = 10;

impl SimulatedCluster {
    /// Adds up to three of the most recent accepted jobs as dependencies. Services are excluded,
    /// since they never end, and cancelled jobs are rarely added.
    pub(super) fn add_dependencies(&mut self, spec: &mut JobSpec) {
        let known = self.jobs.iter().rev();
        let recent = known.filter(|(id, s)| s.kind != JobKind::Service && self.is_accepted(id));
        let recent: Vec<JobId> = recent
            .map(|(id, _)| id.clone())
            .take(RECENT_JOBS as usize)
            .collect();
        let max_count = (recent.len() as u64).min(3);
        let mut chosen = BTreeSet::new();
        for _ in 0..self.pick(0, max_count) {
            let at = self.pick(0, recent.len() as u64 - 1) as usize;
            let cancelled = self.final_state(&recent[at]) == Some(JobState::Cancelled);
            if !cancelled || self.chance(CANCELLED_DEPENDENCY_PERCENT) {
                chosen.insert(recent[at].clone());
            }
        }
        spec.dependencies = chosen.into_iter().collect();
    }

    fn is_accepted(&self, id: &JobId) -> bool {
        self.store.contains(&keys::job(id)) || self.store.contains(&keys::final_state(id))
    }

    /// Submits a job with dependencies through a random controller that can serve it, as the API
    /// does.
    pub(super) fn submit_dependent(&mut self, spec: JobSpec) {
        if self.is_accepted(&spec.id) {
            return;
        }
        let Some(node) = self.serving_node() else {
            self.schedule_in(USER_RETRY_MS, SimulationEvent::SubmitDependent(spec));
            return;
        };
        let Some(controller) = &self.nodes[node].controller else {
            return;
        };
        let guarded = self.disabled_guard != DisabledGuard::DependenciesAcceptedDuringUpgrade;
        if guarded && !controller.cache.all_members_support_dependencies() {
            self.observed.dependencies.postponed += 1;
            self.schedule_in(USER_RETRY_MS, SimulationEvent::SubmitDependent(spec));
            return;
        }
        let ids = spec.dependencies.iter();
        let dependency_states = ids.map(|id| (id.clone(), self.dependency_state(node, id)));
        let dependencies = CombinedDependencyState::of(&spec.id, dependency_states.collect());
        self.write_submission(&spec, &dependencies);
    }

    fn write_submission(&mut self, spec: &JobSpec, dependencies: &CombinedDependencyState) {
        let effective_state = match self.disabled_guard {
            DisabledGuard::DependenciesIgnored => &CombinedDependencyState::Done,
            _ => dependencies,
        };
        let (now, max_txn_ops) = (
            UnixTime(self.now.0),
            self.nodes[0].config.store_limits.txn_ops,
        );
        let Some((txn, state)) = effective_state.acceptance_txn(spec, now, max_txn_ops) else {
            self.record_violation(
                ViolationKind::SubmissionNotAccepted,
                format!("{} {dependencies:?}", spec.id),
            );
            return;
        };
        match self.write_as_user(txn) {
            TxnOutcome::Committed(_) => {
                let counts = &mut self.observed.dependencies;
                counts.submitted += 1;
                counts.accepted_blocked +=
                    u64::from(matches!(dependencies, CombinedDependencyState::Live(_)));
                counts.cancelled_on_submission += u64::from(state == JobState::Cancelled);
                if state == JobState::Cancelled {
                    self.check_final_states();
                }
            }
            _ => self.schedule_in(
                DECISION_RETRY_MS,
                SimulationEvent::SubmitDependent(spec.clone()),
            ),
        }
    }

    /// Returns a random controller that runs, is not paused and can reach the key-value store.
    fn serving_node(&mut self) -> Option<usize> {
        let can_serve = |n: &usize| {
            let node = &self.nodes[*n];
            let store_reachable = node.store_cut_until <= self.now && node.paused_until <= self.now;
            node.controller.is_some() && store_reachable
        };
        let serving_nodes: Vec<usize> = (0..self.nodes.len()).filter(can_serve).collect();
        let last = serving_nodes.len().checked_sub(1)? as u64;
        let at = self.pick(0, last) as usize;
        serving_nodes.get(at).copied()
    }

    fn dependency_state(&self, node: usize, id: &JobId) -> DependencyState {
        let controller = self.nodes[node].controller.as_ref();
        let cached = controller.and_then(|c| cached_dependency_state(id, &c.cache));
        // The cached state may be stale. In that case the conditions of the API's write fail and
        // the API reads the records, so a stale state is replaced here by the records.
        let live_revision = self.store.revision_of(&keys::job(id));
        let is_current = |state: &DependencyState| matches!(state, DependencyState::Live { revision, .. } if live_revision == Some(*revision));
        if let Some(live) = cached.filter(is_current) {
            return live;
        }
        if let (Some(record), Some(revision)) =
            (self.store.read::<JobRecord>(&keys::job(id)), live_revision)
        {
            let kind = record.spec.kind;
            return DependencyState::Live { kind, revision };
        }
        match self.final_state(id) {
            Some(JobState::Cancelled) => DependencyState::Cancelled,
            Some(_) => DependencyState::Done,
            None => DependencyState::NeverAccepted,
        }
    }

    /// Returns the final state of a job, if it has one.
    pub(super) fn final_state(&self, id: &JobId) -> Option<JobState> {
        let record = self.store.read::<FinalRecord>(&keys::final_state(id))?;
        Some(record.state)
    }

    /// Runs one step of cancelling the dependents of a cancelled job. The user is told only after
    /// the last step, as the API does.
    pub(super) fn step_cascade(&mut self, mut due: CascadeStepDue) {
        if self.disabled_guard == DisabledGuard::DependentsNotCancelled {
            self.confirm_cancellation(&due.job);
            return;
        }
        let ControllerProcess { node, generation } = due.process;
        let max_txn_ops = self.nodes[node].config.store_limits.txn_ops;
        let store_reachable = self.nodes[node].store_cut_until <= self.now;
        let Some(controller) = self.nodes[node].process(generation) else {
            return self.retry_cancellation(due.job);
        };
        match due.cascade.next(&controller.cache, max_txn_ops) {
            CascadeStep::Complete => {
                self.count_live_dependents(&due.job);
                self.confirm_cancellation(&due.job);
                return;
            }
            _ if self.now > due.deadline => return self.retry_cancellation(due.job),
            CascadeStep::Write(txn, jobs) if store_reachable => {
                self.write_cascade(due.process, &mut due.cascade, txn, &jobs);
            }
            CascadeStep::Write(..) | CascadeStep::Wait => {}
        }
        self.schedule_in(CASCADE_INTERVAL_MS, SimulationEvent::CascadeStep(due));
    }

    fn write_cascade(
        &mut self,
        process: ControllerProcess,
        cascade: &mut CancellationCascade,
        txn: Txn,
        jobs: &[JobId],
    ) {
        let outcome = self.write_as_user(txn);
        self.check_final_states();
        if let TxnOutcome::Committed(at) = outcome {
            cascade.committed(at);
            self.observed.dependencies.cancelled_by_cascade += jobs.len() as u64;
            self.with_controller(process, |c| {
                c.on_dependents_cancelled(jobs, at);
                Vec::new()
            });
        }
    }

    fn count_live_dependents(&mut self, cancelled: &JobId) {
        let live = self.jobs.keys().filter(|id| {
            self.store.contains(&keys::job(id))
                && self.transitive_dependencies(id).contains(cancelled)
        });
        self.observed.dependencies.live_at_confirmation += live.count() as u64;
    }

    /// Returns all jobs that a job depends on, directly or transitively.
    pub(super) fn transitive_dependencies(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut pending = vec![id.clone()];
        while let Some(next) = pending.pop() {
            for dependency in &self.jobs[&next].dependencies {
                if found.insert(dependency.clone()) {
                    pending.push(dependency.clone());
                }
            }
        }
        found
    }

    /// Counts the transactions by which the leader releases dependent jobs.
    pub(super) fn count_releases(&mut self, effects: &[Effect]) {
        let is_release = |e: &&Effect| {
            let requester = match e {
                Effect::Txn { requester, .. } => requester,
                _ => return false,
            };
            matches!(requester, TxnRequester::DependentRelease(_))
        };
        self.observed.dependencies.released += effects.iter().filter(is_release).count() as u64;
    }
}
