//! Which machines are usable, and which count as capacity.

use super::scene::{NOW, Scene};
use crate::ids::{Millis, Revision};
use crate::peers::MachineHealth;
use crate::store::keys;

/// Otherwise the machines of a lost shard owner would be rented a second time (found in a simulated
/// day with crashes).
#[test]
fn machine_counts_as_capacity_while_its_shard_owner_changes() {
    let mut scene = Scene::new();
    let id = scene.machine(1, "a", false, &[]);
    assert!(scene.scheduler.is_usable(NOW, &id, &scene.cache));
    let shard = id.shard(scene.config.shard_count());
    let record = scene.cache.shards[&shard].value.clone();
    scene.put(keys::shard(shard), &record);
    assert!(!scene.scheduler.is_usable(NOW, &id, &scene.cache));
    assert!(scene.scheduler.counts_as_capacity(NOW, &id));
    let mut silent = scene.health(&id);
    silent.unresponsive_for = Millis(60_000);
    scene.scheduler.on_health(NOW, vec![silent], &scene.cache);
    assert!(!scene.scheduler.counts_as_capacity(NOW, &id));
}

/// A controller that has lost only the key-value store still believes to own its shards.
#[test]
fn reports_of_an_earlier_shard_owner_are_ignored() {
    let mut scene = Scene::new();
    let id = scene.machine(1, "a", false, &[]);
    let earlier = MachineHealth {
        fence: Revision(scene.health(&id).fence.0 - 1),
        unresponsive_for: Millis(60_000),
        token_confirmed: false,
        ..scene.health(&id)
    };
    scene.scheduler.on_health(NOW, vec![earlier], &scene.cache);
    assert!(scene.scheduler.is_usable(NOW, &id, &scene.cache));
    assert!(scene.scheduler.counts_as_capacity(NOW, &id));
}
