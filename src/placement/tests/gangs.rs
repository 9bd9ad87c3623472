//! Tests of gang scheduling.

use super::test_cluster::TestCluster;
use crate::ids::{AttemptNumber, TaskAttempt};
use crate::protocol::JobKind;
use std::collections::BTreeSet;

#[test]
fn gang_is_allotted_whole_under_one_attempt_or_not_at_all() {
    let mut cluster = TestCluster::new();
    cluster.add_machine(1, "a", false, &[]);
    let gang = cluster.add_job(1, |s| {
        s.kind = JobKind::Gang;
        s.tasks = 5;
    });
    assert!(
        cluster.run_step().allotments.is_empty(),
        "four fit, five are needed"
    );
    assert_eq!(cluster.scheduler.unmet_demands.len(), 1);
    cluster.add_machine(2, "b", false, &[]);
    let allotments = cluster.run_step().allotments;
    let attempts: Vec<&TaskAttempt> = allotments.iter().flat_map(|a| &a.attempts).collect();
    let numbers: BTreeSet<AttemptNumber> = attempts.iter().map(|a| a.number).collect();
    assert_eq!((attempts.len(), numbers.len()), (5, 1));
    assert!(attempts.iter().all(|a| a.task.job == gang.id));
    assert!(
        cluster.run_step().allotments.is_empty(),
        "nothing is allotted twice"
    );
}
