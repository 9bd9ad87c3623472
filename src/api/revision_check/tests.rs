use super::CHECK_BATCH_DELAY;
use crate::api::retries::{MAX_ATTEMPTS, RETRY_DELAY, request_class};
use crate::api::tests::{
    FakeStore, api_in_memory, body, in_virtual_time, job_state, sync_watch_cache,
};
use crate::api::{Cancellation, JobApi};
use crate::http::Response;
use crate::ids::MonotonicTime;
use crate::protocol::JobState;
use crate::runtime::{self, Oneshot, Receiver, Scope, oneshot};
use crate::store::rate_limiter::RequestClass;
use crate::store::rate_limiter::TokenBucket;
use std::cell::RefCell;
use std::rc::Rc;

const JOB: &str = "job-1";

/// Starts a poll in `scope` and returns its response to come.
fn start_poll(scope: &mut Scope, api: &Rc<JobApi>) -> Oneshot<Response> {
    let (sender, response) = oneshot();
    let api = api.clone();
    scope.spawn(async move { sender.send(api.poll(JOB).await) });
    response
}

async fn state_of(response: Oneshot<Response>) -> (u16, String) {
    job_state(&response.get().await.expect("response"))
}

async fn confirm_all(mut cancellations: Receiver<Cancellation>) {
    while let Some(cancellation) = cancellations.recv().await {
        cancellation.settled.send(true);
    }
}

/// Polls of a job arrive before the watch cache shows the job, after that, and after another
/// controller has cancelled or completed the job. One comparison answers all of them. Returns the
/// answers.
fn poll_while_job_ends(end: JobState) -> [(u16, String); 3] {
    in_virtual_time(async move {
        let store: Rc<RefCell<FakeStore>> = Rc::default();
        let (other, _other_cancellations) = api_in_memory(&store);
        other.submit(&body(JOB, |_| ())).await;
        let (api, cancellations) = api_in_memory(&store);
        let api = Rc::new(api);
        let mut scope = Scope::default();
        scope.spawn(confirm_all(cancellations));
        let unknown_to_cache = start_poll(&mut scope, &api);
        runtime::sleep(CHECK_BATCH_DELAY / 4).await;
        sync_watch_cache(&store.borrow(), &api);
        let shown_by_cache = start_poll(&mut scope, &api);
        runtime::sleep(CHECK_BATCH_DELAY / 4).await;
        store.borrow_mut().end(JOB, end);
        let after_the_end = start_poll(&mut scope, &api);
        runtime::sleep(2 * CHECK_BATCH_DELAY).await;
        sync_watch_cache(&store.borrow(), &api);
        [
            state_of(unknown_to_cache).await,
            state_of(shown_by_cache).await,
            state_of(after_the_end).await,
        ]
    })
}

/// Guards against `pending` for a poll that was sent after the job's user was told that the job is
/// cancelled: polls of one batch that expect different revisions of the job's record.
#[test]
fn polls_that_share_a_comparison_with_an_earlier_one_see_the_end_of_the_job() {
    for (end, state) in [(JobState::Cancelled, "withdrawn"), (JobState::Done, "done")] {
        let ended = (200, state.to_owned());
        let expected = [ended.clone(), ended.clone(), ended];
        assert_eq!(poll_while_job_ends(end), expected);
    }
}

/// Guards against 404 for an accepted job whose poll shares a comparison with one that was received
/// while the watch cache showed the job.
#[test]
fn live_job_that_leaves_the_watch_cache_during_a_batch_is_not_unknown() {
    let answers = in_virtual_time(async {
        let store: Rc<RefCell<FakeStore>> = Rc::default();
        let (api, _cancellations) = api_in_memory(&store);
        let api = Rc::new(api);
        api.submit(&body(JOB, |_| ())).await;
        sync_watch_cache(&store.borrow(), &api);
        let mut scope = Scope::default();
        let shown_by_cache = start_poll(&mut scope, &api);
        runtime::sleep(CHECK_BATCH_DELAY / 4).await;
        sync_watch_cache(&FakeStore::default(), &api);
        let unknown_to_cache = start_poll(&mut scope, &api);
        [
            state_of(shown_by_cache).await,
            state_of(unknown_to_cache).await,
        ]
    });
    let pending = (200, "pending".to_owned());
    assert_eq!(answers, [pending.clone(), pending]);
}

/// Placements use four fifths of the request rate, and users poll thousands of jobs. Every
/// comparison must be admitted within its attempts, so that no job stays without an answer for
/// long.
#[test]
fn polls_are_answered_under_heavy_placement_load() {
    let (max_batch, jobs) = (96, 3000);
    let mut bucket = TokenBucket::new(25.0);
    let mut last_answered = vec![0u64; jobs];
    let mut longest_wait = 0;
    // Comparisons in progress: the time of the next attempt, the number of attempts so far, and the
    // jobs.
    let mut in_progress: Vec<(u64, u32, Vec<usize>)> = Vec::new();
    let mut queued: Vec<usize> = Vec::new();
    for ms in (0..200_000u64).step_by(10) {
        let now = MonotonicTime(ms);
        if ms % 50 == 0 {
            bucket.try_acquire(now, 1.0, RequestClass::Place);
        }
        queued.extend(
            (0..jobs).filter(|job| (*job as u64 * 5000 / jobs as u64) / 10 == ms % 5000 / 10),
        );
        if ms % 150 == 0 && !queued.is_empty() {
            for batch in queued.chunks(max_batch) {
                in_progress.push((ms, 0, batch.to_vec()));
            }
            queued.clear();
        }
        in_progress.retain_mut(|(at, attempt, batch)| {
            if *at > ms {
                return true;
            }
            if bucket.try_acquire(now, 1.0, request_class(*attempt)) {
                for job in batch.iter() {
                    longest_wait = longest_wait.max(ms - last_answered[*job]);
                    last_answered[*job] = ms;
                }
                return false;
            }
            *attempt += 1;
            *at = ms + RETRY_DELAY.as_millis() as u64;
            *attempt < MAX_ATTEMPTS
        });
    }
    let waits = last_answered
        .iter()
        .map(|at| 200_000 - at)
        .max()
        .unwrap_or(0);
    assert!(longest_wait.max(waits) < 75_000, "{longest_wait} {waits}");
}
