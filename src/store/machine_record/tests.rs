use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]
    /// Compares with a set of indices. The ranges must stay ascending, without overlap and not adjacent,
    /// so that there are as few as possible.
    #[test]
    fn done_ranges_match_a_set(steps in proptest::collection::vec((0u32..80, 0u32..6), 1..60)) {
        let mut done = DoneTasks { job: "job-1".into(), ranges: Vec::new() };
        let mut model = BTreeSet::new();
        for (first, more) in steps {
            done.add(first, first + more);
            model.extend(first..=first + more);
            prop_assert_eq!(done.tasks().collect::<Vec<_>>(), model.iter().copied().collect::<Vec<_>>());
            prop_assert!(done.ranges.windows(2).all(|w| w[0].1 + 1 < w[1].0));
        }
    }
}

#[test]
fn size_is_an_upper_bound_of_the_stored_size() {
    let spec = crate::protocol::tests::spec("job-00000000000000000001");
    let mut record = MachineRecord::new("10.0.0.1:9000", &"t".into(), &"z".into(), true);
    for index in 0..200 {
        record.add_done(&spec.id, 90_000 + 2 * index, 90_000 + 2 * index);
        let attempt = TaskAttempt {
            task: TaskId {
                job: spec.id.clone(),
                index: 99_000 + index,
            },
            number: AttemptNumber(u64::MAX >> 4),
        };
        record.add(&attempt, &spec);
    }
    let size = serde_json::to_vec(&record).expect("json").len();
    assert!(size <= record.size(), "{size}");
    assert!(record.size() <= size + 8, "{size}");
}

/// Guards against records that exceed the size limit of a value because a placement adds more bytes
/// than were checked before.
#[test]
fn added_size_equals_the_growth_of_the_record() {
    let mut spec = crate::protocol::tests::spec("job-000001");
    spec.team = "a\\\"team".into();
    let mut record = MachineRecord::new("10.0.0.1:9000", &"t".into(), &"z".into(), true);
    for index in [0, 9, 10, 99_999] {
        let attempt = TaskAttempt {
            task: TaskId {
                job: spec.id.clone(),
                index,
            },
            number: AttemptNumber(u64::MAX >> (index % 60)),
        };
        let expected = record.size() + record.added_size(&attempt, &spec);
        record.add(&attempt, &spec);
        let size = serde_json::to_vec(&record).expect("json").len();
        assert_eq!(record.size(), expected);
        assert!((size..size + 8).contains(&expected), "{expected} {size}");
    }
}
