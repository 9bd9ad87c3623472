use super::*;

fn member(name: &str) -> MemberId {
    MemberId::from(name)
}

fn receive_status(
    routes: &mut RelayRoutes,
    at: u64,
    from: &str,
    reachable_peers: &[&str],
    machines_without_direct_heartbeats: &[&str],
) {
    let reachable_peers = reachable_peers.iter().map(|m| member(m)).collect();
    let machines_without_direct_heartbeats = machines_without_direct_heartbeats
        .iter()
        .map(|m| MachineId::from(*m))
        .collect();
    routes.on_peer_status(
        MonotonicTime(at),
        &member(from),
        reachable_peers,
        machines_without_direct_heartbeats,
    );
}

/// c0 in one zone and c1 in another can't reach each other; c2 reaches both.
#[test]
fn unreachable_controller_is_reached_through_a_relay() {
    let mut routes = RelayRoutes::default();
    // At first nothing is known, and messages go directly.
    assert_eq!(routes.relay_for(MonotonicTime(0), &member("c1")), None);
    receive_status(&mut routes, 100, "c1", &["c0", "c2"], &[]);
    receive_status(&mut routes, 100, "c2", &["c0", "c1"], &[]);
    assert!(!routes.has_partition(MonotonicTime(200)));
    let at = 100 + STATUS_TIMEOUT.0;
    receive_status(&mut routes, at, "c2", &["c0", "c1"], &[]);
    assert_eq!(
        routes.relay_for(MonotonicTime(at), &member("c1")),
        Some(&member("c2"))
    );
    assert!(routes.has_partition(MonotonicTime(at)));
    assert_eq!(routes.reachable_peers(MonotonicTime(at)), [member("c2")]);
    // A controller that has ended is heard by nobody: there is no route, and no partition.
    receive_status(&mut routes, at + 10, "c2", &["c0"], &[]);
    assert_eq!(
        routes.relay_for(MonotonicTime(at + 10), &member("c1")),
        None
    );
    assert!(!routes.has_partition(MonotonicTime(at + 10)));
}

#[test]
fn only_heartbeats_that_their_owner_may_miss_are_relayed() {
    let mut routes = RelayRoutes::default();
    let (near, far) = (MachineId::from("vm-1"), MachineId::from("vm-2"));
    receive_status(&mut routes, 50, "c2", &["c0"], &[]);
    receive_status(&mut routes, 60, "c1", &["c0", "c2"], &["vm-2"]);
    // It hears all controllers and has lost its machines alone.
    assert!(!routes.should_relay_heartbeat(MonotonicTime(70), &member("c1"), &far));
    receive_status(&mut routes, 100, "c1", &["c0"], &["vm-2"]);
    assert!(!routes.should_relay_heartbeat(MonotonicTime(200), &member("c1"), &near));
    assert!(routes.should_relay_heartbeat(MonotonicTime(200), &member("c1"), &far));
    // Not heard, and not by others either: it has ended.
    assert!(!routes.should_relay_heartbeat(MonotonicTime(9000), &member("c1"), &far));
    // Heard by another alone: whatever it misses, its report could not have come here.
    receive_status(&mut routes, 9000, "c2", &["c1"], &[]);
    assert!(routes.should_relay_heartbeat(MonotonicTime(9000), &member("c1"), &near));
}
