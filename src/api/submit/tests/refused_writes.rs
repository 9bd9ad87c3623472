//! Submissions whose write the key-value store does not take.
//!
//! What happens: a user repeats the submission of an accepted job that has ended, and gets 503 for
//! 86 s, while polls of the same job are answered. Why: the one way to learn that the job is known is
//! the write that would accept it. If that write is refused, by the store's rate or by our own limiter,
//! nothing else is asked. A poll is compared in a batch that is tried again in ever earlier request
//! classes, and its final record is read with requests in reserve.
//!
//! What showed it, in the load of seed 1874 (`api::query::tests`): of the 17 questions of the user who
//! waited longest 6 met an outage, 6 were refused by the store (429), 4 were held back at the write by our own
//! limiter with 0.7 to 0.8 changes and 1.2 to 2.1 requests left, and one at the read after it. Each of the
//! 11 of the last three kinds ended after at most 20 ms, but for one that took 0.62 s: that one alone
//! went on to a read.

use crate::api::JobApi;
use crate::api::tests::{
    StandIn, Writes, api_in_memory, body, catch_up, in_virtual_time, job_state,
};
use crate::http::Response;
use crate::ids::{Incarnation, LeaseId, MemberId};
use crate::protocol::JobState;
use crate::runtime::{self, Scope};
use crate::store::keys;
use crate::store::records::{MemberRecord, ProgramVersion};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How long users wait for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITES_NOT_TAKEN: [Writes; 3] = [Writes::Refused, Writes::AnswerLost, Writes::Delayed];

async fn submit(api: &JobApi, id: &str) -> Response {
    api.submit(&body(id, |_| ())).await
}

async fn submit_dependent(api: &JobApi, id: &str, parent: &str) -> Response {
    let dependent = body(id, |b| b["awaits"] = json!([parent]));
    api.submit(&dependent).await
}

/// Accepts a job with dependents, two of them and a job without dependencies that end, at a controller
/// of its own.
async fn accept_jobs(state: &Rc<RefCell<StandIn>>) {
    let (api, _asked) = api_in_memory(state);
    submit(&api, "job-1").await;
    submit(&api, "job-2").await;
    submit_dependent(&api, "job-3", "job-1").await;
    submit_dependent(&api, "job-4", "job-1").await;
    for id in ["job-2", "job-4"] {
        state.borrow_mut().end(id, JobState::Done);
    }
}

/// Live and ended jobs, with and without dependencies, at a controller that was not told of them.
#[test]
fn repeated_submission_is_answered_like_a_poll_if_its_write_is_not_taken() {
    for writes in WRITES_NOT_TAKEN {
        let answers = in_virtual_time(async move {
            let state = Rc::default();
            accept_jobs(&state).await;
            state.borrow_mut().writes = writes;
            let (api, _asked) = api_in_memory(&state);
            [
                job_state(&submit(&api, "job-1").await),
                job_state(&submit(&api, "job-2").await),
                job_state(&submit_dependent(&api, "job-3", "job-1").await),
                job_state(&submit_dependent(&api, "job-4", "job-1").await),
            ]
        });
        let expected = ["pending", "done", "pending", "done"].map(|state| (200, state.to_owned()));
        assert_eq!(answers, expected, "{writes:?}");
    }
}

/// A new job is neither accepted nor refused for good, within the time that a poll may take.
#[test]
fn new_job_whose_write_is_not_taken_is_asked_to_come_back() {
    for writes in [Writes::Refused, Writes::Delayed] {
        let (answer, took) = in_virtual_time(async move {
            let state = Rc::<RefCell<StandIn>>::default();
            state.borrow_mut().writes = writes;
            let (api, _asked) = api_in_memory(&state);
            let asked_at = runtime::now();
            let answer = submit(&api, "job-1").await;
            (answer, runtime::now() - asked_at)
        });
        assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        assert!(took < POLL_TIMEOUT, "{took:?}");
    }
}

/// What happened: with the lookup above, 95% of submissions took 32 ms and more on days on which they took
/// 18.7 ms before. Why: a new job waited for the lookup before a peer was asked, which could write it at
/// once. So a submission that is not written is handed back first, after its one request.
#[test]
fn submission_that_is_not_written_is_handed_back_before_the_lookup() {
    for writes in [Writes::Refused, Writes::Delayed] {
        let (handed_back, calls, took) = in_virtual_time(async move {
            let state = Rc::<RefCell<StandIn>>::default();
            state.borrow_mut().writes = writes;
            let (api, _asked) = api_in_memory(&state);
            let asked_at = runtime::now();
            let result = api.try_submit(&body("job-1", |_| ())).await;
            let took = runtime::now() - asked_at;
            (result.is_err(), api.store.counters().calls, took)
        });
        assert!(handed_back);
        assert_eq!((calls, took), (1, Duration::ZERO));
    }
}

/// The write may still be carried out: until then the answer is to come back, and no repetition makes
/// a second job.
#[test]
fn submission_that_is_written_late_is_accepted_once() {
    let (answers, revision) = in_virtual_time(async move {
        let state = Rc::<RefCell<StandIn>>::default();
        let (api, _asked) = api_in_memory(&state);
        state.borrow_mut().writes = Writes::Delayed;
        let unknown = submit(&api, "job-1").await;
        let repeated = submit(&api, "job-1").await;
        state.borrow_mut().execute_delayed();
        let written = submit(&api, "job-1").await;
        state.borrow_mut().writes = Writes::Answered;
        let known = submit(&api, "job-1").await;
        let revision = state.borrow().revision;
        ([unknown, repeated, written, known], revision)
    });
    let statuses = answers.map(|answer| answer.status);
    assert_eq!((statuses, revision), ([503, 503, 200, 200], 1));
}

/// Whoever ends a job between the refused write and the read after it: its end is the answer.
#[test]
fn job_that_ends_after_its_refused_write_is_answered_as_ended() {
    let answers = in_virtual_time(async move {
        let state = Rc::default();
        accept_jobs(&state).await;
        state.borrow_mut().writes = Writes::Refused;
        let (api, mut asked) = api_in_memory(&state);
        state.borrow_mut().after_refusal = Some(|state| state.end("job-1", JobState::Done));
        let done = job_state(&submit(&api, "job-1").await);
        state.borrow_mut().after_refusal = Some(|state| state.end("job-3", JobState::Cancelled));
        // Its tasks are not proved gone at first.
        let mut proofs = Scope::default();
        proofs.spawn(async move {
            for settled in [false, true] {
                let cancellation = asked.recv().await.expect("asked");
                cancellation.settled.send(settled);
            }
        });
        let stopping = job_state(&submit_dependent(&api, "job-3", "job-1").await);
        catch_up(&state.borrow(), &api);
        let cancelled = job_state(&submit_dependent(&api, "job-3", "job-1").await);
        [done, stopping, cancelled]
    });
    let expected = [(200, "done"), (503, ""), (200, "withdrawn")];
    assert_eq!(
        answers,
        expected.map(|(status, state)| (status, state.to_owned()))
    );
}

/// The watch cache shows a job that has ended since, and not one that was accepted since.
#[test]
fn watch_cache_that_lags_does_not_matter() {
    let answers = in_virtual_time(async move {
        let state = Rc::default();
        let (api, _asked) = api_in_memory(&state);
        submit(&api, "job-1").await;
        catch_up(&state.borrow(), &api);
        state.borrow_mut().end("job-1", JobState::Done);
        let (other, _asked_there) = api_in_memory(&state);
        submit(&other, "job-2").await;
        state.borrow_mut().writes = Writes::Refused;
        [
            job_state(&submit(&api, "job-1").await),
            job_state(&submit(&api, "job-2").await),
        ]
    });
    let expected = ["done", "pending"].map(|state| (200, state.to_owned()));
    assert_eq!(answers, expected);
}

/// A controller that the store does not serve says so; the others answer.
#[test]
fn controller_that_the_store_refuses_alone_asks_for_a_retry() {
    let answers = in_virtual_time(async move {
        let state = Rc::default();
        accept_jobs(&state).await;
        let (alone, _asked) = api_in_memory(&state);
        state.borrow_mut().away = true;
        let refused = submit(&alone, "job-2").await.status;
        state.borrow_mut().away = false;
        let (other, _asked_there) = api_in_memory(&state);
        state.borrow_mut().writes = Writes::Refused;
        [refused, submit(&other, "job-2").await.status]
    });
    assert_eq!(answers, [503, 200]);
}

/// A controller of an earlier version takes part: new jobs with dependencies are not accepted, and
/// accepted ones are known.
#[test]
fn dependent_job_is_known_while_an_earlier_version_takes_part() {
    let answers = in_virtual_time(async move {
        let state = Rc::default();
        accept_jobs(&state).await;
        let earlier = MemberRecord {
            version: ProgramVersion::default(),
            ..MemberRecord::new(Incarnation(1), LeaseId(1))
        };
        state
            .borrow_mut()
            .put(keys::member(&MemberId::from("c0")), &earlier);
        let (api, _asked) = api_in_memory(&state);
        catch_up(&state.borrow(), &api);
        [
            submit_dependent(&api, "job-4", "job-1").await.status,
            submit_dependent(&api, "job-5", "job-1").await.status,
        ]
    });
    assert_eq!(answers, [200, 503]);
}

/// A job that has ended needs no write to be cancelled.
#[test]
fn cancellation_of_an_ended_job_is_answered_while_reads_are_scarce() {
    let answers = in_virtual_time(async move {
        let state = Rc::default();
        accept_jobs(&state).await;
        let (api, _asked) = api_in_memory(&state);
        state.borrow_mut().refused_reads = 1;
        let ended = job_state(&api.cancel("job-2").await);
        state.borrow_mut().refused_reads = 1;
        [ended, job_state(&api.cancel("job-1").await)]
    });
    let expected = [(200, "done".to_owned()), (503, String::new())];
    assert_eq!(answers, expected);
}
