//! Submissions that name other jobs, and cancellations of jobs that others need.

mod decision;

pub(crate) use decision::{
    CancellationCascade, CascadeStep, Dependencies, DependencyState, named_in_cache, new_job,
};

use super::job_api::{JobApi, JobLookup, retry_later, status};
use crate::http::Response;
use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::{JobSpec, JobState};
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::JobRecord;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How often the named jobs are looked up while they go on changing.
const MAX_ATTEMPTS: usize = 4;
/// How long a user's request waits for dependents to be cancelled; a poll waits for two seconds.
const CASCADE_TIMEOUT: Duration = Duration::from_millis(600);
const POLL_INTERVAL: Duration = Duration::from_millis(15);

impl JobApi {
    /// Accepts a job that names others.
    pub(super) async fn submit_dependent(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        // It would start the job at once.
        if !self.controller.borrow().cache.all_know_dependencies() {
            return retry_later("a controller of an earlier version takes part");
        }
        let mut changed = BTreeSet::new();
        for _ in 0..MAX_ATTEMPTS {
            let dependencies = self.look_up(&spec, &changed).await;
            if let Dependencies::Refused(why) = &dependencies {
                return self.refuse(&id, why).await;
            }
            let ops = self.config.state.txn_ops;
            let Some((txn, state)) = dependencies.accept(&spec, UnixTime::now(), ops) else {
                return retry_later("the jobs that it names can't be read");
            };
            match self.store.txn(RequestClass::Accept, &txn).await {
                TxnOutcome::Committed(_) => return status(201, &id, state, None),
                TxnOutcome::Refused | TxnOutcome::Invalid => {
                    return retry_later("too much is asked of the state service");
                }
                // It may stand already; the repeat will tell.
                TxnOutcome::Unknown => return retry_later("the state service did not answer"),
                TxnOutcome::Failed(failed, _) => {
                    let own = [keys::job(&id), keys::final_state(&id)];
                    if failed.iter().any(|key| own.contains(key)) {
                        return self.poll_known(&id).await;
                    }
                    let dependency_state = spec.dependencies.iter();
                    changed.extend(
                        dependency_state
                            .filter(|d| failed.contains(&keys::job(d)))
                            .cloned(),
                    );
                }
            }
        }
        retry_later("the jobs that it names are changing")
    }

    /// Looks all named jobs up. What the watch cache shows of those that have `changed` is known to be
    /// old.
    async fn look_up(&self, spec: &JobSpec, changed: &BTreeSet<JobId>) -> Dependencies {
        let mut dependency_state = Vec::new();
        for id in &spec.dependencies {
            let state = self.dependency_state(id, changed.contains(id)).await;
            dependency_state.push((id.clone(), state));
        }
        Dependencies::of(&spec.id, dependency_state)
    }

    async fn dependency_state(&self, id: &JobId, changed: bool) -> DependencyState {
        let shown = named_in_cache(id, &self.controller.borrow().cache);
        if let Some(live) = shown.filter(|_| !changed) {
            return live;
        }
        match self.find(id).await {
            JobLookup::Live(item) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => DependencyState::Live {
                    kind: record.spec.kind,
                    revision: item.revision,
                },
                Err(_) => DependencyState::Unknown,
            },
            JobLookup::Over(final_state) if final_state.record.state == JobState::Cancelled => {
                DependencyState::Cancelled
            }
            JobLookup::Over(_) => DependencyState::Done,
            JobLookup::Never => DependencyState::Never,
            JobLookup::Unknown => DependencyState::Unknown,
        }
    }

    /// Cancels all jobs that need a cancelled one, before its user is told. `false`: not all yet.
    pub(super) async fn cancel_dependents(&self, id: &JobId, revision: Revision) -> bool {
        let until = Instant::now() + CASCADE_TIMEOUT;
        let mut cascade = CancellationCascade::new(id, revision);
        let ops = self.config.state.txn_ops;
        while Instant::now() < until {
            let step = cascade.next(&self.controller.borrow().cache, ops);
            let (txn, jobs) = match step {
                CascadeStep::Complete => return true,
                CascadeStep::Wait => {
                    runtime::sleep(POLL_INTERVAL).await;
                    continue;
                }
                CascadeStep::Write(txn, jobs) => (txn, jobs),
            };
            match self.store.txn(RequestClass::Accept, &txn).await {
                TxnOutcome::Committed(at) => {
                    cascade.committed(at);
                    let mut controller = self.controller.borrow_mut();
                    controller.dependents_cancelled(&jobs, at);
                }
                // Released, cancelled by others, or the watch cache is behind.
                TxnOutcome::Failed(..) => runtime::sleep(POLL_INTERVAL).await,
                TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => return false,
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
