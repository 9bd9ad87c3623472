use super::*;
use crate::config::tests::sample_config;
use crate::protocol::store::{Change, Event};
use crate::store::records::MemberRecord;

fn put(cache: &mut WatchCache, at: u64, key: String, value: serde_json::Value) {
    let event = Event {
        put: Some(key),
        delete: None,
        value,
        revision: Revision(at),
    };
    cache.apply(Revision(at), vec![event]);
}

fn add_member(cache: &mut WatchCache, at: u64, member: &str, incarnation: u64) {
    let record = MemberRecord::new(Incarnation(incarnation), LeaseId(100 + incarnation));
    let value = serde_json::to_value(&record).expect("json");
    put(cache, at, keys::member(&member.into()), value);
}

/// Applies a transaction to the watch cache as committed. Returns the shard owners that it writes.
fn apply_committed(cache: &mut WatchCache, at: u64, txn: &Txn) -> Vec<String> {
    let mut owners = Vec::new();
    for change in &txn.changes {
        if let Change::Put { key, value, .. } = change {
            owners.extend(value["holder"].as_str().map(str::to_owned));
            put(cache, at, key.clone(), value.clone());
        }
    }
    owners
}

#[test]
fn new_leader_assigns_every_shard_before_its_term_is_established() {
    let mut cache = WatchCache::new(&sample_config());
    let mut leadership = Leadership::new(&sample_config(), Incarnation(1));
    assert!(
        leadership.step(MonotonicTime(0), &cache).is_none(),
        "no claim without a lease"
    );
    leadership.set_lease(Some(LeaseId(101)), &cache);
    for (n, member) in ["c0", "c1", "c2"].into_iter().enumerate() {
        add_member(&mut cache, 2 + n as u64, member, 1 + n as u64);
    }
    let claim = leadership.step(MonotonicTime(0), &cache).expect("claim");
    assert_eq!(claim.conditions[0].revision, Revision(0));
    assert!(
        leadership.step(MonotonicTime(1), &cache).is_none(),
        "only one transaction is in flight"
    );
    apply_committed(&mut cache, 10, &claim);
    leadership.on_txn_outcome(MonotonicTime(2), &TxnOutcome::Committed(Revision(10)));
    assert_eq!(leadership.term(&cache), Some(Revision(10)));
    assert_eq!(leadership.established_term(&cache), None);
    let lease = leadership.step(MonotonicTime(3), &cache).expect("lease");
    assert!(
        lease
            .conditions
            .iter()
            .any(|c| c.key == keys::LEADER && c.revision == Revision(10))
    );
    let mut owners = apply_committed(&mut cache, 11, &lease);
    owners.sort();
    assert_eq!(owners, ["c0", "c0", "c1", "c1", "c2", "c2"]);
    assert_eq!(leadership.established_term(&cache), Some(Revision(10)));
    // The lease is lost and a new one acquired while the watch cache lags. Guards against a leader
    // that continues its old term: it deleted a third of the fleet, which seemed silent only to it.
    leadership.set_lease(None, &cache);
    leadership.set_lease(Some(LeaseId(150)), &cache);
    assert_eq!(leadership.established_term(&cache), None);
}

#[test]
fn restarted_owner_loses_its_shards_and_others_keep_theirs() {
    let mut cache = WatchCache::new(&sample_config());
    let mut leadership = Leadership::new(&sample_config(), Incarnation(1));
    leadership.set_lease(Some(LeaseId(101)), &cache);
    add_member(&mut cache, 2, "c0", 1);
    add_member(&mut cache, 3, "c1", 2);
    for at in [10, 11] {
        let txn = leadership.step(MonotonicTime(at), &cache).expect("txn");
        apply_committed(&mut cache, at, &txn);
        leadership.on_txn_outcome(MonotonicTime(at), &TxnOutcome::Committed(Revision(at)));
    }
    assert!(
        leadership.step(MonotonicTime(12), &cache).is_none(),
        "nothing to change"
    );
    add_member(&mut cache, 12, "c1", 7);
    let txn = leadership.step(MonotonicTime(13), &cache).expect("txn");
    let rewritten = txn.changes.len();
    apply_committed(&mut cache, 13, &txn);
    assert_eq!(rewritten, 3);
    let stale = cache
        .shards
        .values()
        .any(|b| b.value.incarnation == Incarnation(2));
    assert!(!stale && leadership.established_term(&cache).is_some());
}
