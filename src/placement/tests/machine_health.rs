//! Tests of which machines are usable and which count as capacity.

use super::test_cluster::{NOW, TestCluster};
use crate::ids::{Millis, Revision};
use crate::peers::MachineHealth;
use crate::store::keys;

/// Guards against renting replacements for the machines of a lost shard owner. These are unusable
/// until the new owner reports them, but they still count as capacity.
#[test]
fn machine_counts_as_capacity_while_its_shard_owner_changes() {
    let mut cluster = TestCluster::new();
    let id = cluster.add_machine(1, "a", false, &[]);
    assert!(cluster.scheduler.is_usable(NOW, &id, &cluster.cache));
    let shard = id.shard(cluster.config.shard_count());
    let record = cluster.cache.shards[&shard].value.clone();
    cluster.put_record(keys::shard(shard), &record);
    assert!(!cluster.scheduler.is_usable(NOW, &id, &cluster.cache));
    assert!(cluster.scheduler.counts_as_capacity(NOW, &id));
    let mut unresponsive = cluster.healthy_report(&id);
    unresponsive.unresponsive_for = Millis(60_000);
    cluster
        .scheduler
        .on_health(NOW, vec![unresponsive], &cluster.cache);
    assert!(!cluster.scheduler.counts_as_capacity(NOW, &id));
}

/// A controller that has lost only its connection to the key-value store still acts as the owner of
/// its shards and reports their machines as unresponsive.
#[test]
fn reports_of_an_earlier_shard_owner_are_ignored() {
    let mut cluster = TestCluster::new();
    let id = cluster.add_machine(1, "a", false, &[]);
    let earlier = MachineHealth {
        fence: Revision(cluster.healthy_report(&id).fence.0 - 1),
        unresponsive_for: Millis(60_000),
        token_confirmed: false,
        ..cluster.healthy_report(&id)
    };
    cluster
        .scheduler
        .on_health(NOW, vec![earlier], &cluster.cache);
    assert!(cluster.scheduler.is_usable(NOW, &id, &cluster.cache));
    assert!(cluster.scheduler.counts_as_capacity(NOW, &id));
}
