//! Announces cancellations to the other controllers and waits until no task of the job can still be
//! running, and no controller can still answer that the job is live.

use crate::api::Cancellation;
use crate::controller::{Controller, Effect};
use crate::ids::{CancellationRoundId, Millis, MonotonicTime};
use crate::runtime::{self, Receiver};
use std::time::{Duration, Instant};

/// Limits the wait for a confirmation. It is longer than the read leases of a controller that can't be
/// reached last, and shorter than the timeout of a request that is forwarded to a peer, so that the peer
/// can still respond.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two checks of whether the cancellation round is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Delay before the announcement is sent again. Workers answer most stop commands within this time.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// The process that runs a controller.
pub(crate) trait ControllerDriver: Clone + 'static {
    /// Passes an input to the controller, carries out the effects and returns the input's result.
    fn drive<T>(&self, input: impl FnOnce(&mut Controller, MonotonicTime) -> (T, Vec<Effect>))
    -> T;
}

/// Starts a routine for each cancellation that must be confirmed.
pub(crate) async fn confirm_cancellations(
    driver: impl ControllerDriver,
    mut cancellations: Receiver<Cancellation>,
) {
    while let Some(cancellation) = cancellations.recv().await {
        runtime::spawn(confirm(driver.clone(), cancellation));
    }
}

async fn confirm(driver: impl ControllerDriver, cancellation: Cancellation) {
    let started_at = runtime::now();
    let age = cancellation
        .sent_at
        .map_or(Duration::ZERO, |at| started_at - at);
    let age = Millis(age.as_millis() as u64);
    let job = &cancellation.job;
    let round = driver.drive(|controller, now| {
        controller.announce_cancellation(now, job, cancellation.revision, age)
    });
    let settled = wait_until_settled(&driver, round, started_at).await;
    driver.drive(|controller, _| (controller.close_cancellation_round(round), Vec::new()));
    let took = runtime::now() - started_at;
    tracing::debug!(%job, settled, ?took, "finished waiting for a cancelled job's tasks to stop");
    cancellation.settled.send(settled);
}

/// Polls a cancellation round and repeats the announcement to all other controllers until the round
/// is complete. Returns `false` if it is not complete within `CONFIRMATION_TIMEOUT`.
async fn wait_until_settled(
    driver: &impl ControllerDriver,
    round: CancellationRoundId,
    started_at: Instant,
) -> bool {
    let is_settled = || {
        driver.drive(|controller, now| {
            let is_complete = controller.is_cancellation_complete(now, round);
            (is_complete, Vec::new())
        })
    };
    let mut last_sent_at = started_at;
    let mut settled = is_settled();
    while !settled && runtime::now() - started_at < CONFIRMATION_TIMEOUT {
        runtime::sleep(POLL_INTERVAL).await;
        settled = is_settled();
        let now = runtime::now();
        if !settled && now - last_sent_at >= RETRY_INTERVAL {
            last_sent_at = now;
            driver.drive(|controller, now| ((), controller.send_cancellation(now, round)));
        }
    }
    settled
}
