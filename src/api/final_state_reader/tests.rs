use crate::api::tests::{Scene, StandIn, body, controller_api, job_state};
use crate::config::tests::sample_config;
use crate::http::{Client, Request, Response};
use crate::protocol::JobState;
use crate::runtime::{self, run_in_virtual_time};
use crate::store::records::FinalRecord;
use crate::store::{Store, keys};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;

/// While nothing else is asked, a question about an ended job costs two requests once, and none
/// after that; one about a job that was never accepted costs one.
#[test]
fn questions_about_ended_and_unknown_jobs_cost_few_requests() {
    runtime::run(async {
        let scene = Scene::new();
        {
            let record = FinalRecord {
                state: JobState::Done,
                tasks: 1,
            };
            let mut held = scene.state.borrow_mut();
            held.revision = 1;
            for id in ["job-1", "job-2"] {
                let key = keys::final_state(&id.into());
                held.keys.insert(key, (json!(record), 1));
            }
        }
        let (api, _kept) = scene.api(true);
        let calls = || api.store.counters().calls;
        let done = (200, "done".to_owned());
        assert_eq!(job_state(&api.poll("job-1").await), done);
        assert_eq!(calls(), 2);
        assert_eq!(job_state(&api.poll("job-1").await), done);
        assert_eq!(calls(), 2);
        assert_eq!(api.poll("job-3").await.status, 404);
        assert_eq!(calls(), 3);
        // The refused submission has just said which record exists.
        let repeated = api.submit(&body("job-2", |_| ())).await;
        assert_eq!(job_state(&repeated), done);
        assert_eq!(calls(), 5);
    })
    .expect("loop");
}

/// What a poll of an ended job is answered, and what is counted, by a controller that may make so many
/// requests in a second of a store that answers with errors if it is `away`.
fn refused_poll(requests_per_s: f64, away: bool) -> (Response, Value) {
    let result = Rc::new(RefCell::new(None));
    let shown = result.clone();
    run_in_virtual_time(async move {
        let mut config = sample_config();
        config.state.rates.requests = requests_per_s;
        config.state.least_rates = config.state.rates;
        let state = RefCell::new(StandIn::default());
        let record = json!(FinalRecord {
            state: JobState::Done,
            tasks: 1,
        });
        let key = keys::final_state(&"job-1".into());
        state.borrow_mut().keys.insert(key, (record, 1));
        state.borrow_mut().away = away;
        let client = Client::answered_by(Rc::new(move |request: Request| {
            let answer = state.borrow_mut().answer(&request);
            Box::pin(std::future::ready(answer))
        }));
        let (addr, limits) = (config.state_addr, config.state);
        let store = Store::with_client(client, addr, &limits, 1.0, runtime::now());
        let (api, _cancellations) = controller_api(&config, store, true);
        let response = api.poll("job-1").await;
        let counted = json!(api.unanswered_report());
        shown.replace(Some((response, counted)));
    });
    result.take().expect("the event loop has ended")
}

/// A refusal by the controller's own limiter is told from a store that is away.
#[test]
fn unanswered_questions_are_counted_by_their_reasons() {
    let (held_back, counted) = refused_poll(1.0, false);
    assert_eq!((held_back.status, held_back.retry_after), (503, Some(1)));
    assert!(String::from_utf8_lossy(&held_back.body).contains("by this controller"));
    assert_eq!(counted["by_reason"], json!({"held_back": 1}));
    let (away, counted) = refused_poll(100.0, true);
    assert_eq!(away.status, 503);
    assert_eq!(counted["by_reason"], json!({"store_down": 1}));
}
