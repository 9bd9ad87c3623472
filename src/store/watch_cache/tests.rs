use super::*;
use crate::config::tests::sample_config;
use crate::ids::{AttemptNumber, TaskAttempt, TaskId, UnixTime};
use crate::protocol::store::Event;
use crate::store::live_job::Placement;
use crate::store::records::{JobRecord, MachineRecord};
use serde_json::{Value, json};

fn put(key: String, value: Value, revision: u64) -> Event {
    Event {
        put: Some(key),
        delete: None,
        value,
        revision: Revision(revision),
    }
}

fn deletion(key: String, revision: u64) -> Event {
    Event {
        put: None,
        delete: Some(key),
        value: Value::Null,
        revision: Revision(revision),
    }
}

fn empty_machine() -> MachineRecord {
    MachineRecord::new("1.1.1.1:1", &"t".into(), &"z".into(), false)
}

fn job_value(id: &str) -> Value {
    json!({"spec": crate::protocol::tests::spec(id), "accepted": 1})
}

#[test]
fn committed_record_is_not_replaced_by_an_older_copy_from_the_stream() {
    let mut cache = WatchCache::new(&sample_config());
    let id = JobId::from("job-1");
    cache.apply(
        Revision(1),
        vec![put(keys::job(&id), job_value("job-1"), 1)],
    );
    let spec = cache.jobs[&id].spec.clone();
    let mut record = empty_machine();
    let empty = serde_json::to_value(&record).expect("json");
    let attempt = TaskAttempt {
        task: TaskId {
            job: id.clone(),
            index: 2,
        },
        number: AttemptNumber(9),
    };
    record.add(&attempt, &spec);
    let machine = MachineId::from("vm-1");
    cache.put_machine(machine.clone(), record, Revision(5));
    cache.apply(
        Revision(4),
        vec![put(keys::machine(&machine), empty.clone(), 4)],
    );
    assert!(cache.jobs[&id].placed.contains_key(&2));
    assert_eq!(cache.team_usage()[&TeamId::from("red")].milli_cpus, 2000);
    cache.apply(Revision(6), vec![put(keys::machine(&machine), empty, 6)]);
    assert!(cache.jobs[&id].placed.is_empty());
    assert_eq!(cache.machines[&machine].images.len(), 1);
}

/// A repeated transaction restores the record of a deleted machine, with an attempt that a later one
/// has replaced. When that record is deleted again, the task must not count as unplaced, because it
/// would be started a second time.
#[test]
fn deletion_of_a_restored_record_keeps_the_latest_placement() {
    let mut cache = WatchCache::new(&sample_config());
    let id = JobId::from("job-1");
    cache.apply(
        Revision(2),
        vec![put(keys::job(&id), job_value("job-1"), 2)],
    );
    let spec = cache.jobs[&id].spec.clone();
    let mut put_attempt = |machine: &str, attempt_number: u64, at: u64| {
        let task = TaskId {
            job: id.clone(),
            index: 2,
        };
        let mut record = empty_machine();
        let attempt_number = AttemptNumber(attempt_number);
        record.add(
            &TaskAttempt {
                task,
                number: attempt_number,
            },
            &spec,
        );
        let key = keys::machine(&machine.into());
        let value = serde_json::to_value(&record).expect("json");
        let delete_event = deletion(key.clone(), at + 1);
        cache.apply(Revision(at), vec![put(key, value, at)]);
        let placement = cache.jobs[&id].placed[&2].clone();
        (delete_event, placement)
    };
    let (delete_latest, _) = put_attempt("vm-2", 9, 5);
    let (delete_restored, placement) = put_attempt("vm-1", 3, 7);
    let latest = Placement {
        machine: "vm-2".into(),
        attempt: AttemptNumber(9),
    };
    assert_eq!(placement, latest);
    cache.apply(Revision(8), vec![delete_restored]);
    assert_eq!(cache.jobs[&id].placed[&2], placement);
    let delete_latest = Event {
        revision: Revision(9),
        ..delete_latest
    };
    cache.apply(Revision(9), vec![delete_latest]);
    assert!(cache.jobs[&id].placed.is_empty());
}

#[test]
fn plans_and_segments_received_before_their_job_are_applied_to_it() {
    let mut cache = WatchCache::new(&sample_config());
    let id = JobId::from("job-1");
    let mut bits = Bitmap::default();
    bits.set(3);
    cache.apply(
        Revision(3),
        vec![
            put(
                keys::segment(&id, 0),
                serde_json::to_value(&bits).expect("json"),
                3,
            ),
            put(
                keys::plans("1-1"),
                json!({"job-1": {"type_name": null, "machines": [], "predicted_s": 4.0}}),
                3,
            ),
            put(keys::job(&id), job_value("job-1"), 2),
        ],
    );
    let job = &cache.jobs[&id];
    assert_eq!(job.unplaced_tasks(1024).collect::<Vec<_>>(), vec![0, 1, 2]);
    assert!(job.plan.is_some() && cache.orphaned_keys(4).is_empty());
    let delete_event = deletion(keys::job(&id), 4);
    assert_eq!(cache.apply(Revision(4), vec![delete_event]), vec![id]);
    assert_eq!(cache.orphaned_keys(4), vec![keys::plans("1-1")]);
}

/// A done task stays done and counts once, whichever of its records is received or deleted first.
#[test]
fn done_tasks_count_once_across_records_and_segments() {
    let mut cache = WatchCache::new(&sample_config());
    let id = JobId::from("job-1");
    let machine = MachineId::from("vm-1");
    let mut record = empty_machine();
    record.add_done(&id, 1, 2);
    let value = serde_json::to_value(&record).expect("json");
    let job = put(keys::job(&id), job_value("job-1"), 2);
    cache.apply(
        Revision(2),
        vec![put(keys::machine(&machine), value, 1), job],
    );
    assert_eq!(cache.jobs[&id].done_count(), 2);
    let mut bits = Bitmap::default();
    bits.set(2);
    let bits = serde_json::to_value(&bits).expect("json");
    cache.apply(Revision(3), vec![put(keys::segment(&id, 0), bits, 3)]);
    assert_eq!(cache.jobs[&id].done_count(), 2);
    assert!(cache.jobs[&id].has_tasks_outside_segments(&record.done[0], 8192));
    let delete_event = deletion(keys::machine(&machine), 4);
    cache.apply(Revision(4), vec![delete_event]);
    let job = &cache.jobs[&id];
    assert!(job.done_count() == 2 && job.is_done(1, 8192) && job.is_done(2, 8192));
}

/// Returns a cache at revision 6 with a job of four tasks that waits for another one.
fn cache_with_blocked_job(id: &JobId) -> WatchCache {
    let mut value = job_value(id.as_str());
    value["spec"]["awaits"] = json!(["job-9"]);
    let mut cache = WatchCache::new(&sample_config());
    cache.apply(Revision(6), vec![put(keys::job(id), value, 2)]);
    cache
}

/// Guards against tasks that are stopped as if their job had ended: the job, whose release this
/// controller had just committed, was blocked again in a cache that was loaded from older pages.
#[test]
fn loaded_cache_keeps_a_job_that_was_just_released() {
    let id = JobId::from("job-1");
    let mut earlier = cache_with_blocked_job(&id);
    let blocked = earlier.dependency_graph.get(&id).expect("a blocked job");
    let mut record = JobRecord::new((*blocked.spec).clone(), blocked.accepted_at);
    record.released_at = Some(UnixTime(70));
    earlier.put_job(id.clone(), record.clone(), Revision(8));
    let mut loaded = cache_with_blocked_job(&id);
    loaded.take_over_from(&earlier);
    assert_eq!(loaded.job_revision(&id), Some(Revision(8)));
    assert_eq!(loaded.jobs[&id].record(), record);
    assert!(!loaded.dependency_graph.contains(&id));
    loaded.apply(Revision(9), vec![deletion(keys::job(&id), 9)]);
    assert_eq!(loaded.job_revision(&id), None);
}

/// Guards against a job that is called done late: its last ends were reported, but not written yet when
/// the cache was loaded again.
#[test]
fn loaded_cache_keeps_the_tasks_that_were_reported_as_done() {
    let id = JobId::from("job-1");
    let cache_with_job = || {
        let mut cache = WatchCache::new(&sample_config());
        let event = put(keys::job(&id), job_value("job-1"), 2);
        cache.apply(Revision(6), vec![event]);
        cache
    };
    let mut earlier = cache_with_job();
    for index in 0..4 {
        earlier.jobs.get_mut(&id).expect("job").report_done(index);
    }
    let mut loaded = cache_with_job();
    assert!(!loaded.jobs[&id].is_complete(1024));
    loaded.take_over_from(&earlier);
    assert!(loaded.jobs[&id].is_complete(1024));
}

/// Guards against a task on two machines, or in the wrong zone: machines without a record, and records
/// that this controller had just written, were missing in a cache that was loaded again. What the store
/// has deleted, or has newer, is not brought back.
#[test]
fn loaded_cache_keeps_machines_that_its_pages_do_not_show_yet() {
    let machine = |number: u32| MachineId::from(format!("vm-{number}").as_str());
    let mut earlier = WatchCache::new(&sample_config());
    earlier.insert_unrecorded_machine(machine(1), empty_machine());
    for (number, revision) in [(2, 8), (3, 5), (4, 5)] {
        earlier.put_machine(machine(number), empty_machine(), Revision(revision));
    }
    let mut loaded = WatchCache::new(&sample_config());
    loaded.put_machine(machine(4), empty_machine(), Revision(6));
    loaded.revision = Revision(6);
    loaded.take_over_from(&earlier);
    let shown = loaded
        .machines
        .iter()
        .map(|(id, m)| (id.clone(), m.revision.0));
    let expected = [(machine(1), 0), (machine(2), 8), (machine(4), 6)];
    assert_eq!(shown.collect::<Vec<_>>(), expected);
}
