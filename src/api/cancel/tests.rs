use crate::api::Cancellation;
use crate::api::responses::RETRY_AFTER_S;
use crate::api::tests::{Scene, body, job_state};
use crate::runtime::{self, Receiver, Scope};
use std::rc::Rc;

/// No request about a cancelled job succeeds before it is confirmed that none of its tasks are
/// running. Then requests at all controllers succeed.
#[test]
fn no_controller_answers_a_cancellation_before_its_tasks_are_gone() {
    runtime::run(async {
        let scene = Scene::new();
        let (first, mut asked) = scene.api(true);
        let (other, mut asked_there) = scene.api(true);
        assert_eq!(first.submit(&body("job-1", |_| ())).await.status, 201);
        let gone = Rc::new(std::cell::Cell::new(false));
        let answer = |mut asked: Receiver<Cancellation>| {
            let gone = gone.clone();
            async move {
                while let Some(cancellation) = asked.recv().await {
                    cancellation.settled.send(gone.get());
                }
            }
        };
        assert!(asked.try_recv().is_none() && asked_there.try_recv().is_none());
        let mut scope = Scope::default();
        scope.spawn(answer(asked));
        scope.spawn(answer(asked_there));
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
        scene.catch_up(&first);
        scene.catch_up(&other);
        // Controllers that have read the record before also answer during a store outage.
        scene.state.borrow_mut().away = true;
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
