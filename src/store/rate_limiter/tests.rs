use super::*;

#[test]
fn leases_and_placements_are_admitted_under_overload() {
    let mut bucket = TokenBucket::new(20.0);
    let (mut leases, mut placed, mut polls) = (0, 0, 0);
    for ms in 0..10_000 {
        let now = MonotonicTime(ms);
        // Polls request fifty times the rate, placements half of it.
        polls += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Poll));
        if ms % 100 == 0 {
            placed += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Place));
        }
        if ms % 1000 == 0 {
            leases += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Lease));
        }
    }
    assert_eq!((leases, placed), (10, 100));
    assert!((80..=115).contains(&polls), "{polls}");
}

#[test]
fn drain_empties_the_bucket() {
    let mut bucket = TokenBucket::new(10.0);
    bucket.drain(MonotonicTime(0));
    assert!(!bucket.try_acquire(MonotonicTime(50), 1.0, RequestClass::Place));
    assert!(bucket.try_acquire(MonotonicTime(200), 1.0, RequestClass::Place));
}

/// A job completion writes the final record and deletes the live one, which takes two tokens. A
/// placement takes one. Without a reservation, placements took each token before there were two: a
/// completion waited 59 of 60 seconds at a rate of 10.8 writes per second, and 1.1 s at 20.8.
#[test]
fn job_completions_are_admitted_before_placements() {
    for rate in [5.0, 10.8, 20.8, 34.7] {
        let mut bucket = TokenBucket::new(rate);
        let (mut longest, mut waiting_since) = (0, None);
        let (mut placed, mut ended) = (0, 0);
        for ms in 0..60_000 {
            let now = MonotonicTime(ms);
            if ms % 1000 == 0 && waiting_since.is_none() {
                waiting_since = Some(ms);
            }
            if ms % 3 == 0 {
                placed += u32::from(bucket.try_acquire(now, 1.0, RequestClass::Place));
            }
            if ms % 50 == 7
                && let Some(since) = waiting_since
                && bucket.try_acquire(now, 2.0, RequestClass::Accept)
            {
                longest = longest.max(ms - since);
                waiting_since = None;
                ended += 1;
            }
        }
        assert!(longest < 1000 && ended >= 59, "{rate}: {longest} {ended}");
        // The reservation wastes no tokens: placements use all the remaining ones.
        let used = f64::from(placed) + 2.0 * f64::from(ended);
        assert!(used >= 0.95 * rate * 60.0, "{rate}: {used}");
    }
}
