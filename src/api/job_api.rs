//! The entry point of the user-facing API. Each kind of request has a module of its own: `submit`,
//! `query`, `cancel` and `dependencies`.

use super::final_state_reader::{FinalStateReadCounters, FinalStateReader};
use super::retry_reason::RetryReason;
use super::revision_check::RevisionChecker;
use super::unanswered::{UnansweredReport, UnansweredRequests};
use crate::config::Config;
use crate::controller::Controller;
use crate::http::Response;
use crate::ids::{JobId, Revision};
use crate::protocol::store::Txn;
use crate::runtime::Sender;
use crate::store::StoreClient;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// A committed cancellation that has to be confirmed. Its user is answered once no task of the job can
/// still be running and all its dependents are cancelled.
pub(crate) struct Cancellation {
    /// The cancelled job.
    pub(crate) job: JobId,
    /// The store revision that cancelled it.
    pub(crate) revision: Revision,
    /// The time at which its transaction was sent; `None` if this request did not send it.
    pub(crate) sent_at: Option<Instant>,
    /// Receives `true` once it is confirmed that no task of the job is running, or `false` if that
    /// could not be confirmed.
    pub(crate) settled: Sender<bool>,
}

/// The response to a user, or the reason why the user has to retry.
pub(super) type Answer = Result<Response, RetryReason>;

/// Serves submissions, polls and cancellations.
pub(crate) struct JobApi {
    /// This controller's configuration.
    pub(super) config: Config,
    /// The client of the key-value store, which decides answers that have to be consistent.
    pub(super) store: Rc<StoreClient>,
    /// The controller. Its watch cache serves data that may be stale, such as task counts.
    pub(super) controller: Rc<RefCell<Controller>>,
    /// Checks against the key-value store that a job is in the state that the watch cache shows.
    pub(super) revision_checker: RevisionChecker,
    /// Reads and caches the final states of jobs.
    pub(super) final_states: FinalStateReader,
    /// The channel for cancellations that the other controllers have to confirm.
    pub(super) cancellations: Sender<Cancellation>,
    /// The requests to which this controller could respond only by asking the user to retry.
    unanswered: RefCell<UnansweredRequests>,
}

impl JobApi {
    /// Creates the API. `cancellations` is the channel for cancellations that are announced to the
    /// other controllers and have to be confirmed by them.
    pub(crate) fn new(
        config: &Config,
        store: Rc<StoreClient>,
        controller: Rc<RefCell<Controller>>,
        cancellations: Sender<Cancellation>,
    ) -> Self {
        let max_conditions = Txn::CONDITIONS_PER_CHANGE * config.store_limits.txn_ops;
        let cached_controller = controller.clone();
        let cached_revision = move |job: &JobId| cached_controller.borrow().cache.job_revision(job);
        let revision_checker =
            RevisionChecker::start(store.clone(), Box::new(cached_revision), max_conditions);
        let final_states = FinalStateReader::new(store.clone());
        Self {
            config: config.clone(),
            store,
            controller,
            revision_checker,
            final_states,
            cancellations,
            unanswered: RefCell::default(),
        }
    }

    /// Returns the statistics of unanswered requests.
    pub(crate) fn unanswered_report(&self) -> UnansweredReport {
        self.unanswered.borrow().report(self.store.now())
    }

    /// Returns the counters of final-state reads.
    pub(crate) fn final_state_read_counters(&self) -> FinalStateReadCounters {
        self.final_states.counters()
    }

    /// Logs the jobs that were logged as unanswered and that users no longer send requests about.
    pub(crate) fn log_ended_episodes(&self) {
        self.unanswered.borrow_mut().log_ended(self.store.now());
    }

    /// Turns an answer into a response. An answer that asks the user to retry is counted as
    /// unanswered.
    pub(super) fn respond(&self, id: &JobId, answer: Answer) -> Response {
        let mut unanswered = self.unanswered.borrow_mut();
        match answer {
            Ok(response) => {
                unanswered.end(id);
                response
            }
            Err(reason) => {
                unanswered.record(self.store.now(), id, reason);
                reason.response()
            }
        }
    }
}
