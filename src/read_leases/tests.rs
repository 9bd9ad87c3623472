use super::*;
use crate::ids::{JobId, Revision};

const LEASES: [(TransientState, Millis); 2] = [
    (TransientState::Absent, ABSENT_LEASE),
    (TransientState::Live, LIVE_LEASE),
];

/// A lease that begins before the next state is committed ends before another controller tells of that
/// state, however the commit falls and also if their clocks drift apart as far as the protocol allows.
#[test]
fn lease_ends_before_its_expiry_in_every_controller() {
    for (state, lease) in LEASES {
        let read_at = MonotonicTime(1000);
        let last = read_at + lease - Millis(1);
        assert!(state.is_leased(read_at, read_at) && state.is_leased(last, read_at));
        assert!(!state.is_leased(read_at + lease, read_at));
        // The commit follows the read, and is known no earlier.
        let drift = Millis(lease.0 / 1000);
        assert!(state.expired_at(read_at) > read_at + lease + drift);
    }
}

#[test]
fn revocation_ends_the_leases_that_began_before_it() {
    let mut leases = RevokedLeases::default();
    let (job, other) = (JobId::from("job-1"), JobId::from("job-2"));
    leases.revoke(MonotonicTime(500), &job);
    leases.revoke(MonotonicTime(560), &job);
    assert!(leases.is_revoked(&job, MonotonicTime(500)));
    assert!(!leases.is_revoked(&job, MonotonicTime(501)));
    assert!(!leases.is_revoked(&other, MonotonicTime(500)));
}

/// A revocation is remembered while a lease from before it could last.
#[test]
fn revocation_is_forgotten_only_after_the_revoked_leases_would_have_expired() {
    let mut leases = RevokedLeases::default();
    let (job, other) = (JobId::from("job-1"), JobId::from("job-2"));
    let revoked_at = MonotonicTime(500);
    leases.revoke(revoked_at, &job);
    leases.revoke(revoked_at + LIVE_LEASE - Millis(1), &other);
    assert!(leases.is_revoked(&job, revoked_at));
    leases.revoke(revoked_at + LIVE_LEASE, &other);
    assert!(!leases.is_revoked(&job, revoked_at));
    assert!(!TransientState::Live.is_leased(revoked_at + LIVE_LEASE, revoked_at));
}

#[test]
fn revision_is_reached_with_the_first_later_one() {
    let mut times = RevisionTimes::default();
    assert_eq!(times.reached_at(Revision(0)), None);
    times.record(MonotonicTime(10), Revision(5));
    times.record(MonotonicTime(20), Revision(5));
    times.record(MonotonicTime(30), Revision(9));
    let at = |revision| times.reached_at(Revision(revision)).map(|at| at.0);
    assert_eq!(at(1), Some(10));
    assert_eq!(at(5), Some(10));
    assert_eq!(at(6), Some(30));
    assert_eq!(at(10), None);
}

/// Forgotten times never make a change look younger than the leases from before it.
#[test]
fn forgotten_times_are_older_than_any_lease() {
    let mut times = RevisionTimes::default();
    for n in 1..=1000 {
        let now = MonotonicTime(n * 30);
        times.record(now, Revision(n));
        for revision in 1..=n {
            let committed_by = MonotonicTime(revision * 30);
            let reached_at = times.reached_at(Revision(revision)).expect("reached");
            assert!(reached_at >= committed_by);
            let is_exact = reached_at == committed_by;
            assert!(is_exact || now > TransientState::Live.expired_at(reached_at));
        }
    }
    assert!(times.reached.len() < 40, "{}", times.reached.len());
}
