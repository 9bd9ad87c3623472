//! Retries of store requests that the rate limiter or the store has refused while a user waits.

use crate::runtime;
use crate::store::StoreClient;
use crate::store::rate_limiter::RequestClass;
use std::time::Duration;

/// The number of attempts for a request. With the delay between them they take about a second,
/// which users can wait.
pub(super) const MAX_ATTEMPTS: u32 = 6;
/// The delay between two attempts.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the request class of an attempt, which has a higher priority in later attempts: the first
/// ones leave a part of the rate limiter's bucket to placements, the next ones compete with placements,
/// and the last ones may use the whole bucket. So polls can be answered even if placements use up the
/// rate.
pub(super) fn request_class(attempt: u32) -> RequestClass {
    match attempt {
        0..2 => RequestClass::Poll,
        2..4 => RequestClass::Place,
        _ => RequestClass::Accept,
    }
}

/// Sends a request to the store, and retries it while it is refused and the store is up.
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
