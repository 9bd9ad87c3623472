use crate::api::Cancellation;
use crate::api::responses::RETRY_AFTER_S;
use crate::api::tests::{StoreFixture, body, job_state};
use crate::runtime::{self, Receiver, Scope};
use std::rc::Rc;

/// No request about a cancelled job succeeds before it is confirmed that none of its tasks are
/// running. Then requests at all controllers succeed.
#[test]
fn no_controller_answers_a_cancellation_before_its_tasks_are_gone() {
    runtime::run(async {
        let fixture = StoreFixture::new();
        let (first, mut cancellations) = fixture.api(true);
        let (other, mut other_cancellations) = fixture.api(true);
        assert_eq!(first.submit(&body("job-1", |_| ())).await.status, 201);
        let gone = Rc::new(std::cell::Cell::new(false));
        let answer = |mut cancellations: Receiver<Cancellation>| {
            let gone = gone.clone();
            async move {
                while let Some(cancellation) = cancellations.recv().await {
                    cancellation.settled.send(gone.get());
                }
            }
        };
        assert!(cancellations.try_recv().is_none() && other_cancellations.try_recv().is_none());
        let mut scope = Scope::default();
        scope.spawn(answer(cancellations));
        scope.spawn(answer(other_cancellations));
        for api in [&first, &other, &first] {
            let refused = api.cancel("job-1").await;
            assert_eq!(
                (refused.status, refused.retry_after),
                (503, Some(RETRY_AFTER_S))
            );
            assert_eq!(api.poll("job-1").await.status, 503);
            assert_eq!(api.submit(&body("job-1", |_| ())).await.status, 503);
        }
        gone.set(true);
        fixture.sync_watch_cache(&first);
        fixture.sync_watch_cache(&other);
        // Controllers that have read the record before also answer during a store outage.
        fixture.store.borrow_mut().unavailable = true;
        for api in [&first, &other] {
            assert_eq!(
                job_state(&api.cancel("job-1").await),
                (200, "withdrawn".into())
            );
        }
        gone.set(false);
        for api in [&first, &other] {
            assert_eq!(
                job_state(&api.poll("job-1").await),
                (200, "withdrawn".into())
            );
        }
    })
    .expect("loop");
}
