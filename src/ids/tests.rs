use super::*;

#[test]
fn needs_round_up_and_capacity_rounds_down() {
    let need = Resources::need(0.1, 0.0, 1.00001);
    assert_eq!((need.milli_cpus, need.memory_mb), (100, 1001));
    assert_eq!(Resources::capacity(4.0, 0.0, 15.9999).memory_mb, 15_999);
    assert_eq!(need.fit_count(Resources::capacity(1.0, 0.0, 64.0)), 10);
}

#[test]
fn consecutive_machines_are_spread_evenly_over_shards() {
    let shards: Vec<u32> = (230..236)
        .map(|n| MachineId::from(format!("vm-{n:06}").as_str()).shard(6).0)
        .collect();
    let mut sorted = shards.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, vec![0, 1, 2, 3, 4, 5]);
}

#[test]
fn displayed_task_id_parses_to_itself() {
    let task = TaskId::parse("job-000412/3").expect("task");
    assert_eq!((task.job.as_str(), task.index), ("job-000412", 3));
    assert_eq!(task.to_string(), "job-000412/3");
    assert!(TaskId::parse("job-000412").is_none() && TaskId::parse("a/-1").is_none());
}

/// Names must compare like their texts, also if the texts contain zero bytes or differ only after
/// their first 16 bytes.
#[test]
fn names_are_ordered_like_their_texts() {
    let texts = [
        "",
        "a",
        "a\0",
        "a\0\0",
        "b",
        "job-000001",
        "job-000002",
        "vm-1",
        "vm-10",
        "vm-2",
        "0123456789abcdef",
        "0123456789abcde",
        "0123456789abcdefg",
        "0123456789abcdef\0",
        "é",
    ];
    for a in texts {
        for b in texts {
            assert_eq!(JobId::from(a).cmp(&JobId::from(b)), a.cmp(b), "{a:?} {b:?}");
            assert_eq!(JobId::from(a) == JobId::from(b), a == b);
        }
        let json = serde_json::to_string(&JobId::from(a)).expect("json");
        let back: JobId = serde_json::from_str(&json).expect("name");
        assert_eq!(back.as_str(), a);
    }
}
