use super::*;

#[test]
fn peer_send_queue_is_bounded() {
    let (tx, mut rx) = channel();
    let member = MemberId::from("c1");
    let links = Links {
        queues: BTreeMap::from([(member.clone(), tx)]),
    };
    for _ in 0..2 * MAX_QUEUED_MESSAGES {
        let message = Message::Refused {
            fence: crate::ids::Revision(1),
            attempts: Vec::new(),
        };
        links.send(&member, message);
    }
    let mut queued = 0;
    while rx.try_recv().is_some() {
        queued += 1;
    }
    assert_eq!(queued, MAX_QUEUED_MESSAGES);
}
