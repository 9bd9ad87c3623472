use super::*;
use crate::config::tests::sample_config;
use crate::ids::Millis;
use crate::protocol::store::KeyValue;
use crate::store::keys;
use crate::store::records::JobRecord;
use proptest::prelude::*;

prop_compose! {
    fn batch()(due in 20.0..300.0f64, tasks in 1u32..60, task in 5.0..60.0f64) -> Batch {
        let usable_cpus = f64::from(tasks) * 4.0;
        Batch { due_s: due.max(2.5 * task), usable_cpus, task_s: task, work: usable_cpus * task }
    }
}

/// Simulates serving the batches in order, task by task, on slots of 4 CPUs. Returns the largest lateness of
/// a batch as a multiple of its task time.
fn worst_lateness(batches: &[Batch], cpus: f64) -> f64 {
    let mut slots = vec![0.0f64; (cpus / 4.0).ceil().max(1.0) as usize];
    let mut worst = f64::NEG_INFINITY;
    for batch in batches {
        let mut end = 0.0f64;
        for _ in 0..(batch.usable_cpus / 4.0) as u32 {
            slots.sort_by(f64::total_cmp);
            slots[0] += batch.task_s;
            end = end.max(slots[0]);
        }
        worst = worst.max((end - batch.due_s) / batch.task_s);
    }
    worst
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn required_cpus_finish_every_batch_in_time(batches in proptest::collection::vec(batch(), 1..8)) {
        let cpus = required_cpus(&batches);
        prop_assert!(worst_lateness(&batches, cpus) <= 1.0);
        let usable_cpus: f64 = batches.iter().map(|b| b.usable_cpus).sum();
        prop_assert!(cpus <= usable_cpus + 1.0);
    }
}

/// Returns the load of one array that has just been accepted.
fn load_of(deadline_s: Option<f64>, objective: Option<Millis>) -> u64 {
    let mut config = sample_config();
    let mut spec = crate::protocol::tests::spec("job-000001");
    spec.tasks = 40;
    spec.estimate_s = 20.0;
    spec.deadline_s = deadline_s;
    let objective = objective.map(|within| (spec.pipeline.clone(), within));
    config.finish_within.extend(objective);
    let accepted = UnixTime(1_000_000);
    let record = JobRecord::new(spec, accepted);
    let mut cache = WatchCache::new(&config);
    cache.load(KeyValue {
        key: keys::job(&record.spec.id),
        value: serde_json::to_value(&record).expect("json"),
        revision: crate::ids::Revision(5),
        lease: None,
    });
    current_demand(accepted, &cache, &config, 3.0).load.arrays
}

/// Guards against arrays without deadlines that request no additional capacity even though their pipeline has
/// an objective. Half of them missed the objective in that case.
#[test]
fn array_without_a_deadline_is_due_by_the_pipelines_objective() {
    let (soon, late) = (Millis(60_000), Millis(400_000));
    assert!(load_of(None, Some(soon)) > load_of(None, None));
    assert!(load_of(None, Some(late)) < load_of(None, None));
    assert_eq!(
        load_of(Some(200.0), Some(soon)),
        load_of(Some(200.0), None),
        "the job's own deadline takes precedence"
    );
}
