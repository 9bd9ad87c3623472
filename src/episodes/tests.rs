use super::*;

const ANNOUNCE_AFTER: Millis = Millis(100);
const QUIET_AFTER: Millis = Millis(1000);

fn episodes(capacity: usize) -> Episodes<u32> {
    Episodes::new(ANNOUNCE_AFTER, QUIET_AFTER, capacity)
}

#[test]
fn episode_is_announced_once_and_ends_with_its_count() {
    let mut episodes = episodes(10);
    let announced = [0, 50, 100, 150].map(|ms| episodes.record(MonotonicTime(ms), &1).is_some());
    assert_eq!(announced, [false, false, true, false]);
    assert!(episodes.take_ended(MonotonicTime(1149)).is_empty());
    let over = episodes.take_ended(MonotonicTime(1150));
    assert_eq!(over.len(), 1);
    assert_eq!((over[0].1.count, over[0].1.duration()), (4, Millis(150)));
    assert_eq!(episodes.oldest_start(), None);
}

#[test]
fn short_episodes_are_not_logged() {
    let mut episodes = episodes(10);
    assert_eq!(episodes.record(MonotonicTime(0), &1), None);
    assert_eq!(episodes.end(&1), None);
    assert_eq!(episodes.record(MonotonicTime(0), &2), None);
    assert!(episodes.take_ended(MonotonicTime(5000)).is_empty());
}

#[test]
fn number_of_open_episodes_is_limited() {
    let mut episodes = episodes(2);
    for key in 0..100 {
        episodes.record(MonotonicTime(u64::from(key)), &key);
    }
    assert_eq!(episodes.open.len(), 2);
    assert_eq!(episodes.oldest_start(), Some(MonotonicTime(0)));
}
