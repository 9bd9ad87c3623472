use super::*;
use crate::protocol::tests::spec;

const OPS: usize = 4;

fn live(kind: JobKind) -> DependencyState {
    let revision = Revision(7);
    DependencyState::Live { kind, revision }
}

fn decide(named: &[(&str, DependencyState)]) -> Dependencies {
    let named = named.iter().map(|(id, state)| (JobId::from(*id), *state));
    Dependencies::of(&"job-9".into(), named.collect())
}

/// What is final outweighs what is not known, and what can be waited for comes last.
#[test]
fn named_jobs_are_summed_up_by_the_worst_of_them() {
    let array = live(JobKind::Array);
    let cases = [
        (
            vec![
                ("job-1", DependencyState::Done),
                ("job-2", DependencyState::Done),
            ],
            "done",
        ),
        (
            vec![("job-1", array), ("job-2", DependencyState::Done)],
            "open",
        ),
        (
            vec![("job-1", array), ("job-2", DependencyState::Cancelled)],
            "cancelled",
        ),
        (
            vec![
                ("job-1", DependencyState::Cancelled),
                ("job-2", DependencyState::Unknown),
            ],
            "unknown",
        ),
        (
            vec![
                ("job-1", DependencyState::Unknown),
                ("job-2", DependencyState::Never),
            ],
            "refused",
        ),
        (
            vec![("job-1", array), ("job-2", live(JobKind::Service))],
            "refused",
        ),
        (
            vec![("job-1", DependencyState::Cancelled), ("job-9", array)],
            "refused",
        ),
    ];
    for (named, expected) in cases {
        let decided = decide(&named);
        let found = match &decided {
            Dependencies::Open(open) => {
                assert_eq!(open.len(), 1);
                "open"
            }
            Dependencies::Done => "done",
            Dependencies::Cancelled => "cancelled",
            Dependencies::Unknown => "unknown",
            Dependencies::Refused(why) => {
                assert!(why.contains("job-"), "{why}");
                "refused"
            }
        };
        assert_eq!(found, expected, "{named:?}");
    }
}

/// Only a job with open dependencies waits, and only as long as these stand as they were found.
#[test]
fn a_job_waits_on_the_condition_that_what_it_needs_stands() {
    let mut job = spec("job-9");
    job.dependencies = vec!["job-1".into()];
    let record = |txn: &Txn| -> JobRecord {
        let crate::protocol::store::Change::Put { value, .. } = &txn.changes[0] else {
            panic!("a record is written");
        };
        serde_json::from_value(value.clone()).expect("record")
    };
    let open = decide(&[("job-1", live(JobKind::Gang))]);
    let (txn, state) = open.accept(&job, UnixTime(5), OPS).expect("accepted");
    assert_eq!(state, JobState::Queued);
    assert!(record(&txn).is_blocked());
    let parent = txn
        .conditions
        .iter()
        .find(|c| c.key == keys::job(&"job-1".into()));
    assert_eq!(parent.map(|c| c.revision), Some(Revision(7)));
    let (txn, _) = Dependencies::Done
        .accept(&job, UnixTime(5), OPS)
        .expect("accepted");
    assert!(!record(&txn).is_blocked());
    let (txn, state) = Dependencies::Cancelled
        .accept(&job, UnixTime(5), OPS)
        .expect("accepted");
    assert_eq!((state, txn.changes.len()), (JobState::Cancelled, 1));
    assert!(
        Dependencies::Unknown
            .accept(&job, UnixTime(5), OPS)
            .is_none()
    );
}

#[test]
fn a_long_list_of_open_jobs_keeps_to_the_conditions_of_a_transaction() {
    let named = (0..100).map(|n| {
        (
            JobId::from(format!("job-{n}").as_str()),
            live(JobKind::Array),
        )
    });
    let open = Dependencies::of(&"job-1000".into(), named.collect());
    let (txn, _) = open
        .accept(&spec("job-1000"), UnixTime(5), OPS)
        .expect("accepted");
    assert_eq!(txn.conditions.len(), CONDITIONS_PER_CHANGE * OPS);
}
