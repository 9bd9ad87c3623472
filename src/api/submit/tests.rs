mod refused_writes;

use crate::api::responses::RETRY_AFTER_S;
use crate::api::tests::{StoreFixture, body, job_state};
use crate::runtime;
use serde_json::json;

/// Covers invalid submissions, submissions that have to be retried, and resubmissions of accepted
/// jobs: at the controller that accepted the job, at one whose watch cache is empty, and while the
/// store is down.
#[test]
fn every_controller_distinguishes_bad_requests_from_retries_of_accepted_jobs() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (first, _cancellations) = fixture.api(true);
        let (fresh, _other_cancellations) = fixture.api(false);
        let complete = body("job-1", |_| ());
        let incomplete = |id: &str| {
            body(id, |b| {
                b.as_object_mut().expect("object").remove("crew");
            })
        };
        let unknown_team = |id: &str| body(id, |b| b["crew"] = json!("green"));
        assert_eq!(first.submit(&incomplete("job-1")).await.status, 400);
        assert_eq!(first.submit(&unknown_team("job-1")).await.status, 422);
        assert_eq!(first.submit(b"{").await.status, 400);
        // The machine types are not known there, so the controller can't check the job and answers
        // at once with a retry.
        let retry_later = fresh.submit(&complete).await;
        assert_eq!(
            (retry_later.status, retry_later.retry_after),
            (503, Some(RETRY_AFTER_S))
        );
        assert_eq!(first.submit(&complete).await.status, 201);
        for retry in [&complete, &incomplete("job-1"), &unknown_team("job-1")] {
            let answer = first.submit(retry).await;
            assert_eq!(job_state(&answer), (200, "pending".into()));
        }
        // A controller without machine types recognises the id of an accepted job, or asks for a
        // retry.
        let answer = fresh.submit(&incomplete("job-1")).await;
        assert_eq!(job_state(&answer), (200, "pending".into()));
        assert_eq!(fresh.submit(&unknown_team("job-1")).await.status, 503);
        for api in [&first, &fresh] {
            assert_eq!(api.poll("job-1").await.status, 200);
            assert_eq!(api.poll("job-2").await.status, 404);
            assert_eq!(api.submit(&incomplete("job-2")).await.status, 400);
        }
        fixture.store.borrow_mut().unavailable = true;
        for api in [&first, &fresh] {
            assert_eq!(api.submit(&incomplete("job-1")).await.status, 503);
            assert_eq!(api.poll("job-1").await.status, 503);
            assert_eq!(api.poll("job-3").await.status, 503);
        }
    })
    .expect("loop");
}
