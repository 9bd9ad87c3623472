use super::*;

#[test]
fn formatted_keys_parse_to_themselves() {
    let id = JobId::from("job-7");
    assert_eq!(LiveKey::parse(&job(&id)), Some(LiveKey::Job(id.clone())));
    assert_eq!(
        LiveKey::parse(&segment(&id, 3)),
        Some(LiveKey::Segment(SegmentKey {
            job: id.clone(),
            segment: 3
        }))
    );
    assert_eq!(
        LiveKey::parse(&shard(ShardId(4))),
        Some(LiveKey::Shard(ShardId(4)))
    );
    assert_eq!(LiveKey::parse(LEADER), Some(LiveKey::Leader));
    assert_eq!(LiveKey::parse(&final_state(&id)), None);
}

#[test]
fn page_after_the_predecessor_begins_with_the_final_state_of_the_job() {
    let ids = [
        "job-1", "job-10", "job-109", "job-1099", "job-11", "job-2", "job-20",
    ];
    let mut keys: Vec<String> = ids
        .iter()
        .map(|id| final_state(&JobId::from(*id)))
        .collect();
    keys.sort();
    for id in ids {
        let id = JobId::from(id);
        let after = final_state_predecessor(&id);
        let first = keys.iter().find(|key| **key > after);
        assert_eq!(first, Some(&final_state(&id)), "{after}");
    }
    assert_eq!(
        job_from_final_state_key("over/job-11"),
        Some("job-11".into())
    );
    assert_eq!(job_from_final_state_key("live/job/job-11"), None);
}
