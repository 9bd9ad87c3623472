//! Why a request can't be answered now.

use super::responses::RETRY_AFTER_S;
use crate::http::Response;
use crate::store::{Refusal, StoreError, TxnOutcome};
use serde::Serialize;
use thiserror::Error;

/// Why a user has to come back: one name for each reason. The texts are shown to users, the names
/// to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RetryReason {
    /// The store does not serve this controller, or could not be reached.
    #[error("the state service can't be reached")]
    StoreDown,
    /// This controller's rate limiter has no token for the request.
    #[error("too much is asked of the state service by this controller")]
    HeldBack,
    /// The store has refused the request, since its rates are used up.
    #[error("too much is asked of the state service")]
    StoreRefused,
    /// A request was sent, and its outcome is not known.
    #[error("the state service did not answer")]
    StoreSilent,
    /// A record or an answer can't be read.
    #[error("what the state service holds can't be read")]
    Unreadable,
    /// Too many questions are waiting.
    #[error("too many questions are waiting")]
    TooManyQuestions,
    /// The store did not take a change, mostly since the job has just changed.
    #[error("the state service did not take it")]
    NotTaken,
    /// The cloud's machine types were not read yet.
    #[error("machine types are not known yet")]
    CatalogUnknown,
    /// A controller of an earlier version would start dependent jobs at once.
    #[error("a controller of an earlier version takes part")]
    EarlierVersion,
    /// The jobs that a submission names could not be looked up.
    #[error("the jobs that it names can't be read")]
    DependenciesUnread,
    /// The jobs that a submission names go on changing.
    #[error("the jobs that it names are changing")]
    DependenciesChanging,
    /// Tasks of a cancelled job are not proved gone yet.
    #[error("its tasks are being stopped")]
    TasksStopping,
    /// Dependents of a cancelled job are not all cancelled yet.
    #[error("the jobs that need it are being cancelled")]
    DependentsStopping,
}

impl RetryReason {
    /// The answer: come back soon.
    pub(super) fn response(self) -> Response {
        Response::retry_later(&self.to_string(), RETRY_AFTER_S)
    }

    /// Why a transaction that was neither committed nor failed has no result.
    pub(super) fn of_txn(outcome: &TxnOutcome) -> Self {
        match outcome {
            TxnOutcome::Committed(_) | TxnOutcome::Failed(..) => Self::NotTaken,
            TxnOutcome::Refused(Refusal::RateLimiter) => Self::HeldBack,
            TxnOutcome::Refused(Refusal::StoreRate) => Self::StoreRefused,
            TxnOutcome::Refused(Refusal::StoreUnavailable) => Self::StoreDown,
            TxnOutcome::Invalid => Self::NotTaken,
            TxnOutcome::Unknown => Self::StoreSilent,
        }
    }
}

impl From<StoreError> for RetryReason {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::HeldBack => Self::HeldBack,
            StoreError::Refused | StoreError::Gone => Self::StoreRefused,
            StoreError::Unavailable => Self::StoreSilent,
            StoreError::Unreadable => Self::Unreadable,
        }
    }
}
