use super::*;
use crate::config::tests::sample_config;
use crate::ids::{Incarnation, Millis};
use crate::peers::MachineHealth;
use crate::protocol::store::KeyValue;
use crate::store::keys;
use crate::store::records::{MachineRecord, ShardRecord};
use unresponsive::{HeartbeatCounts, OwnerHeartbeats};

fn counts(machines: usize, missed: usize) -> HeartbeatCounts {
    HeartbeatCounts { machines, missed }
}

#[test]
fn shard_owner_that_alone_misses_many_machines_is_suspect_and_one_in_a_partitioned_zone_is_not() {
    let id = MachineId::from("vm-1");
    let owner = |machines, missed, silent| OwnerHeartbeats {
        counts: counts(machines, missed),
        silent_machines: vec![&id; silent],
    };
    assert!(owner(300, 90, 20).is_owner_suspect(counts(600, 3)));
    assert!(
        owner(300, 200, 160).is_owner_suspect(counts(600, 400)),
        "most of its machines are silent"
    );
    assert!(
        !owner(300, 90, 20).is_owner_suspect(counts(600, 170)),
        "the other owners miss as many heartbeats"
    );
    assert!(
        !owner(300, 20, 20).is_owner_suspect(counts(600, 2)),
        "it misses only a few heartbeats"
    );
    assert!(
        !owner(20, 3, 1).is_owner_suspect(counts(40, 0)),
        "a small fleet"
    );
}

/// Returns a watch cache with one machine whose shard has an owner.
fn cache_with_machine(config: &Config, id: &MachineId) -> WatchCache {
    let mut cache = WatchCache::new(config);
    let shard = id.shard(config.shard_count());
    let shard_record = ShardRecord {
        owner: "c0".into(),
        incarnation: Incarnation(1),
        term: Revision(1),
    };
    let machine = MachineRecord::new("1.1.1.1:1", &"t".into(), &"a".into(), false);
    let values = [
        (keys::shard(shard), serde_json::to_value(&shard_record)),
        (keys::machine(id), serde_json::to_value(&machine)),
    ];
    for (key, value) in values {
        let value = value.expect("json");
        cache.load(KeyValue {
            key,
            value,
            revision: Revision(5),
            lease: None,
        });
    }
    cache
}

/// Returns the health report of a machine that has been silent for longer than the timeout.
fn silent_machine(id: &MachineId) -> MachineHealth {
    MachineHealth {
        machine: id.clone(),
        fence: Revision(5),
        unresponsive_for: Millis(30_000),
        since_direct_heartbeat: Millis(30_000),
        token_confirmed: true,
        until_interruption: None,
        unstored_record: None,
        gangs: Vec::new(),
    }
}

/// Guards against deleting a machine again in every step while its record still exists. This happened to an
/// unresponsive machine while the key-value store was down, because its record could not be deleted.
#[test]
fn silent_machine_is_deleted_once_while_its_record_stays() {
    let config = sample_config();
    let id = MachineId::from("vm-0001");
    let cache = cache_with_machine(&config, &id);
    let mut scheduler = Scheduler::new(&config);
    let mut autoscaler = Autoscaler::new(&config);
    let mut deletions = 0;
    for step in 0..50 {
        let now = MonotonicTime(10_000 + step * 400);
        scheduler.on_health(now, vec![silent_machine(&id)], &cache);
        let mut out = Vec::new();
        autoscaler.step(now, Revision(1), &cache, &mut scheduler, &mut out);
        for effect in out {
            if let Effect::DeleteMachines(ids) = effect {
                deletions += 1;
                autoscaler.on_delete_outcome(now, &ids, true, &mut Vec::new());
            }
        }
    }
    assert_eq!(deletions, 1);
}
