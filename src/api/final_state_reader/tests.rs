use super::{MIN_JOBS_FOR_PAGE, PAGE_ITEMS};
use crate::api::tests::{
    FakeStore, StoreFixture, api_in_memory, body, controller_api, in_virtual_time, job_state,
};
use crate::config::tests::sample_config;
use crate::http::{Client, Request, Response};
use crate::ids::JobId;
use crate::protocol::JobState;
use crate::runtime::{self, Scope, run_in_virtual_time};
use crate::store::records::FinalRecord;
use crate::store::{StoreClient, keys};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Without other load, the first request about an ended job costs two store requests, and later
/// ones cost none. A request about a job that was never accepted costs one.
#[test]
fn requests_about_ended_and_unknown_jobs_cost_few_store_calls() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        {
            let record = FinalRecord {
                state: JobState::Done,
                tasks: 1,
            };
            let mut store = fixture.store.borrow_mut();
            store.revision = 1;
            for id in ["job-1", "job-2"] {
                let key = keys::final_state(&id.into());
                store.keys.insert(key, (json!(record), 1));
            }
        }
        let (api, _cancellations) = fixture.api(true);
        let calls = || api.store.counters().calls;
        let done = (200, "done".to_owned());
        assert_eq!(job_state(&api.poll("job-1").await), done);
        assert_eq!(calls(), 2);
        assert_eq!(job_state(&api.poll("job-1").await), done);
        assert_eq!(calls(), 2);
        assert_eq!(api.poll("job-3").await.status, 404);
        assert_eq!(calls(), 3);
        // The failed transaction shows which record exists, so only the final state is read.
        let repeated = api.submit(&body("job-2", |_| ())).await;
        assert_eq!(job_state(&repeated), done);
        assert_eq!(calls(), 5);
    })
    .expect("loop");
}

/// Returns the response to a poll of an ended job and the statistics of unanswered requests, for a
/// controller with the given rate limit. If `unavailable` is set, the store answers with errors.
fn refused_poll(requests_per_s: f64, unavailable: bool) -> (Response, Value) {
    let result = Rc::new(RefCell::new(None));
    let result_slot = result.clone();
    run_in_virtual_time(async move {
        let mut config = sample_config();
        config.store_limits.rates.requests = requests_per_s;
        config.store_limits.min_rates = config.store_limits.rates;
        let state = RefCell::new(FakeStore::default());
        let record = json!(FinalRecord {
            state: JobState::Done,
            tasks: 1,
        });
        let key = keys::final_state(&"job-1".into());
        state.borrow_mut().keys.insert(key, (record, 1));
        state.borrow_mut().unavailable = unavailable;
        let client = Client::with_fake_transport(Rc::new(move |request: Request| {
            let answer = state.borrow_mut().respond(&request);
            Box::pin(std::future::ready(answer))
        }));
        let (addr, limits) = (config.store_addr, config.store_limits);
        let store = StoreClient::with_client(client, addr, &limits, 1.0, runtime::now());
        let (api, _cancellations) = controller_api(&config, store, true);
        let response = api.poll("job-1").await;
        let counted = json!(api.unanswered_report());
        result_slot.replace(Some((response, counted)));
    });
    result.take().expect("the event loop has ended")
}

/// A request refused by the controller's rate limiter is counted separately from one that meets a
/// store outage.
#[test]
fn unanswered_requests_are_counted_by_reason() {
    let (rate_limited, counted) = refused_poll(1.0, false);
    assert_eq!(
        (rate_limited.status, rate_limited.retry_after),
        (503, Some(1))
    );
    assert!(String::from_utf8_lossy(&rate_limited.body).contains("by this controller"));
    assert_eq!(counted["by_reason"], json!({"held_back": 1}));
    let (unavailable, counted) = refused_poll(100.0, true);
    assert_eq!(unavailable.status, 503);
    assert_eq!(counted["by_reason"], json!({"store_down": 1}));
}

fn job_id(n: usize) -> JobId {
    JobId::from(format!("job-{n:06}").as_str())
}

/// Creates a store with the final states of `count` jobs.
fn store_with_ended_jobs(count: usize) -> Rc<RefCell<FakeStore>> {
    let mut state = FakeStore::default();
    for n in 0..count {
        state.end(job_id(n).as_str(), JobState::Done);
    }
    Rc::new(RefCell::new(state))
}

/// Returns the final states that a controller reads for users who send requests at once, and the
/// number of its store calls.
async fn outcomes(
    state: &Rc<RefCell<FakeStore>>,
    jobs: impl Iterator<Item = usize>,
) -> (Vec<Option<JobState>>, u64) {
    let (api, _cancellations) = api_in_memory(state);
    let api = Rc::new(api);
    let results: Rc<RefCell<BTreeMap<usize, Option<JobState>>>> = Rc::default();
    let mut users = Scope::default();
    for n in jobs {
        let (api, results) = (api.clone(), results.clone());
        users.spawn(async move {
            let outcome = api.final_job_state(&job_id(n)).await;
            results.borrow_mut().insert(n, outcome);
        });
    }
    runtime::sleep(Duration::from_secs(1)).await;
    let calls = api.store.counters().calls;
    (results.take().into_values().collect(), calls)
}

/// At most two store requests are needed, as not all users have sent their requests before the
/// first read.
#[test]
fn jobs_on_a_page_are_read_with_one_request() {
    let (outcomes, calls) = in_virtual_time(async {
        let state = store_with_ended_jobs(PAGE_ITEMS);
        outcomes(&state, 0..PAGE_ITEMS).await
    });
    assert_eq!(outcomes, vec![Some(JobState::Done); PAGE_ITEMS]);
    assert!(calls <= 2, "{calls}");
}

/// Later requests about jobs on a page that was read cost no store call.
#[test]
fn page_is_cached_for_later_requests() {
    let (before, after) = in_virtual_time(async {
        let state = store_with_ended_jobs(PAGE_ITEMS);
        let (api, _cancellations) = api_in_memory(&state);
        let api = Rc::new(api);
        let mut users = Scope::default();
        for n in 0..MIN_JOBS_FOR_PAGE + 1 {
            let api = api.clone();
            users.spawn(async move {
                api.final_job_state(&job_id(n)).await;
            });
        }
        runtime::sleep(Duration::from_secs(1)).await;
        let before = api.store.counters().calls;
        api.poll(job_id(PAGE_ITEMS - 1).as_str()).await;
        (before, api.store.counters().calls)
    });
    assert_eq!(before, after);
}

/// A job after the end of a page is read with the next page.
#[test]
fn job_after_the_end_of_a_page_is_read_with_the_next_page() {
    let (outcomes, calls) = in_virtual_time(async {
        let state = store_with_ended_jobs(2 * PAGE_ITEMS);
        let jobs = (0..2 * PAGE_ITEMS).step_by(100);
        outcomes(&state, jobs).await
    });
    assert!(outcomes.iter().all(Option::is_some), "{outcomes:?}");
    assert!(calls <= 4, "{calls}");
}

/// A job without a record has not ended, and a job whose record can't be decoded has no answer.
/// Neither affects the other jobs on the page. A page whose read is refused is read again.
#[test]
fn missing_and_unreadable_records_on_a_page_do_not_affect_other_jobs() {
    let outcomes = in_virtual_time(async {
        let state = store_with_ended_jobs(10);
        state.borrow_mut().put(keys::final_state(&job_id(3)), &"?");
        state
            .borrow_mut()
            .keys
            .remove(&keys::final_state(&job_id(4)));
        state.borrow_mut().refused_reads = 2;
        outcomes(&state, 0..10).await.0
    });
    let expected = (0..10).map(|n| (n != 3 && n != 4).then_some(JobState::Done));
    assert_eq!(outcomes, expected.collect::<Vec<_>>());
}

/// The counters show how many jobs a read answers.
#[test]
fn reads_are_counted_by_kind() {
    let counted = in_virtual_time(async {
        let state = store_with_ended_jobs(PAGE_ITEMS);
        let (api, _cancellations) = api_in_memory(&state);
        api.poll(job_id(0).as_str()).await;
        json!(api.final_state_read_counters())
    });
    let expected = json!({
        "records": 1, "pages": 0, "answered_jobs": 1, "refused": 0, "held_back": 0
    });
    assert_eq!(counted, expected);
}
