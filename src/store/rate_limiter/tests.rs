use super::*;

#[test]
fn leases_and_placements_are_admitted_under_overload() {
    let mut bucket = TokenBucket::new(20.0);
    let (mut granted, mut placed, mut polled) = (0, 0, 0);
    for ms in 0..10_000 {
        let now = MonotonicTime(ms);
        // Polls ask fifty times the rate; placements half of it.
        polled += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Poll));
        if ms % 100 == 0 {
            placed += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Place));
        }
        if ms % 1000 == 0 {
            granted += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Lease));
        }
    }
    assert_eq!((granted, placed), (10, 100));
    assert!((80..=115).contains(&polled), "{polled}");
}

#[test]
fn drain_empties_the_bucket() {
    let mut bucket = TokenBucket::new(10.0);
    bucket.drain(MonotonicTime(0));
    assert!(!bucket.try_acquire(MonotonicTime(50), 1.0, RequestClass::Place));
    assert!(bucket.try_acquire(MonotonicTime(200), 1.0, RequestClass::Place));
}
