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

/// c0 in one zone and c1 in another cannot reach each other; c2 reaches both.
#[test]
fn unreachable_controller_is_reached_through_a_relay() {
    let mut routes = RelayRoutes::default();
    // Without any status, messages are sent directly.
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
    // A controller whose process has ended is reached by none: there is no relay, and no partition.
    receive_status(&mut routes, at + 10, "c2", &["c0"], &[]);
    assert_eq!(
        routes.relay_for(MonotonicTime(at + 10), &member("c1")),
        None
    );
    assert!(!routes.has_partition(MonotonicTime(at + 10)));
}

#[test]
fn heartbeats_are_relayed_only_if_the_shard_owner_is_partitioned() {
    let mut routes = RelayRoutes::default();
    let (reporting_machine, missing_machine) = (MachineId::from("vm-1"), MachineId::from("vm-2"));
    receive_status(&mut routes, 50, "c2", &["c0"], &[]);
    receive_status(&mut routes, 60, "c1", &["c0", "c2"], &["vm-2"]);
    // The owner reaches all controllers and has lost contact only with its machines.
    assert!(!routes.should_relay_heartbeat(MonotonicTime(70), &member("c1"), &missing_machine));
    receive_status(&mut routes, 100, "c1", &["c0"], &["vm-2"]);
    assert!(!routes.should_relay_heartbeat(MonotonicTime(200), &member("c1"), &reporting_machine));
    assert!(routes.should_relay_heartbeat(MonotonicTime(200), &member("c1"), &missing_machine));
    // Neither this controller nor the others reach the owner: its process has ended.
    assert!(!routes.should_relay_heartbeat(MonotonicTime(9000), &member("c1"), &missing_machine));
    // Only another controller reaches the owner, so a list of missing machines could not arrive
    // here.
    receive_status(&mut routes, 9000, "c2", &["c1"], &[]);
    assert!(routes.should_relay_heartbeat(MonotonicTime(9000), &member("c1"), &reporting_machine));
}
