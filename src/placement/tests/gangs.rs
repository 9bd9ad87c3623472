//! Gang scheduling.

use super::scene::Scene;
use crate::ids::{AttemptNumber, TaskAttempt};
use crate::protocol::JobKind;
use std::collections::BTreeSet;

#[test]
fn gang_is_allotted_whole_under_one_attempt_or_not_at_all() {
    let mut scene = Scene::new();
    scene.machine(1, "a", false, &[]);
    let gang = scene.job(1, |s| {
        s.kind = JobKind::Gang;
        s.tasks = 5;
    });
    assert!(
        scene.step().allotments.is_empty(),
        "four fit, five are needed"
    );
    assert_eq!(scene.scheduler.unmet_demands.len(), 1);
    scene.machine(2, "b", false, &[]);
    let allotments = scene.step().allotments;
    let attempts: Vec<&TaskAttempt> = allotments.iter().flat_map(|a| &a.attempts).collect();
    let numbers: BTreeSet<AttemptNumber> = attempts.iter().map(|a| a.number).collect();
    assert_eq!((attempts.len(), numbers.len()), (5, 1));
    assert!(attempts.iter().all(|a| a.task.job == gang.id));
    assert!(
        scene.step().allotments.is_empty(),
        "nothing is allotted twice"
    );
}
