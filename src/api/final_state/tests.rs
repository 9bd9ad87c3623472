use super::*;
use crate::protocol::JobState;

#[test]
fn cache_is_bounded_and_keeps_the_latest() {
    let mut cache = FinalStateCache::default();
    let record = FinalState {
        record: FinalRecord {
            state: JobState::Done,
            tasks: 1,
        },
        revision: Revision(1),
        known_at: MonotonicTime(1),
        settled: true,
    };
    for n in 0..MAX_FINAL_STATES + 10 {
        let id = JobId::from(format!("job-{n}").as_str());
        cache.put(&id, record);
        cache.put(&id, record);
    }
    assert_eq!(
        (cache.known.len(), cache.order.len()),
        (MAX_FINAL_STATES, MAX_FINAL_STATES)
    );
    assert!(cache.get(&"job-0".into()).is_none());
    assert!(
        cache
            .get(&format!("job-{}", MAX_FINAL_STATES + 9).as_str().into())
            .is_some()
    );
}
