use super::*;
use crate::config::tests::sample_config;
use crate::peers::MachineHealth;
use crate::protocol::store::Item;
use crate::store::keys;
use crate::store::records::{MachineRecord, ShardRecord};

#[test]
fn a_holder_that_alone_misses_many_machines_is_doubted_and_a_cut_off_zone_is_not() {
    let id = MachineId::from("vm-1");
    let quiet = |count, overdue, silent| OwnerSilence {
        count,
        overdue,
        silent: vec![&id; silent],
    };
    assert!(quiet(300, 90, 20).is_owner_suspect((600, 3)));
    assert!(
        quiet(300, 200, 160).is_owner_suspect((600, 400)),
        "most of them"
    );
    assert!(
        !quiet(300, 90, 20).is_owner_suspect((600, 170)),
        "of all alike"
    );
    assert!(!quiet(300, 20, 20).is_owner_suspect((600, 2)), "a few");
    assert!(!quiet(20, 3, 1).is_owner_suspect((40, 0)), "a small fleet");
}

/// Found in an incident: while the key-value store was down, a machine that had gone silent
/// was deleted at every turn, since its record could not be removed.
#[test]
fn a_silent_machine_is_deleted_once_however_long_its_record_stays() {
    let config = sample_config();
    let mut cache = WatchCache::new(&sample_config());
    let id = MachineId::from("vm-0001");
    let shard = id.shard(config.shards());
    let shard_record = ShardRecord {
        owner: "c0".into(),
        incarnation: crate::ids::Incarnation(1),
        term: Revision(1),
    };
    let machine = MachineRecord::new("1.1.1.1:1", &"t".into(), &"a".into(), false);
    let values = [
        (keys::shard(shard), serde_json::to_value(&shard_record)),
        (keys::machine(&id), serde_json::to_value(&machine)),
    ];
    for (key, value) in values {
        let value = value.expect("json");
        cache.load(Item {
            key,
            value,
            revision: Revision(5),
            lease: None,
        });
    }
    let mut scheduler = Scheduler::new(&config);
    let mut autoscaler = Autoscaler::new(&config);
    let mut deletions = 0;
    for turn in 0..50 {
        let now = MonotonicTime(10_000 + turn * 400);
        scheduler.on_health(
            now,
            vec![MachineHealth {
                machine: id.clone(),
                fence: Revision(5),
                silent: Millis(30_000),
                since_direct_heartbeat: Millis(30_000),
                confirmed: true,
                notice: None,
                unrecorded: None,
                gangs: Vec::new(),
            }],
            &cache,
        );
        let mut out = Vec::new();
        autoscaler.step(now, Revision(1), &cache, &mut scheduler, &mut out);
        for effect in out {
            if let Effect::Delete(ids) = effect {
                deletions += 1;
                autoscaler.on_deleted(now, &ids, true, &mut Vec::new());
            }
        }
    }
    assert_eq!(deletions, 1);
}
