use super::{MAX_PENDING_FORWARDS, PendingForwards};
use crate::ids::{Incarnation, MemberId};

const EARLIER_PROCESS: Incarnation = Incarnation(0x1122_3344_5566_7788);
const RESTARTED_PROCESS: Incarnation = Incarnation(0x0102_0304_0506_0708);

fn peer(name: &str) -> MemberId {
    MemberId::from(name)
}

/// Guards against users who get the answers to other users' polls, and machines that get another
/// machine's commands: a peer answers requests of a process that has crashed to the process that has
/// replaced it.
#[test]
fn responses_to_an_earlier_process_answer_no_request() {
    let mut earlier = PendingForwards::new(EARLIER_PROCESS);
    let mut restarted = PendingForwards::new(RESTARTED_PROCESS);
    let asked = peer("c1");
    for number in 0..MAX_PENDING_FORWARDS {
        let id = earlier.register(&asked, number).expect("room");
        restarted.register(&asked, number).expect("room");
        assert_eq!(restarted.complete(id, &asked), None);
    }
}

#[test]
fn only_the_peer_that_was_asked_completes_a_request_and_only_once() {
    let mut pending = PendingForwards::new(EARLIER_PROCESS);
    let id = pending.register(&peer("c1"), "poll").expect("room");
    assert_eq!(pending.complete(id, &peer("c2")), None);
    assert_eq!(pending.complete(id, &peer("c1")), Some("poll"));
    assert_eq!(pending.complete(id, &peer("c1")), None);
}

#[test]
fn requests_that_are_no_longer_awaited_make_room_and_are_not_completed() {
    let mut pending = PendingForwards::new(Incarnation(u64::MAX));
    let ids: Vec<_> = (0..MAX_PENDING_FORWARDS)
        .filter_map(|number| pending.register(&peer("c1"), number))
        .collect();
    assert_eq!(ids.len(), MAX_PENDING_FORWARDS);
    assert_eq!(pending.register(&peer("c1"), 0), None);
    assert_eq!(pending.remove(ids[0]), Some(0));
    assert!(pending.register(&peer("c1"), 1).is_some());
    assert_eq!(pending.complete(ids[0], &peer("c1")), None);
}
