//! Submissions that name other jobs, and cancellations of jobs that others need.

use super::service::{Found, Intake, later, status};
use crate::controller::Controller;
use crate::http::Response;
use crate::ids::{JobId, Revision, Wall};
use crate::planning::cancel_dependents;
use crate::runtime;
use crate::store::records::{JobRecord, OverRecord};
use crate::store::tokens::Class;
use crate::store::{TxnOutcome, keys};
use crate::wire::state::Txn;
use crate::wire::{JobSpec, JobState, Kind};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How often the named jobs are looked up while they go on changing.
const TRIES: usize = 4;
/// Conditions that a submission needs beside those on the jobs that it names.
const OWN_CONDITIONS: usize = 2;
/// How long a user's request waits for dependents to be cancelled; a poll waits for two seconds.
const PATIENCE: Duration = Duration::from_millis(600);
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// How one of the named jobs stands.
enum Named {
    /// Accepted and not over.
    Live {
        kind: Kind,
        revision: Revision,
    },
    Done,
    Cancelled,
    Never,
    Unknown,
}

/// What a submission amounts to, by the jobs that it names.
enum Dependencies {
    /// These are not over, at these revisions.
    Open(Vec<(JobId, Revision)>),
    Done,
    Cancelled,
    /// They can't be named, for good.
    Refused(String),
    Unknown,
}

impl Intake {
    /// Accepts a job that names others. Such a job is accepted as cancelled when one of them is; it
    /// waits while some are not over, and otherwise is like any other.
    ///
    /// The write is conditional on the records of the named jobs that are not over. So whoever
    /// cancels one of these finds, once the mirror has come up to that change, every job that needs
    /// it.
    pub(super) async fn submit_dependent(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        // It would start these jobs at once.
        if !self.controller.borrow().replica.all_know_dependencies() {
            return later("a controller of an earlier version takes part");
        }
        let mut changed = BTreeSet::new();
        for _ in 0..TRIES {
            let (txn, state) = match self.look_up(&spec, &changed).await {
                Dependencies::Refused(why) => return self.refuse(&id, &why).await,
                Dependencies::Unknown => return later("the jobs that it names can't be read"),
                Dependencies::Cancelled => (cancelled_at_once(&spec), JobState::Cancelled),
                Dependencies::Done => (self.accepted(&spec, &[], true), JobState::Queued),
                Dependencies::Open(open) => (self.accepted(&spec, &open, false), JobState::Queued),
            };
            match self.store.txn(Class::Accept, &txn).await {
                TxnOutcome::Committed(_) => return status(201, &id, state, None),
                TxnOutcome::Refused | TxnOutcome::Invalid => {
                    return later("too much is asked of the state service");
                }
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

    /// The transaction that accepts a job, on the condition that the jobs it waits for stand as
    /// they were found. Of a very long list only the first are checked there; the leader finds
    /// out about the others.
    fn accepted(&self, spec: &JobSpec, open: &[(JobId, Revision)], released: bool) -> Txn {
        let now = Wall::now();
        let mut record = JobRecord::new(spec.clone(), now);
        record.released = released.then_some(now);
        let mut txn = new_job(&spec.id);
        let room = 4 * self.config.state.txn_ops - OWN_CONDITIONS;
        for (job, revision) in open.iter().take(room) {
            txn.require(keys::job(job), *revision);
        }
        txn.put(keys::job(&spec.id), &record, None);
        txn
    }

    /// Looks all named jobs up. What the mirror shows of those that have `changed` is known to be
    /// old.
    async fn look_up(&self, spec: &JobSpec, changed: &BTreeSet<JobId>) -> Dependencies {
        let (mut open, mut unknown, mut cancelled) = (Vec::new(), false, false);
        for id in &spec.dependencies {
            if *id == spec.id {
                return Dependencies::Refused(format!("{id} can't need itself"));
            }
            match self.named(id, changed.contains(id)).await {
                Named::Live {
                    kind: Kind::Service,
                    ..
                } => return Dependencies::Refused(format!("{id} is a service: it is never done")),
                Named::Never => return Dependencies::Refused(format!("{id} was never accepted")),
                Named::Live { revision, .. } => open.push((id.clone(), revision)),
                Named::Done => {}
                Named::Cancelled => cancelled = true,
                Named::Unknown => unknown = true,
            }
        }
        match (unknown, cancelled, open.is_empty()) {
            (true, ..) => Dependencies::Unknown,
            (_, true, _) => Dependencies::Cancelled,
            (.., false) => Dependencies::Open(open),
            (.., true) => Dependencies::Done,
        }
    }

    /// The mirror may be behind: that a job is missing there proves nothing.
    async fn named(&self, id: &JobId, changed: bool) -> Named {
        if !changed && let Some(live) = live_in_mirror(id, &self.controller.borrow()) {
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
    ///
    /// No job that needs it is accepted as waiting after the change that cancelled it, and the
    /// mirror shows all that were before, once it has come up to that change.
    pub(super) async fn cancel_dependents(&self, id: &JobId, revision: Revision) -> bool {
        let until = Instant::now() + PATIENCE;
        let mut reached = revision;
        let mut cancelled = vec![id.clone()];
        while Instant::now() < until {
            let (shown, next) = self.next_dependents(&mut cancelled);
            match next {
                None if shown >= reached => return true,
                None => runtime::sleep(LOOK_AGAIN).await,
                Some((txn, jobs)) => match self.store.txn(Class::Accept, &txn).await {
                    TxnOutcome::Committed(at) => {
                        let mut controller = self.controller.borrow_mut();
                        controller.dependents_cancelled(&jobs, at);
                        reached = reached.max(at);
                    }
                    // Released, cancelled by others, or the mirror is behind.
                    TxnOutcome::Failed(..) => runtime::sleep(LOOK_AGAIN).await,
                    TxnOutcome::Refused | TxnOutcome::Invalid | TxnOutcome::Unknown => {
                        return false;
                    }
                },
            }
        }
        false
    }

    /// How far the mirror has come, and the next transaction that cancels what needs one of these
    /// jobs. All that need them are added.
    fn next_dependents(&self, cancelled: &mut Vec<JobId>) -> (Revision, Option<(Txn, Vec<JobId>)>) {
        let controller = self.controller.borrow();
        let replica = &controller.replica;
        let ops = self.config.state.txn_ops;
        let next = cancelled
            .iter()
            .find_map(|id| cancel_dependents(id, replica, ops));
        let found = cancelled
            .iter()
            .flat_map(|id| replica.waiting.descendants(id));
        let new: BTreeSet<JobId> = found.filter(|id| !cancelled.contains(id)).collect();
        cancelled.extend(new);
        (replica.revision, next)
    }
}

fn live_in_mirror(id: &JobId, controller: &Controller) -> Option<Named> {
    let replica = &controller.replica;
    Some(Named::Live {
        kind: replica.job_spec(id)?.kind,
        revision: replica.job_revision(id)?,
    })
}

/// The conditions under which a job is accepted: it is not known yet.
pub(super) fn new_job(id: &JobId) -> Txn {
    let mut txn = Txn::default();
    txn.require(keys::job(id), Revision(0));
    txn.require(keys::over(id), Revision(0));
    txn
}

/// A job that needs a cancelled one is accepted, and cancelled with it.
fn cancelled_at_once(spec: &JobSpec) -> Txn {
    let record = OverRecord {
        state: JobState::Cancelled,
        tasks: spec.tasks,
    };
    let mut txn = new_job(&spec.id);
    txn.put(keys::over(&spec.id), &record, None);
    txn
}
