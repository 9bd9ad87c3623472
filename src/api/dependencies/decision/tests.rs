use super::*;
use crate::protocol::tests::spec;

/// The maximum number of changes of a transaction. The maximum number of its conditions depends on it.
const MAX_TXN_OPS: usize = 4;

fn live(kind: JobKind) -> DependencyState {
    let revision = Revision(7);
    DependencyState::Live { kind, revision }
}

fn decide(dependencies: &[(&str, DependencyState)]) -> CombinedDependencyState {
    let dependencies = dependencies
        .iter()
        .map(|(id, state)| (JobId::from(*id), *state));
    CombinedDependencyState::of(&"job-9".into(), dependencies.collect())
}

/// Returns the name of a combined state, and checks its details.
fn outcome_of(combined: &CombinedDependencyState) -> &'static str {
    match combined {
        CombinedDependencyState::Live(dependencies) => {
            assert_eq!(dependencies.len(), 1);
            "open"
        }
        CombinedDependencyState::Done => "done",
        CombinedDependencyState::Cancelled => "cancelled",
        CombinedDependencyState::Unknown => "unknown",
        CombinedDependencyState::Refused(reason) => {
            let reason = reason.to_string();
            assert!(reason.contains("job-"), "{reason}");
            "refused"
        }
    }
}

/// An invalid dependency takes priority over one that could not be read, and a live one comes last.
#[test]
fn combined_state_follows_the_most_severe_dependency() {
    use DependencyState::{Cancelled, Done, NeverAccepted, Unknown};
    let array = live(JobKind::Array);
    let service = live(JobKind::Service);
    let cases = [
        ([("job-1", Done), ("job-2", Done)], "done"),
        ([("job-1", array), ("job-2", Done)], "open"),
        ([("job-1", array), ("job-2", Cancelled)], "cancelled"),
        ([("job-1", Cancelled), ("job-2", Unknown)], "unknown"),
        ([("job-1", Unknown), ("job-2", NeverAccepted)], "refused"),
        ([("job-1", array), ("job-2", service)], "refused"),
        ([("job-1", Cancelled), ("job-9", array)], "refused"),
    ];
    for (dependencies, expected) in cases {
        assert_eq!(
            outcome_of(&decide(&dependencies)),
            expected,
            "{dependencies:?}"
        );
    }
}

/// Users see these texts in error responses.
#[test]
fn refusals_keep_their_texts() {
    let reason = |dependencies: &[(&str, DependencyState)]| match decide(dependencies) {
        CombinedDependencyState::Refused(reason) => reason.to_string(),
        other => panic!("{other:?}"),
    };
    let service = live(JobKind::Service);
    assert_eq!(
        reason(&[("job-9", DependencyState::Done)]),
        "job-9 can't need itself"
    );
    assert_eq!(
        reason(&[("job-1", service)]),
        "job-1 is a service: it is never done"
    );
    assert_eq!(
        reason(&[("job-1", DependencyState::NeverAccepted)]),
        "job-1 was never accepted"
    );
}

/// Only a job with live dependencies is blocked, and it is accepted only if their records have not
/// changed since they were read.
#[test]
fn blocked_job_is_accepted_on_condition_that_its_dependencies_are_unchanged() {
    let mut job = spec("job-9");
    job.dependencies = vec!["job-1".into()];
    let record = |txn: &Txn| -> JobRecord {
        let crate::protocol::store::Change::Put { value, .. } = &txn.changes[0] else {
            panic!("a record is written");
        };
        serde_json::from_value(value.clone()).expect("record")
    };
    let combined = decide(&[("job-1", live(JobKind::Gang))]);
    let (txn, state) = combined
        .acceptance_txn(&job, UnixTime(5), MAX_TXN_OPS)
        .expect("accepted");
    assert_eq!(state, JobState::Queued);
    assert!(record(&txn).is_blocked());
    let parent = txn
        .conditions
        .iter()
        .find(|c| c.key == keys::job(&"job-1".into()));
    assert_eq!(parent.map(|c| c.revision), Some(Revision(7)));
    let (txn, _) = CombinedDependencyState::Done
        .acceptance_txn(&job, UnixTime(5), MAX_TXN_OPS)
        .expect("accepted");
    assert!(!record(&txn).is_blocked());
    let (txn, state) = CombinedDependencyState::Cancelled
        .acceptance_txn(&job, UnixTime(5), MAX_TXN_OPS)
        .expect("accepted");
    assert_eq!((state, txn.changes.len()), (JobState::Cancelled, 1));
    assert!(
        CombinedDependencyState::Unknown
            .acceptance_txn(&job, UnixTime(5), MAX_TXN_OPS)
            .is_none()
    );
}

#[test]
fn conditions_on_a_long_list_of_dependencies_are_bounded() {
    let dependencies = (0..100).map(|n| {
        (
            JobId::from(format!("job-{n}").as_str()),
            live(JobKind::Array),
        )
    });
    let combined = CombinedDependencyState::of(&"job-1000".into(), dependencies.collect());
    let (txn, _) = combined
        .acceptance_txn(&spec("job-1000"), UnixTime(5), MAX_TXN_OPS)
        .expect("accepted");
    assert_eq!(
        txn.conditions.len(),
        Txn::CONDITIONS_PER_CHANGE * MAX_TXN_OPS
    );
}
