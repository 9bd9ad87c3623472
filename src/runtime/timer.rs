//! Timers: sleeps and timeouts.

use super::clock;
use super::executor::{TimerKey, with};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A future that completes at a given time. Its timer is removed when it is dropped.
pub(crate) struct Sleep {
    deadline: Instant,
    timer: Option<TimerKey>,
}

/// Returns a future that completes once `duration` has passed, counted from this call.
pub(crate) fn sleep(duration: Duration) -> Sleep {
    Sleep {
        deadline: clock::now() + duration,
        timer: None,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if clock::now() >= self.deadline {
            return Poll::Ready(());
        }
        let deadline = self.deadline;
        let waker = cx.waker().clone();
        match self.timer {
            Some(timer) => {
                with(|executor| executor.replace_timer(timer, waker));
            }
            None => self.timer = with(|executor| executor.add_timer(deadline, waker)),
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(timer) = self.timer {
            with(|executor| executor.remove_timer(timer));
        }
    }
}

/// Runs a future for at most `limit`. Returns `None` if the future did not complete in time and was
/// dropped.
pub(crate) async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    let mut timer = std::pin::pin!(sleep(limit));
    std::future::poll_fn(|cx| {
        if let Poll::Ready(value) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(value));
        }
        timer.as_mut().poll(cx).map(|()| None)
    })
    .await
}
