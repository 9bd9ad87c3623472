//! Outcomes of direct calls and record writes that arrive after their machine was tracked anew, and a
//! watch cache that is loaded again while a launch is in flight.
//!
//! A shard owner whose lease expires loses its shards and may get them back within a second, in the
//! same process. The calls and writes of its earlier trackers are still in flight then.

use super::{cache_of_owner, owner_under_leader, sent_calls};
use crate::config::tests::sample_config;
use crate::controller::{Controller, Effect, TxnRequester};
use crate::ids::{
    AttemptNumber, CancellationRoundId, FencingToken, HeartbeatSequence, Incarnation, JobId,
    MachineId, MemberId, Millis, MonotonicTime, Revision, ShardId, TaskAttempt, TaskId, UnixTime,
    WorkerEpoch,
};
use crate::peers::{Allotment, Message};
use crate::protocol::store::{Event, KeyValue};
use crate::protocol::{Command, Heartbeat, TaskState, TaskStatus};
use crate::store::records::{JobRecord, MachineRecord, ShardRecord};
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};
use crate::worker_control::{DirectCall, DirectCallOutcome, HeartbeatAnswer};
use serde::Serialize;

/// The shard's fence before and after this controller loses and regains the shard.
const FIRST_FENCE: Revision = Revision(5);
const SECOND_FENCE: Revision = Revision(12);
const JOB: &str = "job-000001";
const JOB_REVISION: Revision = Revision(4);
/// Longer than a placement may stay unwritten.
const LONG_WAIT_MS: u64 = 6000;
const TICK_MS: u64 = 100;

fn machine() -> MachineId {
    "vm-1".into()
}

fn shard() -> ShardId {
    machine().shard(sample_config().shard_count())
}

fn leader() -> MemberId {
    "c1".into()
}

fn attempt(number: u64) -> TaskAttempt {
    let job = JobId::from(JOB);
    TaskAttempt {
        task: TaskId { job, index: 0 },
        number: AttemptNumber(number),
    }
}

fn put(key: String, record: &impl Serialize, revision: Revision) -> Event {
    Event {
        put: Some(key),
        delete: None,
        value: serde_json::to_value(record).expect("json"),
        revision,
    }
}

/// Returns a watch cache with the shards, the machine types and a job that may run, but without
/// machines.
fn cache_without_machines() -> WatchCache {
    let spec = crate::protocol::tests::spec(JOB);
    cache_with_job(&JobRecord::new(spec, UnixTime(1)))
}

/// Returns a watch cache in which the job waits for another one.
fn cache_with_blocked_job() -> WatchCache {
    let mut spec = crate::protocol::tests::spec(JOB);
    spec.dependencies = vec!["job-000009".into()];
    cache_with_job(&JobRecord::new(spec, UnixTime(1)))
}

fn cache_with_job(job: &JobRecord) -> WatchCache {
    let mut cache = cache_of_owner(&sample_config(), &leader());
    let mut load = |key: String, value: serde_json::Value, revision| {
        cache.load(KeyValue {
            key,
            value,
            revision,
            lease: None,
        });
    };
    let catalog = serde_json::json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 32, "cache_gb": 50,
         "fetch_gb_per_s": 1.0, "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]});
    load(keys::CATALOG.to_owned(), catalog, Revision(3));
    load(
        keys::job(&JobId::from(JOB)),
        serde_json::json!(job),
        JOB_REVISION,
    );
    cache
}

/// A shard owner that does not lead, with the effects of its inputs.
struct Owner {
    controller: Controller,
    now: MonotonicTime,
    sequence: u64,
    effects: Vec<Effect>,
}

impl Owner {
    fn new() -> Self {
        Self::with_cache(cache_without_machines())
    }

    fn with_cache(cache: WatchCache) -> Self {
        let mut owner = Self {
            controller: owner_under_leader(&leader()),
            now: MonotonicTime(1000),
            sequence: 0,
            effects: Vec::new(),
        };
        owner.input(|c, now| c.on_snapshot(now, cache));
        owner
    }

    /// Returns a shard owner of a machine with an empty record at revision 6.
    fn with_machine() -> Self {
        let mut owner = Self::new();
        owner.add_machine();
        owner
    }

    /// Adds the machine with an empty record at revision 6.
    fn add_machine(&mut self) {
        let record = MachineRecord::new("1.1.1.1:1", &"t8".into(), &"a".into(), false);
        self.events(vec![put(keys::machine(&machine()), &record, Revision(6))]);
    }

    fn input(&mut self, input: impl FnOnce(&mut Controller, MonotonicTime) -> Vec<Effect>) {
        self.now.0 += 1;
        let effects = input(&mut self.controller, self.now);
        self.effects.extend(effects);
    }

    fn events(&mut self, events: Vec<Event>) {
        let revision = events.last().map_or(Revision(0), |event| event.revision);
        self.input(|c, now| c.on_events(now, revision, events).0);
    }

    /// Another controller owns the shard for a moment: its record is deleted and written again.
    fn lose_and_regain_shard(&mut self) {
        let record = ShardRecord {
            owner: sample_config().member,
            incarnation: Incarnation(1),
            term: FIRST_FENCE,
        };
        let deletion = Event {
            put: None,
            delete: Some(keys::shard(shard())),
            value: serde_json::Value::Null,
            revision: Revision(SECOND_FENCE.0 - 1),
        };
        self.events(vec![deletion]);
        self.events(vec![put(keys::shard(shard()), &record, SECOND_FENCE)]);
    }

    /// Returns the worker's next status. It lists no task.
    fn status(&mut self, fence: Revision) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: machine(),
            addr: "1.1.1.1:1".into(),
            type_name: "t8".into(),
            zone: "a".into(),
            spot: false,
            epoch: WorkerEpoch(1),
            sequence: HeartbeatSequence(self.sequence),
            token: FencingToken::of(fence, 0),
            until_interruption_s: None,
            tasks: Vec::new(),
        }
    }

    fn heartbeat(&mut self, fence: Revision) {
        let heartbeat = self.status(fence);
        self.input(|c, now| c.on_heartbeat(now, &heartbeat).1);
    }

    fn tick_for(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now.0 += TICK_MS;
            self.input(|c, now| c.tick(now, UnixTime(now.0)));
        }
    }

    fn allot(&mut self, number: u64, fence: Revision) {
        self.allot_at(JOB_REVISION, number, fence);
    }

    fn allot_at(&mut self, job_revision: Revision, number: u64, fence: Revision) {
        let allotment = Allotment {
            shard: shard(),
            fence,
            job_revision,
            attempts: vec![attempt(number)],
            candidate_machines: vec![machine()],
        };
        self.input(|c, now| c.on_peer_message(now, &leader(), Message::Allot(allotment)));
    }

    fn finish_call(&mut self, call: &DirectCall, outcome: DirectCallOutcome) {
        self.input(|c, now| c.on_direct_call_outcome(now, &call.sent, outcome));
    }

    fn finish_write(&mut self, requester: &TxnRequester, outcome: &TxnOutcome) {
        self.input(|c, now| c.on_txn_outcome(now, requester, outcome));
    }

    /// Removes and returns the direct calls that were sent since the last time.
    fn take_calls(&mut self) -> Vec<DirectCall> {
        let calls = sent_calls(&self.effects);
        self.effects.retain(|e| !matches!(e, Effect::CallWorker(_)));
        calls
    }

    /// Removes and returns the requesters of the record writes that were sent since the last time.
    fn take_writes(&mut self) -> Vec<TxnRequester> {
        let writes = std::mem::take(&mut self.effects);
        let writes = writes.into_iter().filter_map(|effect| match effect {
            Effect::Txn { requester, .. } => Some(requester),
            _ => None,
        });
        writes
            .filter(|requester| matches!(requester, TxnRequester::ShardOwner(_)))
            .collect()
    }

    /// Returns whether the leader was told that some attempt has ended or was not placed.
    fn has_reported_attempts(&self) -> bool {
        self.effects.iter().any(|effect| {
            let Effect::SendToPeer(_, message) = effect else {
                return false;
            };
            matches!(
                message,
                Message::EndedAttempt(_) | Message::Freed(_) | Message::Refused { .. }
            )
        })
    }

    /// Cancels the job. Returns the shards in which the owner acknowledges that its tasks are gone.
    fn cancel_job(&mut self) -> Vec<ShardId> {
        let cancelled = Message::Cancelled {
            round: CancellationRoundId(1),
            job: JobId::from(JOB),
            revision: Revision(30),
            age: Millis(0),
        };
        self.input(|c, now| c.on_peer_message(now, &leader(), cancelled));
        let cleared = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::SendToPeer(_, Message::CancellationAcknowledged { cleared_shards, .. }) => {
                Some(cleared_shards)
            }
            _ => None,
        });
        let cleared = cleared.expect("acknowledgement").iter();
        cleared.map(|shard_fence| shard_fence.shard).collect()
    }
}

fn launches(calls: &[DirectCall]) -> usize {
    let commands = calls.iter().flat_map(|call| &call.commands);
    commands
        .filter(|command| matches!(command, Command::Launch(_)))
        .count()
}

/// Guards against a cancelled task that starts after its cancellation was confirmed, or a task that is
/// moved while it can still start: the answer to an earlier call was taken for the answer to the call
/// that carries the launch.
#[test]
fn outcome_of_an_earlier_call_does_not_settle_a_launch() {
    let mut owner = Owner::with_machine();
    owner.heartbeat(Revision(0));
    let first_call = owner.take_calls().pop().expect("a probe");
    owner.lose_and_regain_shard();
    owner.heartbeat(FIRST_FENCE);
    let second_call = owner
        .take_calls()
        .pop()
        .expect("a probe under the new token");
    owner.heartbeat(SECOND_FENCE);
    owner.allot(1, SECOND_FENCE);
    let write = owner.take_writes().pop().expect("a write");
    owner.finish_write(&write, &TxnOutcome::Committed(Revision(14)));
    owner.finish_call(&first_call, DirectCallOutcome::Unknown);
    owner.tick_for(1000);
    let launched = launches(&owner.take_calls()) > 0;
    owner.cancel_job();
    let status = owner.status(SECOND_FENCE);
    owner.finish_call(&second_call, DirectCallOutcome::Done(status));
    let cleared = owner.cancel_job().contains(&shard());
    assert!(
        !(launched && cleared),
        "a launch without outcome is settled"
    );
}

/// Guards against the same if the address of a deleted machine is given to a new one, which answers.
#[test]
fn answer_of_another_machine_does_not_settle_a_launch() {
    let mut owner = Owner::with_machine();
    owner.heartbeat(Revision(0));
    let probe = owner.take_calls().pop().expect("a probe");
    let status = owner.status(FIRST_FENCE);
    owner.finish_call(&probe, DirectCallOutcome::Done(status));
    owner.allot(1, FIRST_FENCE);
    let write = owner.take_writes().pop().expect("a write");
    owner.finish_write(&write, &TxnOutcome::Committed(Revision(14)));
    owner.tick_for(1000);
    let call = owner.take_calls().pop().expect("a launch");
    assert_eq!(launches(std::slice::from_ref(&call)), 1);
    assert!(!owner.cancel_job().contains(&shard()));
    let mut status = owner.status(FIRST_FENCE);
    status.machine = "vm-7".into();
    owner.finish_call(&call, DirectCallOutcome::Done(status));
    assert!(!owner.cancel_job().contains(&shard()));
}

/// Guards against reports about placements whose write is still in flight: the outcome of an earlier
/// write of the machine's record was taken for the outcome of this one.
#[test]
fn outcome_of_an_earlier_write_does_not_settle_the_one_in_flight() {
    let late_outcomes = [
        TxnOutcome::Committed(Revision(8)),
        TxnOutcome::Failed(Vec::new(), Revision(13)),
        TxnOutcome::Unknown,
    ];
    for late_outcome in late_outcomes {
        let mut owner = Owner::with_machine();
        owner.heartbeat(FIRST_FENCE);
        owner.allot(1, FIRST_FENCE);
        let first_write = owner.take_writes().pop().expect("a write");
        let mut record = MachineRecord::new("1.1.1.1:1", &"t8".into(), &"a".into(), false);
        record.add(&attempt(1), &crate::protocol::tests::spec(JOB));
        owner.events(vec![put(keys::machine(&machine()), &record, Revision(8))]);
        owner.lose_and_regain_shard();
        owner.heartbeat(SECOND_FENCE);
        owner.allot(2, SECOND_FENCE);
        owner.tick_for(1000);
        let second_write = owner.take_writes();
        assert_eq!(second_write.len(), 1, "{late_outcome:?}");
        owner.finish_write(&first_write, &late_outcome);
        assert!(!owner.has_reported_attempts(), "{late_outcome:?}");
        owner.tick_for(LONG_WAIT_MS);
        assert!(!owner.has_reported_attempts(), "{late_outcome:?}");
        assert_eq!(owner.take_writes(), [], "{late_outcome:?}");
    }
}

/// Guards against a task that runs on two machines: its direct launch has no answer when the watch
/// cache is loaded again from pages that were read before the machine's first record was written. The
/// machine was then tracked anew under the same token, and the launch was forgotten.
#[test]
fn launch_in_flight_is_remembered_when_the_watch_cache_is_loaded_again() {
    let mut owner = Owner::new();
    owner.heartbeat(Revision(0));
    for _ in ["machine without a record", "machine that is tracked"] {
        let probe = owner.take_calls().pop().expect("a probe");
        let status = owner.status(FIRST_FENCE);
        owner.finish_call(&probe, DirectCallOutcome::Done(status));
        owner.tick_for(1000);
    }
    owner.allot(1, FIRST_FENCE);
    let write = owner.take_writes().pop().expect("the first record");
    owner.finish_write(&write, &TxnOutcome::Committed(Revision(14)));
    owner.tick_for(1000);
    let call = owner.take_calls().pop().expect("a launch");
    assert_eq!(launches(std::slice::from_ref(&call)), 1);
    owner.input(|c, now| c.on_snapshot(now, cache_without_machines()));
    owner.tick_for(200);
    owner.finish_call(&call, DirectCallOutcome::Unknown);
    owner.heartbeat(FIRST_FENCE);
    let mut record = MachineRecord::new("1.1.1.1:1", &"t8".into(), &"a".into(), false);
    record.add(&attempt(1), &crate::protocol::tests::spec(JOB));
    owner.events(vec![put(keys::machine(&machine()), &record, Revision(14))]);
    owner.heartbeat(FIRST_FENCE);
    owner.tick_for(1000);
    assert!(!owner.has_reported_attempts());
    assert_eq!(owner.take_writes(), [], "the placement is removed");
}

/// Guards against running tasks that are stopped: their job's release had just been committed by this
/// controller, and the watch cache that was loaded again showed the job as blocked.
#[test]
fn tasks_of_a_released_job_run_on_when_the_watch_cache_is_loaded_again() {
    let release = Revision(8);
    let mut owner = Owner::with_cache(cache_with_blocked_job());
    owner.add_machine();
    let requester = TxnRequester::DependentRelease(JobId::from(JOB));
    owner.finish_write(&requester, &TxnOutcome::Committed(release));
    owner.heartbeat(FIRST_FENCE);
    owner.allot_at(release, 1, FIRST_FENCE);
    let write = owner.take_writes().pop().expect("a write");
    owner.finish_write(&write, &TxnOutcome::Committed(Revision(14)));
    owner.input(|c, now| c.on_snapshot(now, cache_with_blocked_job()));
    let mut status = owner.status(FIRST_FENCE);
    status.tasks.push(TaskStatus {
        task: attempt(1).task.to_string(),
        attempt_number: attempt(1).number,
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    });
    let mut answer = None;
    owner.input(|c, now| {
        let (heartbeat_answer, effects) = c.on_heartbeat(now, &status);
        answer = Some(heartbeat_answer);
        effects
    });
    let answer = answer.expect("answer");
    assert!(
        matches!(&answer, HeartbeatAnswer::Commands(_, c) if c.is_empty()),
        "{answer:?}"
    );
    owner.tick_for(1000);
    let stops = owner
        .take_calls()
        .into_iter()
        .flat_map(|call| call.commands);
    assert_eq!(stops.collect::<Vec<_>>(), []);
}
