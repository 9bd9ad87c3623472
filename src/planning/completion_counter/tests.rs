use super::*;
use crate::config::tests::sample_config;
use crate::ids::MachineId;
use crate::protocol::store::{Change, Event};
use crate::store::records::{JobRecord, MachineRecord};
use crate::store::watch_cache::WatchCache;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// A store that keeps only the revision of each key, and the size of the largest value written.
#[derive(Default)]
struct InMemoryStore {
    revision: u64,
    revisions: BTreeMap<String, Revision>,
    max_bytes: usize,
}

impl InMemoryStore {
    fn run(&mut self, txn: &Txn, cache: &mut WatchCache) -> bool {
        let found = |key: &String| self.revisions.get(key).copied().unwrap_or(Revision(0));
        if txn.conditions.iter().any(|c| found(&c.key) != c.revision) {
            return false;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let mut events = Vec::new();
        for change in &txn.changes {
            let (put, delete, value) = match change {
                Change::Put { key, value, .. } => {
                    self.max_bytes = self.max_bytes.max(value.to_string().len());
                    self.revisions.insert(key.clone(), revision);
                    (Some(key.clone()), None, value.clone())
                }
                Change::Delete { key } => {
                    self.revisions.remove(key);
                    (None, Some(key.clone()), serde_json::Value::Null)
                }
            };
            events.push(Event {
                put,
                delete,
                value,
                revision,
            });
        }
        cache.apply(revision, events);
        true
    }
}

fn accept(store: &mut InMemoryStore, cache: &mut WatchCache, tasks: u32) -> JobId {
    let mut spec = crate::protocol::tests::spec("job-000001");
    spec.tasks = tasks;
    let id = spec.id.clone();
    let record = JobRecord::new(spec, crate::ids::UnixTime(0));
    let mut txn = Txn::default();
    txn.put(keys::job(&id), &record, None);
    assert!(store.run(&txn, cache));
    id
}

/// Writes a machine's record as its shard owner does when tasks of a job have finished there.
fn record_done_tasks(
    store: &mut InMemoryStore,
    cache: &mut WatchCache,
    machine: &MachineId,
    id: &JobId,
    tasks: &[u32],
) {
    let size = sample_config().tasks_per_segment();
    let old = cache.machines.get(machine).map(|m| m.record.clone());
    let mut record =
        old.unwrap_or_else(|| MachineRecord::new("1.1.1.1:1", &"t".into(), &"z".into(), false));
    record.done.retain(|d| {
        cache
            .jobs
            .get(&d.job)
            .is_some_and(|j| j.has_tasks_outside_segments(d, size))
    });
    for task in tasks {
        record.add_done(id, *task, *task);
    }
    let mut txn = Txn::default();
    txn.put(keys::machine(machine), &record, None);
    assert!(store.run(&txn, cache));
}

/// Machines finish the tasks of the largest array in random order and report some twice. The leader
/// sometimes moves finished tasks into segments. All of the job's finished tasks are then in segments of its
/// counter, so deleting a machine's record loses none. The reference model is a set of task indices.
#[test]
fn counter_of_the_largest_array_counts_each_task_once_and_completes_once() {
    let config = sample_config();
    let layout = CounterLayout::new(&config);
    let ops = layout.txn_ops;
    let (mut store, mut cache) = (InMemoryStore::default(), WatchCache::new(&config));
    let id = accept(&mut store, &mut cache, crate::protocol::MAX_TASKS);
    let mut rng = StdRng::seed_from_u64(2);
    let mut order: Vec<u32> = (0..crate::protocol::MAX_TASKS).collect();
    order.shuffle(&mut rng);
    let mut model = std::collections::BTreeSet::new();
    let (mut at, mut folds) = (0, 0);
    while at < order.len() {
        let n = rng.random_range(1..=160).min(order.len() - at);
        let mut batch = order[at..at + n].to_vec();
        batch.push(order[rng.random_range(0..=at)]);
        let machine = MachineId::from(format!("vm-{}", rng.random_range(0..40)).as_str());
        record_done_tasks(&mut store, &mut cache, &machine, &id, &batch);
        model.extend(batch.iter().copied());
        assert_eq!(cache.jobs[&id].done_count() as usize, model.len());
        let long =
            cache.machines[&machine].record.done_size() > config.store_limits.value_bytes / 4;
        if long || rng.random_range(0..50) == 0 {
            loop {
                let mut txn = Txn::default();
                let all = fold_into_segments(&mut txn, &id, &cache.jobs[&id], &layout, ops - 1);
                assert!(txn.changes.len() < ops && txn.conditions.len() <= 4 * ops);
                folds += 1;
                assert!(store.run(&txn, &mut cache));
                if all {
                    break;
                }
            }
            assert!(cache.jobs[&id].done_outside_segments.is_empty());
            let mut txn = Txn::default();
            txn.delete(keys::machine(&machine));
            assert!(store.run(&txn, &mut cache));
            assert_eq!(cache.jobs[&id].done_count() as usize, model.len());
        }
        at += n;
        let completion = completion_txn(&id, &cache.jobs[&id], &layout);
        assert_eq!(completion.is_some(), model.len() == order.len());
        if let Some(txn) = completion {
            assert!(txn.changes.len() <= ops);
            assert!(store.run(&txn, &mut cache));
            assert!(!store.run(&txn, &mut cache), "a job completes only once");
        }
    }
    assert!(!cache.jobs.contains_key(&id) && store.max_bytes <= config.store_limits.value_bytes);
    assert!(folds > 20 && store.revisions.contains_key(&keys::final_state(&id)));
}

#[test]
fn update_from_a_lagging_watch_cache_fails_and_loses_no_task() {
    let config = sample_config();
    let layout = CounterLayout::new(&config);
    let (mut store, mut cache) = (InMemoryStore::default(), WatchCache::new(&config));
    let id = accept(&mut store, &mut cache, 4);
    let machine = MachineId::from("vm-1");
    record_done_tasks(&mut store, &mut cache, &machine, &id, &[0]);
    let mut stale_txn = Txn::default();
    assert!(fold_into_segments(
        &mut stale_txn,
        &id,
        &cache.jobs[&id],
        &layout,
        11
    ));
    record_done_tasks(&mut store, &mut cache, &machine, &id, &[1]);
    let mut current_txn = Txn::default();
    assert!(fold_into_segments(
        &mut current_txn,
        &id,
        &cache.jobs[&id],
        &layout,
        11
    ));
    assert!(store.run(&current_txn, &mut cache));
    assert!(!store.run(&stale_txn, &mut cache));
    assert_eq!(cache.jobs[&id].done_count(), 2);
}
