use super::*;

fn member(name: &str) -> Member {
    Member::from(name)
}

fn hear(
    routes: &mut RelayRoutes,
    at: u64,
    from: &str,
    reachable_peers: &[&str],
    missing_machines: &[&str],
) {
    let reachable_peers = reachable_peers.iter().map(|m| member(m)).collect();
    let missing_machines = missing_machines
        .iter()
        .map(|m| MachineId::from(*m))
        .collect();
    routes.on_peer_status(
        MonotonicTime(at),
        &member(from),
        reachable_peers,
        missing_machines,
    );
}

/// c0 in one zone and c1 in another can't reach each other; c2 reaches both.
#[test]
fn a_controller_that_is_not_heard_is_reached_through_one_that_hears_it() {
    let mut routes = RelayRoutes::default();
    // At first nothing is known, and messages go straight.
    assert_eq!(routes.relay_for(MonotonicTime(0), &member("c1")), None);
    hear(&mut routes, 100, "c1", &["c0", "c2"], &[]);
    hear(&mut routes, 100, "c2", &["c0", "c1"], &[]);
    assert!(!routes.has_partition(MonotonicTime(200)));
    let at = 100 + FRESH.0;
    hear(&mut routes, at, "c2", &["c0", "c1"], &[]);
    assert_eq!(
        routes.relay_for(MonotonicTime(at), &member("c1")),
        Some(&member("c2"))
    );
    assert!(routes.has_partition(MonotonicTime(at)));
    assert_eq!(routes.reachable_peers(MonotonicTime(at)), [member("c2")]);
    // An ended controller is heard by nobody: there is no way, and no cut.
    hear(&mut routes, at + 10, "c2", &["c0"], &[]);
    assert_eq!(
        routes.relay_for(MonotonicTime(at + 10), &member("c1")),
        None
    );
    assert!(!routes.has_partition(MonotonicTime(at + 10)));
}

#[test]
fn only_reports_that_their_holder_may_miss_are_handed_on() {
    let mut routes = RelayRoutes::default();
    let (near, far) = (MachineId::from("vm-1"), MachineId::from("vm-2"));
    hear(&mut routes, 50, "c2", &["c0"], &[]);
    hear(&mut routes, 60, "c1", &["c0", "c2"], &["vm-2"]);
    // It hears all controllers and has lost its machines alone.
    assert!(!routes.may_be_missing(MonotonicTime(70), &member("c1"), &far));
    hear(&mut routes, 100, "c1", &["c0"], &["vm-2"]);
    assert!(!routes.may_be_missing(MonotonicTime(200), &member("c1"), &near));
    assert!(routes.may_be_missing(MonotonicTime(200), &member("c1"), &far));
    // Not heard, and not by others either: it has ended.
    assert!(!routes.may_be_missing(MonotonicTime(9000), &member("c1"), &far));
    // Heard by another alone: whatever it misses, it could not have told.
    hear(&mut routes, 9000, "c2", &["c1"], &[]);
    assert!(routes.may_be_missing(MonotonicTime(9000), &member("c1"), &near));
}
