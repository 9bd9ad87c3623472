use super::*;
use crate::config::tests::sample_config;
use crate::store::records::MemberRecord;
use crate::wire::state::{Change, Event};

fn put(replica: &mut Replica, at: u64, key: String, value: serde_json::Value) {
    let event = Event {
        put: Some(key),
        delete: None,
        value,
        revision: Revision(at),
    };
    replica.apply(Revision(at), vec![event]);
}

fn join(replica: &mut Replica, at: u64, member: &str, incarnation: u64) {
    let record = MemberRecord::new(Incarnation(incarnation), GrantId(100 + incarnation));
    let value = serde_json::to_value(&record).expect("json");
    put(replica, at, keys::member(&member.into()), value);
}

/// Applies a transaction as committed; returns the holders it names.
fn commit(replica: &mut Replica, at: u64, txn: &Txn) -> Vec<String> {
    let mut holders = Vec::new();
    for change in &txn.changes {
        if let Change::Put { key, value, .. } = change {
            holders.extend(value["holder"].as_str().map(str::to_owned));
            put(replica, at, key.clone(), value.clone());
        }
    }
    holders
}

#[test]
fn a_leader_deals_out_all_blocks_under_its_own_term_and_leads_only_then() {
    let mut replica = Replica::new(&sample_config());
    let mut leadership = Leadership::new(&sample_config(), Incarnation(1));
    assert!(
        leadership.drive(Time(0), &replica).is_none(),
        "no grant, no claim"
    );
    leadership.set_grant(Some(GrantId(101)), &replica);
    for (n, member) in ["c0", "c1", "c2"].into_iter().enumerate() {
        join(&mut replica, 2 + n as u64, member, 1 + n as u64);
    }
    let claim = leadership.drive(Time(0), &replica).expect("claim");
    assert_eq!(claim.conditions[0].revision, Revision(0));
    assert!(
        leadership.drive(Time(1), &replica).is_none(),
        "one at a time"
    );
    commit(&mut replica, 10, &claim);
    leadership.on_txn(Time(2), &TxnOutcome::Committed(Revision(10)));
    assert_eq!(leadership.term(&replica), Some(Revision(10)));
    assert_eq!(leadership.settled_term(&replica), None);
    let lease = leadership.drive(Time(3), &replica).expect("lease");
    assert!(
        lease
            .conditions
            .iter()
            .any(|c| c.key == keys::LEADER && c.revision == Revision(10))
    );
    let mut holders = commit(&mut replica, 11, &lease);
    holders.sort();
    assert_eq!(holders, ["c0", "c0", "c1", "c1", "c2", "c2"]);
    assert_eq!(leadership.settled_term(&replica), Some(Revision(10)));
    // The grant is lost and another one taken, and the mirror is still behind.
    leadership.set_grant(None, &replica);
    leadership.set_grant(Some(GrantId(150)), &replica);
    assert_eq!(leadership.settled_term(&replica), None);
}

#[test]
fn a_restarted_holder_loses_its_blocks_and_others_keep_theirs() {
    let mut replica = Replica::new(&sample_config());
    let mut leadership = Leadership::new(&sample_config(), Incarnation(1));
    leadership.set_grant(Some(GrantId(101)), &replica);
    join(&mut replica, 2, "c0", 1);
    join(&mut replica, 3, "c1", 2);
    for at in [10, 11] {
        let txn = leadership.drive(Time(at), &replica).expect("txn");
        commit(&mut replica, at, &txn);
        leadership.on_txn(Time(at), &TxnOutcome::Committed(Revision(at)));
    }
    assert!(
        leadership.drive(Time(12), &replica).is_none(),
        "nothing to change"
    );
    join(&mut replica, 12, "c1", 7);
    let txn = leadership.drive(Time(13), &replica).expect("txn");
    let rewritten = txn.changes.len();
    commit(&mut replica, 13, &txn);
    assert_eq!(rewritten, 3);
    let stale = replica
        .blocks
        .values()
        .any(|b| b.value.incarnation == Incarnation(2));
    assert!(!stale && leadership.settled_term(&replica).is_some());
}
