//! Submissions, polls and cancellations, each decided by the key-value store.

use super::dependencies::new_job;
use super::final_state::{FinalState, FinalStateCache};
use super::revision_check::{RevisionChecker, RevisionStatus};
use crate::config::Config;
use crate::controller::Controller;
use crate::http::Response;
use crate::ids::{JobId, Revision, UnixTime, Zone};
use crate::protocol::store::{Item, Txn};
use crate::protocol::{Catalog, JobKind, JobSpec, JobState, JobStatus, submitted_id, valid_job_id};
use crate::runtime::{Sender, oneshot};
use crate::store::rate_limiter::RequestClass;
use crate::store::records::{FinalRecord, JobRecord};
use crate::store::{Store, StoreError, TxnOutcome, keys};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

/// Short, since what stands in the way is mostly over in a second or two.
const RETRY_AFTER_S: u32 = 1;

pub(crate) struct JobApi {
    pub(super) config: Config,
    pub(super) store: Rc<Store>,
    pub(super) controller: Rc<RefCell<Controller>>,
    revision_checker: RevisionChecker,
    final_state: RefCell<FinalStateCache>,
    cancellations: Sender<Cancellation>,
}

/// A cancellation that is committed, whose tasks have to be gone before its user is told.
pub(crate) struct Cancellation {
    pub job: JobId,
    pub revision: Revision,
    /// When its transaction was sent, if by this controller.
    pub since: Option<Instant>,
    /// Whether they are proved gone.
    pub settled: Sender<bool>,
}

/// Where a job stands, as checked against the key-value store.
pub(super) enum JobLookup {
    Live(Item),
    Over(FinalState),
    Never,
    Unknown,
}

pub(super) fn retry_later(why: &str) -> Response {
    Response::retry_later(why, RETRY_AFTER_S)
}

pub(super) fn status(
    code: u16,
    id: &JobId,
    state: JobState,
    counts: Option<(u64, u64)>,
) -> Response {
    Response::json(
        code,
        &JobStatus {
            id: id.as_str(),
            state,
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        },
    )
}

fn final_status(id: &JobId, record: FinalRecord) -> Response {
    let done = match record.state {
        JobState::Done => record.tasks.into(),
        _ => 0,
    };
    status(200, id, record.state, Some((done, 0)))
}

/// The size of a job's record once it is stored, with the time of its release.
fn record_size(spec: &JobSpec) -> usize {
    let record = JobRecord {
        released: Some(UnixTime(u64::MAX)),
        ..JobRecord::new(spec.clone(), UnixTime(u64::MAX))
    };
    serde_json::to_vec(&record).map_or(usize::MAX, |bytes| bytes.len())
}

/// Why a job can never run, if so.
fn infeasibility(spec: &JobSpec, config: &Config, catalog: &Catalog) -> Option<&'static str> {
    let Some(team) = config.teams.get(&spec.team) else {
        return Some("unknown team");
    };
    let need = spec.need();
    let allowed = |z: &Zone| spec.zone.as_ref().is_none_or(|only| only == z);
    let fitting = catalog.types.iter().filter(|t| {
        let listed = spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
        listed && need.fits(t.room())
    });
    let zones: BTreeSet<&Zone> = fitting
        .flat_map(|t| t.zones.iter().filter(|z| allowed(z)))
        .collect();
    if zones.is_empty() {
        return Some("a task fits no allowed machine type");
    }
    // Those that stand all at once, of which one zone may have no more than half.
    let at_once = spec.kind != JobKind::Array && spec.spread && spec.tasks > 1;
    if at_once && (spec.one_zone || zones.len() < 2) {
        return Some("its tasks may not be in one zone, nor in several");
    }
    let at_once = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks.into(),
    };
    (!need.times(at_once).fits(team.limit())).then_some("needs more than the team's limit")
}

impl JobApi {
    /// `cancellations`: what is to be told to the other controllers, and answered.
    pub(crate) fn new(
        config: &Config,
        store: Rc<Store>,
        controller: Rc<RefCell<Controller>>,
        cancellations: Sender<Cancellation>,
    ) -> Self {
        let revision_checker = RevisionChecker::start(store.clone(), 4 * config.state.txn_ops);
        Self {
            config: config.clone(),
            store,
            controller,
            revision_checker,
            final_state: RefCell::default(),
            cancellations,
        }
    }

    pub(crate) async fn submit(&self, body: &[u8]) -> Response {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(message) => return self.malformed(body, &message).await,
        };
        let id = spec.id.clone();
        let (known, catalog) = {
            let controller = self.controller.borrow();
            let catalog = controller.cache.catalog.as_ref().map(|c| c.value.clone());
            (controller.cache.job_revision(&id).is_some(), catalog)
        };
        if known || self.final_state.borrow().get(&id).is_some() {
            return self.poll_known(&id).await;
        }
        if !self.store.is_up() {
            return retry_later("the state service can't be reached");
        }
        let Some(catalog) = catalog else {
            return retry_later("machine types are not known yet");
        };
        if let Some(why) = infeasibility(&spec, &self.config, &catalog) {
            return self.refuse(&id, why).await;
        }
        if record_size(&spec) > self.config.state.value_bytes {
            return self.refuse(&id, "its description is too long").await;
        }
        if !spec.dependencies.is_empty() {
            return self.submit_dependent(spec).await;
        }
        let record = JobRecord::new(spec, UnixTime::now());
        let mut txn = new_job(&id);
        txn.put(keys::job(&id), &record, None);
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(_) => status(201, &id, JobState::Queued, None),
            TxnOutcome::Failed(..) => self.poll_known(&id).await,
            TxnOutcome::Refused | TxnOutcome::Invalid => {
                retry_later("too much is asked of the state service")
            }
            // It may stand already; the repeat will tell.
            TxnOutcome::Unknown => retry_later("the state service did not answer"),
        }
    }

    /// Refuses a submission for good. What was accepted once is never refused later, whatever has
    /// changed since.
    pub(super) async fn refuse(&self, id: &JobId, why: &str) -> Response {
        match self.find(id).await {
            JobLookup::Never => Response::error(422, why),
            JobLookup::Unknown => retry_later("the state service can't be reached"),
            JobLookup::Live(_) | JobLookup::Over(_) => self.poll_known(id).await,
        }
    }

    /// What was accepted once is known, whatever its repeat lacks.
    async fn malformed(&self, body: &[u8], message: &str) -> Response {
        let Some(id) = submitted_id(body) else {
            return Response::error(400, message);
        };
        match self.poll_known(&id).await {
            known if known.status == 404 => Response::error(400, message),
            known => known,
        }
    }

    pub(crate) async fn poll(&self, id: &str) -> Response {
        if !valid_job_id(id) {
            return Response::error(404, "no such job");
        }
        self.poll_known(&id.into()).await
    }

    pub(super) async fn poll_known(&self, id: &JobId) -> Response {
        if let Some(final_state) = self.cached_final_state(id) {
            return self.final_status(id, final_state, None).await;
        }
        if !self.store.is_up() {
            return retry_later("the state service can't be reached");
        }
        let revision = {
            let controller = self.controller.borrow();
            controller.cache.job_revision(id)
        };
        if let Some(revision) = revision {
            match self.revision_checker.check_revision(id, revision).await {
                RevisionStatus::Unchanged => return self.live_status(id),
                RevisionStatus::Changed => {}
                RevisionStatus::Unknown => {
                    return retry_later("the state service can't be reached");
                }
            }
        }
        match self.find(id).await {
            JobLookup::Live(_) => self.live_status(id),
            JobLookup::Over(final_state) => self.final_status(id, final_state, None).await,
            JobLookup::Never => Response::error(404, "no such job"),
            JobLookup::Unknown => retry_later("the state service can't be reached"),
        }
    }

    /// Counts are for display: they are the watch cache's.
    fn live_status(&self, id: &JobId) -> Response {
        let controller = self.controller.borrow();
        let (done, running) = controller.cache.jobs.get(id).map_or((0, 0), |j| {
            (u64::from(j.done_count()), j.placed.len() as u64)
        });
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        status(200, id, state, Some((done, running)))
    }

    /// Reads a job's records. A job leaves the first key only together with its entry under the
    /// second, so reading them in this order can't miss it.
    pub(super) async fn find(&self, id: &JobId) -> JobLookup {
        if let Some(final_state) = self.cached_final_state(id) {
            return JobLookup::Over(final_state);
        }
        match self.store.get(RequestClass::Poll, &keys::job(id)).await {
            Ok(Some(item)) => return JobLookup::Live(item),
            Ok(None) => {}
            Err(_) => return JobLookup::Unknown,
        }
        match self.read_final_state(id).await {
            Ok(Some(final_state)) => JobLookup::Over(final_state),
            Ok(None) => JobLookup::Never,
            Err(_) => JobLookup::Unknown,
        }
    }

    fn cached_final_state(&self, id: &JobId) -> Option<FinalState> {
        self.final_state.borrow().get(id)
    }

    /// The final answer: for a cancelled job not before its tasks are proved gone, whoever is asked
    /// and however often. That mostly takes some tens of milliseconds; otherwise the answer is to
    /// come back.
    async fn final_status(
        &self,
        id: &JobId,
        final_state: FinalState,
        since: Option<Instant>,
    ) -> Response {
        if !final_state.settled {
            let (settled, result) = oneshot();
            self.cancellations.send(Cancellation {
                job: id.clone(),
                revision: final_state.revision,
                since,
                settled,
            });
            if result.get().await != Some(true) {
                return retry_later("its tasks are being stopped");
            }
            if !self.cancel_dependents(id, final_state.revision).await {
                return retry_later("the jobs that need it are being cancelled");
            }
            self.final_state.borrow_mut().put(
                id,
                FinalState {
                    settled: true,
                    ..final_state
                },
            );
        }
        final_status(id, final_state.record)
    }

    async fn read_final_state(&self, id: &JobId) -> Result<Option<FinalState>, StoreError> {
        let Some(item) = self
            .store
            .get(RequestClass::Poll, &keys::final_state(id))
            .await?
        else {
            return Ok(None);
        };
        let record: FinalRecord =
            serde_json::from_value(item.value).map_err(|_| StoreError::Unavailable)?;
        Ok(Some(self.remember_final_state(id, record, item.revision)))
    }

    fn remember_final_state(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        let final_state = FinalState {
            record,
            revision,
            settled: record.state != JobState::Cancelled,
        };
        self.final_state.borrow_mut().put(id, final_state);
        final_state
    }

    /// How a job that is over has ended, if that can be read now.
    pub(crate) async fn final_outcome(&self, id: &JobId) -> Option<JobState> {
        match self.cached_final_state(id) {
            Some(final_state) => Some(final_state.record.state),
            None => Some(self.read_final_state(id).await.ok()??.record.state),
        }
    }

    pub(crate) async fn cancel(&self, id: &str) -> Response {
        if !valid_job_id(id) {
            return Response::error(404, "no such job");
        }
        let id = JobId::from(id);
        if let Some(final_state) = self.cached_final_state(&id) {
            return self.final_status(&id, final_state, None).await;
        }
        if !self.store.is_up() {
            return retry_later("the state service can't be reached");
        }
        let item = match self.store.get(RequestClass::Accept, &keys::job(&id)).await {
            Ok(item) => item,
            Err(_) => return retry_later("the state service can't be reached"),
        };
        let Some(item) = item else {
            return match self.read_final_state(&id).await {
                Ok(Some(final_state)) => self.final_status(&id, final_state, None).await,
                Ok(None) => Response::error(404, "no such job"),
                Err(_) => retry_later("the state service can't be reached"),
            };
        };
        let tasks = serde_json::from_value::<JobRecord>(item.value).map_or(0, |r| r.spec.tasks);
        let record = FinalRecord {
            state: JobState::Cancelled,
            tasks,
        };
        let mut txn = Txn::default();
        txn.require(keys::job(&id), item.revision);
        txn.put(keys::final_state(&id), &record, None);
        txn.delete(keys::job(&id));
        let since = Instant::now();
        match self.store.txn(RequestClass::Accept, &txn).await {
            TxnOutcome::Committed(revision) => {
                let final_state = self.remember_final_state(&id, record, revision);
                self.final_status(&id, final_state, Some(since)).await
            }
            // Done or cancelled in between, or it was never there: the repeat will tell.
            _ => retry_later("the state service did not take it"),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
