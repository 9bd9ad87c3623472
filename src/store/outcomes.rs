//! What became of calls of the key-value store, and what may be concluded from their answers.

use crate::http::{CallError, Response};
use crate::ids::Revision;
use crate::protocol::store::TxnResponseBody;
use serde::de::DeserializeOwned;

/// The status of a request beyond the rates.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;

/// Who has refused a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// This controller's rate limiter: it was not sent.
    RateLimiter,
    /// The store, since its rates are used up.
    StoreRate,
    /// The store does not serve this controller, or could not be reached.
    StoreUnavailable,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TxnOutcome {
    /// Executed as this revision.
    Committed(Revision),
    /// The conditions on these keys did not hold at this revision; nothing was changed.
    Failed(Vec<String>, Revision),
    /// Certainly not executed.
    Refused(Refusal),
    /// Certainly not executed, and never will be as it is: too large for the service, or under a
    /// lease that has ended.
    Invalid,
    /// May have been executed, or may still be.
    Unknown,
}

/// Why a call other than a transaction has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Not sent: this controller's own rate limiter has no token for its class.
    #[error("held back by the rate limiter")]
    HeldBack,
    /// The store has refused it, since its rates are used up.
    #[error("refused by the key-value store")]
    Refused,
    /// No answer, or one that the store does not serve this controller, as in an outage.
    #[error("the key-value store did not answer, or does not serve")]
    Unavailable,
    /// An answer that this program can't read.
    #[error("the answer of the key-value store can't be read")]
    Unreadable,
    /// What was asked for is no longer there; the same call never succeeds.
    #[error("no such lease, or revisions too old")]
    Gone,
}

/// Why a call that has no usable result failed.
pub(super) fn failed_call(result: &Result<Response, CallError>) -> StoreError {
    match result {
        Ok(response) if response.status == TOO_MANY_REQUESTS => StoreError::Refused,
        _ => StoreError::Unavailable,
    }
}

/// Reads the body of an answer.
pub(super) fn decode<T: DeserializeOwned>(answer: &Response) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|_| StoreError::Unreadable)
}

/// What an answer to a transaction says of it.
pub(super) fn txn_outcome(answer: &Response) -> TxnOutcome {
    let text = || String::from_utf8_lossy(&answer.body);
    match answer.status {
        200 => match decode::<TxnResponseBody>(answer) {
            Ok(committed) => TxnOutcome::Committed(committed.revision),
            Err(_) => TxnOutcome::Unknown,
        },
        409 => {
            let failed: TxnResponseBody = decode(answer).unwrap_or_default();
            TxnOutcome::Failed(failed.failed, failed.revision)
        }
        400 => {
            tracing::warn!(body = %text(), "transaction is malformed or too large");
            TxnOutcome::Invalid
        }
        401..=499 | 503 => {
            tracing::debug!(body = %text(), "transaction refused");
            TxnOutcome::Refused(match answer.status {
                TOO_MANY_REQUESTS => Refusal::StoreRate,
                _ => Refusal::StoreUnavailable,
            })
        }
        _ => TxnOutcome::Unknown,
    }
}
