use crate::api::tests::{Scene, body, job_state};
use crate::protocol::JobState;
use crate::runtime;
use crate::store::keys;
use crate::store::records::FinalRecord;
use serde_json::json;

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
