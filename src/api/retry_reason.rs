//! The reasons why a request can't be answered now.

use super::responses::RETRY_AFTER_S;
use crate::http::Response;
use crate::store::{Refusal, StoreError, TxnOutcome};
use serde::Serialize;
use thiserror::Error;

/// The reason why a user has to retry. Users see the texts; operators see the names in the log and
/// the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RetryReason {
    /// The store does not serve this controller, or can't be reached.
    #[error("the state service can't be reached")]
    StoreDown,
    /// This controller's rate limiter has no token for the request.
    #[error("too much is asked of the state service by this controller")]
    HeldBack,
    /// The store has refused the request because its rate limit was reached. `StoreError::Gone` also
    /// maps to this reason, but only watches and leases return it, which the API does not use.
    #[error("too much is asked of the state service")]
    StoreRefused,
    /// The store did not answer a request, or answered it with an error. If the request was a write,
    /// its outcome is unknown.
    #[error("the state service did not answer")]
    StoreSilent,
    /// A stored record or a response of the store can't be decoded.
    #[error("what the state service holds can't be read")]
    Unreadable,
    /// Too many user requests are queued for a read or a comparison.
    #[error("too many questions are waiting")]
    TooManyQuestions,
    /// A change was not committed, often because the job has just changed. If the change was a
    /// cancellation, it may also be unknown whether it was committed. Also the reason if a
    /// submission's job was cached, but no record of it was found.
    #[error("the state service did not take it")]
    NotTaken,
    /// The cloud's machine types have not been read yet.
    #[error("machine types are not known yet")]
    CatalogUnknown,
    /// A controller of an earlier version is a member. It would start jobs without waiting for
    /// their dependencies.
    #[error("a controller of an earlier version takes part")]
    EarlierVersion,
    /// The dependencies of a submission could not be looked up.
    #[error("the jobs that it names can't be read")]
    DependenciesUnread,
    /// The dependencies of a submission changed during every attempt to accept it.
    #[error("the jobs that it names are changing")]
    DependenciesChanging,
    /// What was read of the job was too old to be answered by the time it was known, in several
    /// attempts. The job may have changed since, and its user may have been told so by another
    /// controller.
    #[error("what was read of the job is outdated")]
    Outdated,
    /// It is not confirmed yet that no task of the cancelled job is running, or another controller may
    /// still answer that the job is live.
    #[error("its tasks are being stopped")]
    TasksStopping,
    /// Some dependents of the cancelled job have not been cancelled yet.
    #[error("the jobs that need it are being cancelled")]
    DependentsStopping,
}

impl RetryReason {
    /// Returns the response that asks the user to retry.
    pub(super) fn response(self) -> Response {
        Response::retry_later(&self.to_string(), RETRY_AFTER_S)
    }

    /// Returns the reason for a transaction outcome that gives the user no result.
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
