use super::*;
use crate::config::tests::sample_config;
use crate::ids::{Incarnation, LeaseId, Revision};
use crate::protocol::store::KeyValue;
use crate::store::keys;
use crate::store::records::{MemberRecord, ShardRecord};

fn config_and_cache_with_three_owners() -> (Config, WatchCache) {
    let config = sample_config();
    let mut cache = WatchCache::new(&config);
    let mut put = |key: String, value: serde_json::Value| {
        cache.load(KeyValue {
            key,
            value,
            revision: Revision(5),
            lease: None,
        });
    };
    for (n, member) in ["c0", "c1", "c2"].into_iter().enumerate() {
        let record = MemberRecord::new(Incarnation(n as u64), LeaseId(n as u64 + 1));
        let value = serde_json::to_value(&record).expect("json");
        put(keys::member(&member.into()), value);
    }
    for shard in 0..config.shard_count() {
        let record = ShardRecord {
            owner: format!("c{}", shard % 3).as_str().into(),
            incarnation: Incarnation(u64::from(shard % 3)),
            term: Revision(5),
        };
        let value = serde_json::to_value(&record).expect("json");
        put(keys::shard(ShardId(shard)), value);
    }
    (config, cache)
}

fn health(n: u32, silent: u64) -> MachineHealth {
    MachineHealth {
        machine: format!("vm-{n:03}").as_str().into(),
        fence: Revision(5),
        unresponsive_for: Millis(silent),
        since_direct_heartbeat: Millis(silent),
        token_confirmed: true,
        until_interruption: None,
        unstored_record: None,
        gangs: Vec::new(),
    }
}

/// An owner that gets only relayed heartbeats knows the state of its machines, but can't send them commands.
/// Guards against counting only machines without any heartbeat as silent, which lowered availability from
/// 0.83 to 0.73.
#[test]
fn owner_that_gets_only_relayed_heartbeats_is_quarantined() {
    let (config, cache) = config_and_cache_with_three_owners();
    let mut reachability = ReachabilityMonitor::new(&config);
    let all: Vec<MachineHealth> = (0..60)
        .map(|n| MachineHealth {
            since_direct_heartbeat: Millis(if n % 3 == 1 { 9000 } else { 100 }),
            ..health(n, 100)
        })
        .collect();
    let machines_of_c1 = (0..60).filter(|n| n % 3 == 1);
    let misdirected = machines_of_c1.map(|n| health(n, 0).machine).collect();
    reachability.on_misdirected_heartbeats(MonotonicTime(1000), misdirected);
    reachability.evaluate(
        MonotonicTime(1100),
        config.shard_count(),
        all.iter(),
        &cache,
    );
    let unreachable: Vec<MemberId> = reachability.quarantined().into_iter().collect();
    assert_eq!(unreachable, ["c1".into()]);
}

/// Machine `n` belongs to shard `n % 6`, which `c{n % 3}` owns.
#[test]
fn owner_is_quarantined_only_if_its_silent_machines_reach_other_controllers() {
    let (config, cache) = config_and_cache_with_three_owners();
    let mut reachability = ReachabilityMonitor::new(&config);
    let all: Vec<MachineHealth> = (0..60)
        .map(|n| health(n, if n % 3 == 1 { 9000 } else { 100 }))
        .collect();
    let evaluate = |reachability: &mut ReachabilityMonitor, now: u64| {
        reachability.evaluate(MonotonicTime(now), config.shard_count(), all.iter(), &cache);
        reachability.quarantined()
    };
    assert!(
        evaluate(&mut reachability, 1000).is_empty(),
        "a zone may be cut off"
    );
    let of = |m: u32| (0..60).filter(move |n| n % 3 == m);
    let named = |m: u32| of(m).map(|n| health(n, 0).machine).collect();
    reachability.on_misdirected_heartbeats(MonotonicTime(2000), named(2));
    assert!(
        evaluate(&mut reachability, 2100).is_empty(),
        "those machines are not silent to their owner"
    );
    reachability.on_misdirected_heartbeats(MonotonicTime(3000), named(1));
    let unreachable: Vec<MemberId> = evaluate(&mut reachability, 3100).into_iter().collect();
    assert_eq!(unreachable, ["c1".into()]);
    let later = 3100 + 2 * config.worker_lease.0;
    reachability.evaluate(
        MonotonicTime(later),
        config.shard_count(),
        [].iter(),
        &cache,
    );
    assert!(
        reachability.quarantined().is_empty(),
        "the quarantine must end"
    );
}
