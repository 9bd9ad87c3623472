//! Retries of requests that the rate limiter or the store has refused, while a user waits.

use crate::runtime;
use crate::store::StoreClient;
use crate::store::rate_limiter::RequestClass;
use std::time::Duration;

/// How often a request is made: users wait for about a second.
pub(super) const MAX_ATTEMPTS: u32 = 6;
/// The time between two attempts.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The longer its users have waited, the larger the part of the rate limit that a request may use:
/// at last even that of placements, so that every job gets an answer however low the limit is.
pub(super) fn request_class(attempt: u32) -> RequestClass {
    match attempt {
        0..2 => RequestClass::Poll,
        2..4 => RequestClass::Place,
        _ => RequestClass::Accept,
    }
}

/// Makes a request of the store, and makes it again while it is refused and the store serves.
pub(super) async fn retry_refused<T>(
    store: &StoreClient,
    request: impl AsyncFn(RequestClass) -> T,
    is_refused: impl Fn(&T) -> bool,
) -> T {
    let mut result = request(request_class(0)).await;
    for attempt in 1..MAX_ATTEMPTS {
        if !is_refused(&result) || !store.is_up() {
            break;
        }
        runtime::sleep(RETRY_DELAY).await;
        result = request(request_class(attempt)).await;
    }
    result
}
