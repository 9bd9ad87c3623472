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
