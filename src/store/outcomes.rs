//! The outcomes of calls to the key-value store, derived from its HTTP responses.

use crate::http::{CallError, Response};
use crate::ids::Revision;
use crate::protocol::store::TxnResponseBody;
use serde::de::DeserializeOwned;

/// The HTTP status of a request that exceeds the service's rates.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;

/// The reason why a transaction was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// This controller's rate limiter did not admit it, so it was not sent.
    RateLimiter,
    /// The store refused it because its rates were exceeded.
    StoreRate,
    /// The store was unreachable or refused to serve this controller.
    StoreUnavailable,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TxnOutcome {
    /// Executed at this revision.
    Committed(Revision),
    /// Not executed, because the conditions on these keys did not hold at this revision.
    Failed(Vec<String>, Revision),
    /// Not executed. It may be retried.
    Refused(Refusal),
    /// Not executed, because the store rejected it with status 400; a retry would fail as well. For example,
    /// the transaction is too large for the service, or refers to a lease that has expired.
    Invalid,
    /// It may have been executed, or may still be executed later.
    Unknown,
}

/// The reason why a call other than a transaction has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Not sent: this controller's rate limiter did not admit it.
    #[error("rate limited by this controller")]
    HeldBack,
    /// The store refused it because its rates were exceeded.
    #[error("rate limited by the key-value store")]
    Refused,
    /// The store did not respond, or refused to serve this controller, as in an outage.
    #[error("the key-value store did not respond or is not serving requests")]
    Unavailable,
    /// The body of the response could not be decoded.
    #[error("cannot decode the response of the key-value store")]
    Unreadable,
    /// The lease or the revisions no longer exist, or the watch response is too large. A retry of the
    /// same call would fail as well.
    #[error("lease expired, or the requested revisions are no longer available")]
    Gone,
}

/// Returns the error for a call without a usable result.
pub(super) fn failed_call(result: &Result<Response, CallError>) -> StoreError {
    match result {
        Ok(response) if response.status == TOO_MANY_REQUESTS => StoreError::Refused,
        _ => StoreError::Unavailable,
    }
}

/// Decodes the body of a response.
pub(super) fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, StoreError> {
    serde_json::from_slice(&response.body).map_err(|_| StoreError::Unreadable)
}

/// Returns the outcome of a transaction that the store responded to.
pub(super) fn txn_outcome(response: &Response) -> TxnOutcome {
    let text = || String::from_utf8_lossy(&response.body);
    match response.status {
        200 => match decode::<TxnResponseBody>(response) {
            Ok(committed) => TxnOutcome::Committed(committed.revision),
            Err(_) => TxnOutcome::Unknown,
        },
        409 => {
            let failed: TxnResponseBody = decode(response).unwrap_or_default();
            TxnOutcome::Failed(failed.failed, failed.revision)
        }
        400 => {
            tracing::warn!(
                body = %text(),
                "key-value store rejected a malformed or oversized transaction"
            );
            TxnOutcome::Invalid
        }
        401..=499 | 503 => {
            tracing::debug!(body = %text(), "key-value store refused a transaction");
            TxnOutcome::Refused(match response.status {
                TOO_MANY_REQUESTS => Refusal::StoreRate,
                _ => Refusal::StoreUnavailable,
            })
        }
        _ => TxnOutcome::Unknown,
    }
}
