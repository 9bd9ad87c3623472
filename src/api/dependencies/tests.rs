//! Submissions with dependencies, over HTTP against a fake key-value store.

use crate::api::JobApi;
use crate::api::tests::{StoreFixture, body, job_state};
use crate::http::Response;
use crate::ids::{Incarnation, LeaseId, MemberId};
use crate::protocol::JobState;
use crate::runtime;
use crate::store::keys;
use crate::store::records::{FinalRecord, MemberRecord, ProgramVersion};
use serde_json::{Value, json};

async fn submit(api: &JobApi, id: &str, dependencies: Value) -> Response {
    let body = body(id, |b| b["awaits"] = dependencies.clone());
    api.submit(&body).await
}

fn status_and_body(response: &Response) -> (u16, String) {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    (response.status, text)
}

#[test]
fn valid_dependencies_are_accepted_and_invalid_ones_refused() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, _cancellations) = fixture.api(true);
        assert_eq!(submit(&api, "job-1", json!(null)).await.status, 201);
        let service = body("job-2", |b| b["shape"] = json!("daemon"));
        assert_eq!(api.submit(&service).await.status, 201);
        // Covers the controller that accepted the jobs, and one whose watch cache shows them.
        let (other, _other_cancellations) = fixture.api(true);
        fixture.sync_watch_cache(&other);
        for (n, api) in [&api, &other].into_iter().enumerate() {
            let id = format!("job-1{n}");
            let cases = [
                (json!(["job-9"]), 422, "job-9"),
                (json!([id]), 422, id.as_str()),
                (json!(["job-1", "job-2"]), 422, "job-2"),
                (json!("job-1"), 400, "awaits"),
                (json!(["vm-1"]), 400, "awaits"),
                (json!([1]), 400, "awaits"),
            ];
            for (dependencies, status, named) in cases {
                let refused = status_and_body(&submit(api, &id, dependencies.clone()).await);
                assert!(
                    refused.0 == status && refused.1.contains(named),
                    "{dependencies} {refused:?}"
                );
            }
            let accepted = submit(api, &id, json!(["job-1", "job-1"])).await;
            assert_eq!(job_state(&accepted), (201, "pending".into()));
            assert_eq!(job_state(&api.poll(&id).await), (200, "pending".into()));
        }
    })
    .expect("loop");
}

/// A list of dependencies that exceeds the smaller value limit is refused permanently. While the
/// store is down, a submission is answered at once with a retry.
#[test]
fn long_lists_are_refused_and_store_outages_ask_for_a_retry() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, _cancellations) = fixture.api(true);
        let many: Vec<String> = (0..2000).map(|n| format!("job-{n:06}")).collect();
        assert_eq!(submit(&api, "job-1", json!(many)).await.status, 422);
        assert_eq!(submit(&api, "job-1", json!(null)).await.status, 201);
        fixture.store.borrow_mut().unavailable = true;
        let (fresh, _other_cancellations) = fixture.api(true);
        let refused = submit(&fresh, "job-3", json!(["job-1"])).await;
        assert!(refused.status == 503 && refused.retry_after.is_some());
        fixture.store.borrow_mut().unavailable = false;
        // The next submission probes whether the store is up again.
        let mut answer = submit(&fresh, "job-4", json!(["job-1"])).await;
        for _ in 0..2 {
            if answer.status == 503 {
                answer = submit(&fresh, "job-4", json!(["job-1"])).await;
            }
        }
        assert_eq!(job_state(&answer), (201, "pending".into()));
    })
    .expect("loop");
}

/// An accepted job is found by its id, whatever its dependencies or the submitted list are now.
#[test]
fn retry_of_an_accepted_job_succeeds_before_all_checks() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, _cancellations) = fixture.api(true);
        assert_eq!(submit(&api, "job-1", json!(null)).await.status, 201);
        assert_eq!(submit(&api, "job-3", json!(["job-1"])).await.status, 201);
        for dependencies in [
            json!(["job-1"]),
            json!(["job-9"]),
            json!("job-1"),
            json!(["job-3"]),
        ] {
            let known = submit(&api, "job-3", dependencies.clone()).await;
            assert_eq!(job_state(&known), (200, "pending".into()), "{dependencies}");
        }
    })
    .expect("loop");
}

/// A dependent of a cancelled job is accepted as cancelled. A job whose dependencies are done is
/// not blocked.
#[test]
fn ended_dependencies_are_resolved_at_submission() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, _cancellations) = fixture.api(true);
        for (id, state) in [("job-1", JobState::Done), ("job-2", JobState::Cancelled)] {
            let record = json!(FinalRecord { state, tasks: 4 });
            let mut store = fixture.store.borrow_mut();
            store.revision += 1;
            let at = store.revision;
            store
                .keys
                .insert(keys::final_state(&id.into()), (record, at));
        }
        let cancelled = submit(&api, "job-3", json!(["job-1", "job-2"])).await;
        assert_eq!(job_state(&cancelled), (201, "withdrawn".into()));
        assert!(!fixture.store.borrow().keys.contains_key("live/job/job-3"));
        let ready = submit(&api, "job-4", json!(["job-1"])).await;
        assert_eq!(job_state(&ready), (201, "pending".into()));
        let store = fixture.store.borrow();
        assert!(store.keys["live/job/job-4"].0["released"].is_u64());
    })
    .expect("loop");
}

/// A controller of an earlier version would start such jobs without waiting for their dependencies.
#[test]
fn dependent_jobs_get_a_retry_while_an_earlier_version_is_a_member() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, _cancellations) = fixture.api(true);
        assert_eq!(submit(&api, "job-1", json!(null)).await.status, 201);
        let key = keys::member(&MemberId::from("c1"));
        let write = |version| {
            let record = MemberRecord {
                version,
                ..MemberRecord::new(Incarnation(3), LeaseId(4))
            };
            let mut store = fixture.store.borrow_mut();
            store.revision += 1;
            let at = store.revision;
            store.keys.insert(key.clone(), (json!(record), at));
            drop(store);
            fixture.sync_watch_cache(&api);
        };
        write(ProgramVersion::default());
        let refused = submit(&api, "job-3", json!(["job-1"])).await;
        assert!(refused.status == 503 && refused.retry_after.is_some());
        assert_eq!(submit(&api, "job-2", json!(null)).await.status, 201);
        write(ProgramVersion::CURRENT);
        assert_eq!(submit(&api, "job-3", json!(["job-1"])).await.status, 201);
    })
    .expect("loop");
}

/// The user of a job is answered only after all its dependents are cancelled.
#[test]
fn cancellation_is_answered_after_all_dependents_are_cancelled() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (api, mut cancellations) = fixture.api(true);
        let mut scope = runtime::Scope::default();
        scope.spawn(async move {
            while let Some(cancellation) = cancellations.recv().await {
                cancellation.settled.send(true);
            }
        });
        assert_eq!(submit(&api, "job-1", json!(null)).await.status, 201);
        assert_eq!(submit(&api, "job-2", json!(["job-1"])).await.status, 201);
        assert_eq!(submit(&api, "job-3", json!(["job-2"])).await.status, 201);
        // The watch cache lags behind the cancellation, so it may not show all dependents of the
        // job.
        assert_eq!(api.cancel("job-1").await.status, 503);
        assert!(fixture.store.borrow().keys.contains_key("live/job/job-2"));
        fixture.sync_watch_cache(&api);
        let mut answer = api.cancel("job-1").await;
        for _ in 0..3 {
            if answer.status == 200 {
                break;
            }
            fixture.sync_watch_cache(&api);
            answer = api.cancel("job-1").await;
        }
        assert_eq!(job_state(&answer), (200, "withdrawn".into()));
        for job in ["job-2", "job-3"] {
            let live = keys::job(&job.into());
            assert!(!fixture.store.borrow().keys.contains_key(&live), "{job}");
            let record = &fixture.store.borrow().keys[&keys::final_state(&job.into())].0;
            assert_eq!(record["state"], "withdrawn", "{job}");
        }
    })
    .expect("loop");
}
