//! The facade of the users' side. Each kind of request has a file of its own: `submit`, `query`,
//! `cancel` and `dependencies`.

use super::final_state_reader::{FinalStateReadCounters, FinalStateReader};
use super::retry_reason::RetryReason;
use super::revision_check::RevisionChecker;
use super::unanswered::{UnansweredQuestions, UnansweredReport};
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

/// A cancellation that is committed, whose tasks have to be gone before its user is answered.
pub(crate) struct Cancellation {
    /// The cancelled job.
    pub(crate) job: JobId,
    /// The store revision that cancelled it.
    pub(crate) revision: Revision,
    /// When its transaction was sent, if by this controller.
    pub(crate) sent_at: Option<Instant>,
    /// Receives whether the tasks are proved gone.
    pub(crate) settled: Sender<bool>,
}

/// The answer to a user, or why there is none now.
pub(super) type Answer = Result<Response, RetryReason>;

/// Serves submissions, polls and cancellations.
pub(crate) struct JobApi {
    /// This controller's configuration.
    pub(super) config: Config,
    /// The key-value store, which decides.
    pub(super) store: Rc<StoreClient>,
    /// The controller, whose watch cache answers what need not be decided.
    pub(super) controller: Rc<RefCell<Controller>>,
    /// Validates what the watch cache shows of a job.
    pub(super) revision_checker: RevisionChecker,
    /// Final states that were read before, and reads of others.
    pub(super) final_states: FinalStateReader,
    /// Takes cancellations that other controllers have to confirm.
    pub(super) cancellations: Sender<Cancellation>,
    /// Questions that were not answered.
    unanswered: RefCell<UnansweredQuestions>,
}

impl JobApi {
    /// `cancellations`: takes what has to be announced to the other controllers, and answered.
    pub(crate) fn new(
        config: &Config,
        store: Rc<StoreClient>,
        controller: Rc<RefCell<Controller>>,
        cancellations: Sender<Cancellation>,
    ) -> Self {
        let max_conditions = Txn::CONDITIONS_PER_CHANGE * config.store_limits.txn_ops;
        let revision_checker = RevisionChecker::start(store.clone(), max_conditions);
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

    /// What is counted of questions without an answer.
    pub(crate) fn unanswered_report(&self) -> UnansweredReport {
        self.unanswered.borrow().report(self.store.now())
    }

    /// What is counted of the reads of final states.
    pub(crate) fn final_state_read_counters(&self) -> FinalStateReadCounters {
        self.final_states.counters()
    }

    /// Logs the end of episodes without answers.
    pub(crate) fn log_ended_episodes(&self) {
        self.unanswered.borrow_mut().log_ended(self.store.now());
    }

    /// The response to a question about a job, which is counted if it has no answer.
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
