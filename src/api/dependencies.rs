//! Submissions that name other jobs, and cancellations of jobs that others need.

mod decision;

pub use decision::{Cascade, CascadeStep, Dependencies, Named, named_in_cache, new_job};

use super::service::{Found, Intake, later, status};
use crate::http::Response;
use crate::ids::{JobId, Revision, UnixTime};
use crate::protocol::{JobSpec, JobState};
use crate::runtime;
use crate::store::records::JobRecord;
use crate::store::tokens::Class;
use crate::store::{TxnOutcome, keys};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How often the named jobs are looked up while they go on changing.
const TRIES: usize = 4;
/// How long a user's request waits for dependents to be cancelled; a poll waits for two seconds.
const PATIENCE: Duration = Duration::from_millis(600);
const LOOK_AGAIN: Duration = Duration::from_millis(15);

impl Intake {
    /// Accepts a job that names others.
    pub(super) async fn submit_dependent(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        // It would start the job at once.
        if !self.controller.borrow().cache.all_know_dependencies() {
            return later("a controller of an earlier version takes part");
        }
        let mut changed = BTreeSet::new();
        for _ in 0..TRIES {
            let dependencies = self.look_up(&spec, &changed).await;
            if let Dependencies::Refused(why) = &dependencies {
                return self.refuse(&id, why).await;
            }
            let ops = self.config.state.txn_ops;
            let Some((txn, state)) = dependencies.accept(&spec, UnixTime::now(), ops) else {
                return later("the jobs that it names can't be read");
            };
            match self.store.txn(Class::Accept, &txn).await {
                TxnOutcome::Committed(_) => return status(201, &id, state, None),
                TxnOutcome::Refused | TxnOutcome::Invalid => {
                    return later("too much is asked of the state service");
                }
                // It may stand already; the repeat will tell.
                TxnOutcome::Unknown => return later("the state service did not answer"),
                TxnOutcome::Failed(failed, _) => {
                    let own = [keys::job(&id), keys::over(&id)];
                    if failed.iter().any(|key| own.contains(key)) {
                        return self.poll_known(&id).await;
                    }
                    let named = spec.dependencies.iter();
                    changed.extend(named.filter(|d| failed.contains(&keys::job(d))).cloned());
                }
            }
        }
        later("the jobs that it names are changing")
    }

    /// Looks all named jobs up. What the mirror shows of those that have `changed` is known to be
    /// old.
    async fn look_up(&self, spec: &JobSpec, changed: &BTreeSet<JobId>) -> Dependencies {
        let mut named = Vec::new();
        for id in &spec.dependencies {
            let standing = self.named(id, changed.contains(id)).await;
            named.push((id.clone(), standing));
        }
        Dependencies::of(&spec.id, named)
    }

    async fn named(&self, id: &JobId, changed: bool) -> Named {
        let shown = named_in_cache(id, &self.controller.borrow().cache);
        if let Some(live) = shown.filter(|_| !changed) {
            return live;
        }
        match self.find(id).await {
            Found::Live(item) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(record) => Named::Live {
                    kind: record.spec.kind,
                    revision: item.revision,
                },
                Err(_) => Named::Unknown,
            },
            Found::Over(over) if over.record.state == JobState::Cancelled => Named::Cancelled,
            Found::Over(_) => Named::Done,
            Found::Never => Named::Never,
            Found::Unknown => Named::Unknown,
        }
    }

    /// Cancels all jobs that need a cancelled one, before its user is told. `false`: not all yet.
    pub(super) async fn cancel_dependents(&self, id: &JobId, revision: Revision) -> bool {
        let until = Instant::now() + PATIENCE;
        let mut cascade = Cascade::new(id, revision);
        let ops = self.config.state.txn_ops;
        while Instant::now() < until {
            let step = cascade.next(&self.controller.borrow().cache, ops);
            let (txn, jobs) = match step {
                CascadeStep::Complete => return true,
                CascadeStep::Wait => {
                    runtime::sleep(LOOK_AGAIN).await;
                    continue;
                }
                CascadeStep::Write(txn, jobs) => (txn, jobs),
            };
            match self.store.txn(Class::Accept, &txn).await {
                TxnOutcome::Committed(at) => {
                    cascade.committed(at);
                    let mut controller = self.controller.borrow_mut();
                    controller.dependents_cancelled(&jobs, at);
                }
                // Released, cancelled by others, or the mirror is behind.
                TxnOutcome::Failed(..) => runtime::sleep(LOOK_AGAIN).await,
                TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => return false,
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
