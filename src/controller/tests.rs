mod late_outcomes;

use super::*;
use crate::config::tests::sample_config;
use crate::ids::{
    AttemptNumber, CancellationRoundId, FencingToken, HeartbeatSequence, MemberId, ShardId,
    TaskAttempt, TaskId, WorkerEpoch,
};
use crate::peers::Message;
use crate::protocol::store::KeyValue;
use crate::store::records::{LeaderRecord, MachineRecord, MemberRecord, ShardRecord};
use crate::worker_control::DirectCall;

/// Returns a controller that is the leader and owns every shard. Its watch cache gets no events.
fn single_controller() -> Controller {
    owner_under_leader(&sample_config().member)
}

/// Returns a controller that owns every shard. Its watch cache shows the given leader and gets no events.
fn owner_under_leader(leader: &MemberId) -> Controller {
    let config = sample_config();
    let mut controller = Controller::new(&config, Incarnation(1));
    controller.on_snapshot(MonotonicTime(1), cache_of_owner(&config, leader));
    controller
}

/// Returns a watch cache at revision 5 in which the configured controller owns every shard.
fn cache_of_owner(config: &Config, leader: &MemberId) -> WatchCache {
    let (me, incarnation) = (config.member.clone(), Incarnation(1));
    let mut cache = WatchCache::new(config);
    let mut put = |key: String, value: &dyn erased::Json| {
        cache.load(KeyValue {
            key,
            value: value.json(),
            revision: Revision(5),
            lease: None,
        });
    };
    let lease = LeaseId(3);
    put(keys::member(&me), &MemberRecord::new(incarnation, lease));
    let leader = LeaderRecord {
        member: leader.clone(),
        incarnation,
    };
    put(keys::LEADER.to_owned(), &leader);
    for shard in 0..config.shard_count() {
        let record = ShardRecord {
            owner: me.clone(),
            incarnation,
            term: Revision(5),
        };
        put(keys::shard(ShardId(shard)), &record);
    }
    cache.revision = Revision(5);
    cache
}

mod erased {
    pub(super) trait Json {
        fn json(&self) -> serde_json::Value;
    }
    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> serde_json::Value {
            serde_json::to_value(self).expect("json")
        }
    }
}

fn heartbeat(token: u64) -> Heartbeat {
    Heartbeat {
        machine: "vm-1".into(),
        addr: "1.1.1.1:1".into(),
        type_name: "t".into(),
        zone: "a".into(),
        spot: false,
        epoch: WorkerEpoch(1),
        sequence: HeartbeatSequence(1),
        token: FencingToken::of(Revision(token), 0),
        until_interruption_s: None,
        tasks: Vec::new(),
    }
}

/// Returns the direct calls among the effects.
fn sent_calls(effects: &[Effect]) -> Vec<DirectCall> {
    let calls = effects.iter().filter_map(|effect| match effect {
        Effect::CallWorker(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// Guards against a new machine that is never used: it answered its first direct call, but no store event
/// followed that would have led to its tracking.
#[test]
fn machine_is_tracked_after_its_direct_call_without_a_store_event() {
    let mut controller = single_controller();
    let (_, effects) = controller.on_heartbeat(MonotonicTime(1000), &heartbeat(0));
    let probe = sent_calls(&effects).pop().expect("probe");
    assert_eq!(controller.shard_owner.tracked_count(), 0);
    let done = DirectCallOutcome::Done(heartbeat(5));
    controller.on_direct_call_outcome(MonotonicTime(1010), &probe.sent, done);
    controller.tick(MonotonicTime(1500), crate::ids::UnixTime(1500));
    assert_eq!(controller.shard_owner.tracked_count(), 1);
}

/// Guards against a replaced leader that continues to make cloud calls. When only the leader could not
/// reach the key-value store, it continued to rent machines, and drained machines on which its successor
/// had placed replicas.
#[test]
fn leader_without_a_valid_lease_makes_no_cloud_calls() {
    let mut controller = single_controller();
    let calls = |effects: Vec<Effect>| effects.iter().any(|e| matches!(e, Effect::ListMachines));
    controller.set_lease_deadline(MonotonicTime(2000));
    assert!(calls(
        controller.tick(MonotonicTime(1000), crate::ids::UnixTime(1000))
    ));
    let mut expired = single_controller();
    expired.set_lease_deadline(MonotonicTime(2000));
    assert!(!calls(
        expired.tick(MonotonicTime(3000), crate::ids::UnixTime(3000))
    ));
}

/// Cancels a job with a task on a machine owned by a controller that can't reach the key-value store from
/// then on. Returns how many deletions the controller requests within the cancellation timeout.
/// `newer_token` is the fencing token of a later heartbeat, if one arrives.
fn count_deletions_without_lease(newer_token: Option<u64>) -> usize {
    let mut controller = single_controller();
    let spec = crate::protocol::tests::spec("job-000001");
    let task = TaskId {
        job: spec.id.clone(),
        index: 0,
    };
    let attempt = TaskAttempt {
        task,
        number: AttemptNumber(1),
    };
    let mut record = MachineRecord::new("1.1.1.1:1", &"t".into(), &"a".into(), false);
    record.add(&attempt, &spec);
    let event = Event {
        put: Some(keys::machine(&"vm-1".into())),
        delete: None,
        value: serde_json::to_value(&record).expect("json"),
        revision: Revision(6),
    };
    controller.on_events(MonotonicTime(1000), Revision(6), vec![event]);
    let cancelled = Message::Cancelled {
        round: CancellationRoundId(1),
        job: spec.id,
        revision: Revision(7),
        age: Millis(0),
    };
    controller.on_peer_message(MonotonicTime(1200), &"c1".into(), cancelled);
    if let Some(token) = newer_token {
        controller.on_heartbeat(MonotonicTime(2000), &heartbeat(token));
    }
    let cancel = sample_config().cancellation_timeout.0;
    let mut deleted = 0;
    for second in 3..cancel / 1000 {
        let now = 1000 * second;
        let effects = controller.tick(MonotonicTime(now), crate::ids::UnixTime(now));
        deleted += effects
            .iter()
            .filter(|e| matches!(e, Effect::DeleteMachines(_)))
            .count();
    }
    deleted
}

/// A shard owner that can't reach the key-value store deletes unresponsive machines on which tasks of a
/// cancelled job did not stop, but no machines that another owner has taken over. Such machines only seem
/// unresponsive to the old owner. Guards against deleting them, which ended healthy replicas (9 machines
/// within 20 s).
#[test]
fn owner_without_a_lease_deletes_only_machines_that_no_other_owner_has_taken_over() {
    assert!(count_deletions_without_lease(None) > 0);
    assert_eq!(count_deletions_without_lease(Some(9)), 0);
}
