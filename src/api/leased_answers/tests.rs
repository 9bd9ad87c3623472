//! Late answers of the key-value store, one order of events at a time. `api::tests::answer_order` draws
//! them.

use crate::api::tests::delayed_cluster::{DelayedCluster, Troubles, all_links};
use crate::api::tests::{body, in_virtual_time, job_state};
use crate::http::Response;
use crate::protocol::JobState;
use crate::runtime::{self, Scope, oneshot};
use std::rc::Rc;
use std::time::Duration;

const JOB: &str = "job-1";
const MS: Duration = Duration::from_millis(1);
/// The controller whose read is answered late.
const LATE: usize = 0;
/// The controller that changes the job meanwhile.
const OTHER: usize = 1;
/// The time in which the watch caches show a change.
const WATCHED: Duration = Duration::from_millis(300);
/// The time after which a comparison that was requested is under way.
const COMPARED: Duration = Duration::from_millis(170);

/// The status and the job's state in an answer, and the time since the poll was sent.
#[derive(Debug)]
struct Timed {
    answer: (u16, String),
    at: Duration,
}

fn no_links() -> Troubles {
    Troubles {
        cut_links: all_links().collect(),
        ..Troubles::default()
    }
}

/// Accepts the job if `accept` is set, polls it at a controller whose comparison is answered `late`,
/// and meanwhile runs `change` at another controller. Returns the answers to the poll and to the change.
fn poll_during<F>(
    troubles: Troubles,
    accept: bool,
    late: Duration,
    change: impl FnOnce(Rc<DelayedCluster>) -> F + 'static,
) -> [Timed; 2]
where
    F: Future<Output = Response> + 'static,
{
    in_virtual_time(async move {
        let cluster = DelayedCluster::start(1, troubles);
        if accept {
            cluster.api(OTHER).submit(&body(JOB, |_| ())).await;
        }
        runtime::sleep(WATCHED).await;
        let started_at = runtime::now();
        cluster.hold_next_comparison(LATE, late);
        let (sender, polled) = oneshot();
        let mut scope = Scope::default();
        let api = cluster.api(LATE);
        scope.spawn(async move {
            let response = api.poll(JOB).await;
            sender.send((response, runtime::now()));
        });
        runtime::sleep(COMPARED).await;
        let changed = change(cluster.clone()).await;
        let changed_at = runtime::now();
        let (polled, polled_at) = polled.get().await.expect("response");
        [(polled, polled_at), (changed, changed_at)].map(|(response, at)| Timed {
            answer: job_state(&response),
            at: at - started_at,
        })
    })
}

async fn cancel(cluster: Rc<DelayedCluster>) -> Response {
    cluster.api(OTHER).cancel(JOB).await
}

async fn submit(cluster: Rc<DelayedCluster>) -> Response {
    cluster.api(OTHER).submit(&body(JOB, |_| ())).await
}

/// Completes the job and polls it.
async fn complete(cluster: Rc<DelayedCluster>) -> Response {
    cluster.store.borrow_mut().end(JOB, JobState::Done);
    cluster.api(OTHER).poll(JOB).await
}

fn answer(status: u16, state: &str) -> (u16, String) {
    (status, state.to_owned())
}

/// Guards against `pending` for a poll whose comparison is answered 300 ms late, after another
/// controller has confirmed the cancellation.
#[test]
fn poll_that_the_store_answers_late_sees_the_confirmed_cancellation() {
    let [polled, cancelled] = poll_during(Troubles::default(), true, 300 * MS, cancel);
    assert_eq!(cancelled.answer, answer(200, "withdrawn"));
    // The read was still held back.
    assert!(cancelled.at < COMPARED + 250 * MS, "{cancelled:?}");
    assert_eq!(polled.answer, answer(200, "withdrawn"), "{polled:?}");
}

/// Guards against the same while the controllers can't reach each other: then the confirmation waits
/// until the poll can't be answered with the earlier state any more.
#[test]
fn cancellation_is_confirmed_after_the_leases_of_a_controller_that_is_not_reached() {
    for late in [300 * MS, 1200 * MS] {
        let [polled, cancelled] = poll_during(no_links(), true, late, cancel);
        assert_eq!(cancelled.answer, answer(200, "withdrawn"));
        match late == 300 * MS {
            true => {
                assert_eq!(polled.answer, answer(200, "pending"), "{polled:?}");
                assert!(polled.at < cancelled.at, "{polled:?} {cancelled:?}");
            }
            // The poll is answered too late for another lookup.
            false => assert_eq!(polled.answer.0, 503, "{polled:?}"),
        }
    }
}

/// Guards against `pending` for a poll whose comparison is answered late, after another controller has
/// told that the job is done.
#[test]
fn job_is_called_done_after_all_leases_on_it_have_expired() {
    let [polled, done] = poll_during(Troubles::default(), true, 400 * MS, complete);
    assert_eq!(done.answer, answer(200, "done"));
    assert_eq!(polled.answer, answer(200, "pending"), "{polled:?}");
    assert!(polled.at < done.at, "{polled:?} {done:?}");
    let [polled, _] = poll_during(Troubles::default(), true, 800 * MS, complete);
    assert_eq!(polled.answer, answer(200, "done"), "{polled:?}");
}

/// Guards against 404 for a poll whose comparison is answered late, after another controller has
/// accepted the job.
#[test]
fn poll_that_the_store_answers_late_finds_the_accepted_job() {
    for late in [Duration::ZERO, 39 * MS, 41 * MS, 100 * MS, 500 * MS] {
        let [polled, accepted] = poll_during(Troubles::default(), false, late, submit);
        assert_eq!(accepted.answer, answer(201, "pending"));
        let is_first = polled.at < accepted.at;
        let expected = if is_first {
            answer(404, "")
        } else {
            answer(200, "pending")
        };
        assert_eq!(polled.answer, expected, "{late:?} {polled:?} {accepted:?}");
    }
}

/// A state that a peer has read may be passed on within its lease, counted from when the request was
/// forwarded. Refusals and missing jobs may not.
#[test]
fn forwarded_answers_are_passed_on_while_they_are_leased() {
    let statuses = in_virtual_time(async {
        let cluster = DelayedCluster::start(1, Troubles::default());
        let api = cluster.api(LATE);
        api.submit(&body(JOB, |_| ())).await;
        let live = api.poll(JOB).await;
        let missing = api.poll("job-2").await;
        let forwarded_at = api.store.now();
        runtime::sleep(600 * MS).await;
        let in_time = [&live, &missing].map(|r| api.check_forwarded(r.clone(), forwarded_at));
        runtime::sleep(200 * MS).await;
        let too_late = api.check_forwarded(live.clone(), forwarded_at);
        let before_cancellation = api.store.now();
        cluster.api(OTHER).cancel(JOB).await;
        let cancelled = api.poll(JOB).await;
        let revoked = api.check_forwarded(live, before_cancellation);
        let ended = api.check_forwarded(cancelled, forwarded_at);
        let [live, missing] = in_time;
        [live, missing, too_late, revoked, ended].map(|response| response.status)
    });
    assert_eq!(statuses, [200, 503, 503, 503, 200]);
}
