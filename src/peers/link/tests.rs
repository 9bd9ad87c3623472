use super::*;

#[test]
fn what_waits_for_a_peer_that_takes_nothing_is_bounded() {
    let (tx, mut rx) = channel();
    let member = Member::from("c1");
    let links = Links {
        queues: BTreeMap::from([(member.clone(), tx)]),
    };
    for _ in 0..2 * BACKLOG {
        let message = Message::Refused {
            fence: crate::ids::Revision(1),
            attempts: Vec::new(),
        };
        links.send(&member, message);
    }
    let mut waiting = 0;
    while rx.try_recv().is_some() {
        waiting += 1;
    }
    assert_eq!(waiting, BACKLOG);
}
