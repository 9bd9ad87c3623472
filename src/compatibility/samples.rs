//! One sample of each message between controllers and of each stored record except the member
//! record.

use crate::admin::Settings;
use crate::ids::{
    AttemptNumber, CancellationRoundId, ForwardedRequestId, Incarnation, JobId, LeaseId, MachineId,
    MemberId, Millis, Revision, ShardFence, ShardId, TaskAttempt, TaskId, UnixTime,
};
use crate::peers::{Allotment, AttemptOutcome, EndedAttempt, FreedAttempt, MachineHealth, Message};
use crate::protocol::{Catalog, ExitReason, JobState};
use crate::store::records::{
    Bitmap, FinalRecord, HistoryRecord, JobRecord, LeaderRecord, MachineRecord, PlanBatch,
    PlanRecord, ShardRecord,
};
use serde::Serialize;
use serde_json::{Value, json};

/// The id of the job that all samples refer to.
pub(super) const JOB: &str = "job-000412";

fn attempt(index: u32) -> TaskAttempt {
    TaskAttempt {
        task: TaskId {
            job: JOB.into(),
            index,
        },
        number: AttemptNumber((77 << 20) + u64::from(index)),
    }
}

fn member() -> MemberId {
    "mooring-1".into()
}

fn machine() -> MachineId {
    "vm-000231".into()
}

/// Returns the record of a machine with two running and two completed tasks of one job.
pub(super) fn machine_record() -> MachineRecord {
    let mut record = MachineRecord::new("10.1.0.232:9000", &"t8".into(), &"a".into(), true);
    let spec = crate::protocol::tests::spec(JOB);
    record.add(&attempt(2), &spec);
    record.add(&attempt(3), &spec);
    record.add_done(&JOB.into(), 0, 1);
    record
}

fn ended_attempt(outcome: AttemptOutcome) -> Message {
    Message::EndedAttempt(EndedAttempt {
        attempt: attempt(2),
        machine: machine(),
        revision: Revision(431),
        type_name: "t8".into(),
        pipeline: Some("batch".into()),
        outcome,
        estimate_s: 30.0,
        run_time: Some(Millis(28_500)),
    })
}

fn freed_attempt() -> FreedAttempt {
    FreedAttempt {
        machine: machine(),
        attempt: attempt(2),
        done: true,
    }
}

fn health_message() -> Message {
    Message::Health(vec![MachineHealth {
        machine: machine(),
        fence: Revision(41),
        unresponsive_for: Millis(1200),
        since_direct_heartbeat: Millis(3000),
        token_confirmed: true,
        until_interruption: Some(Millis(8000)),
        unstored_record: Some(machine_record()),
        gangs: vec![(JOB.into(), AttemptNumber(9))],
    }])
}

/// Returns the name and the sample of each message, in the order of the golden file.
pub(super) fn messages() -> Vec<(&'static str, Message)> {
    let mut samples = allotment_messages();
    samples.extend(attempt_messages());
    samples.extend(cancellation_messages());
    samples.extend(forwarding_messages());
    samples.extend(reachability_messages());
    samples
}

fn allotment_messages() -> Vec<(&'static str, Message)> {
    let hello = Message::Hello {
        member: member(),
        incarnation: Incarnation(u64::MAX >> 1),
    };
    let allot = Message::Allot(Allotment {
        shard: ShardId(4),
        fence: Revision(41),
        job_revision: Revision(400),
        attempts: vec![attempt(0), attempt(1)],
        candidate_machines: vec![machine()],
    });
    let refused = Message::Refused {
        fence: Revision(41),
        attempts: vec![attempt(0)],
    };
    vec![("Hello", hello), ("Allot", allot), ("Refused", refused)]
}

fn attempt_messages() -> Vec<(&'static str, Message)> {
    let no_capacity = AttemptOutcome::Exited(ExitReason::NoCapacity);
    let stop = Message::Stop {
        machine: machine(),
        attempt: attempt(2),
        grace: Millis(4000),
    };
    vec![
        ("EndedDone", ended_attempt(AttemptOutcome::Done)),
        ("EndedExited", ended_attempt(no_capacity)),
        ("EndedAbsent", ended_attempt(AttemptOutcome::Absent)),
        ("Freed", Message::Freed(vec![freed_attempt()])),
        ("Stop", stop),
    ]
}

fn cancellation_messages() -> Vec<(&'static str, Message)> {
    let cancelled = Message::Cancelled {
        round: CancellationRoundId(3),
        job: JobId::from(JOB),
        revision: Revision(500),
        age: Millis(20),
    };
    let acknowledged = Message::CancellationAcknowledged {
        round: CancellationRoundId(3),
        job: JobId::from(JOB),
        cleared_shards: vec![ShardFence {
            shard: ShardId(4),
            fence: Revision(41),
        }],
    };
    vec![("Cancelled", cancelled), ("CancelledKnown", acknowledged)]
}

fn forwarding_messages() -> Vec<(&'static str, Message)> {
    let request = Message::ForwardedRequest {
        id: ForwardedRequestId(8),
        is_post: true,
        path: "/work".into(),
        body: b"{}".to_vec(),
    };
    let response = Message::ForwardedResponse {
        id: ForwardedRequestId(8),
        status: 201,
        body: b"{}".to_vec(),
    };
    vec![("Ask", request), ("Reply", response)]
}

fn reachability_messages() -> Vec<(&'static str, Message)> {
    let status = Message::PeerStatus {
        store_reachable: true,
        reachable_peers: vec![member()],
        machines_without_direct_heartbeats: vec![machine()],
    };
    let misdirected = Message::MisdirectedHeartbeats(vec![machine()]);
    let relay = Message::Relay {
        to: member(),
        from: "mooring-2".into(),
        message: Box::new(misdirected.clone()),
    };
    vec![
        ("Word", status),
        ("Relay", relay),
        ("Strays", misdirected),
        ("Health", health_message()),
    ]
}

fn json_of(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("json")
}

fn catalog() -> Catalog {
    serde_json::from_value(json!({"hulls": [
        {"name": "t8", "cores": 8.0, "cards": 0.0, "memory_gb": 64.0, "cache_gb": 50.0,
         "fetch_gb_per_s": 1.0, "price": 1.0, "low_price": 0.4, "startup_s": 4.0,
         "berths": ["a", "b"]}]}))
    .expect("catalog")
}

fn history() -> HistoryRecord {
    let mut history = HistoryRecord::default();
    history.run_time_ratios.insert("t8".into(), vec![0.5, 1.25]);
    history
}

fn plans() -> PlanBatch {
    let plan = PlanRecord {
        type_name: Some("t8".into()),
        machines: vec![machine()],
        predicted_s: 28.5,
        placement_group_job: None,
    };
    PlanBatch::from([(JOB.into(), plan)])
}

fn bitmap_segment() -> Bitmap {
    let mut bits = Bitmap::default();
    for bit in [0, 1, 70] {
        bits.set(bit);
    }
    bits
}

/// Returns the name and the JSON of each record, in the order of the golden file. The member
/// record is left out because it contains the version of the program and so differs by version.
pub(super) fn records() -> Vec<(&'static str, Value)> {
    let leader = LeaderRecord {
        member: "mooring-1".into(),
        incarnation: Incarnation(12),
    };
    let shard = ShardRecord {
        owner: "mooring-1".into(),
        incarnation: Incarnation(12),
        term: Revision(40),
    };
    let job = JobRecord::new(
        crate::protocol::tests::spec(JOB),
        UnixTime(1_700_000_000_000),
    );
    let final_record = |state| FinalRecord { state, tasks: 4 };
    vec![
        ("leader", json_of(&leader)),
        ("block", json_of(&shard)),
        ("job", json_of(&job)),
        ("segment", json_of(&bitmap_segment())),
        ("over-done", json_of(&final_record(JobState::Done))),
        (
            "over-cancelled",
            json_of(&final_record(JobState::Cancelled)),
        ),
        ("machine", json_of(&machine_record())),
        ("plans", json_of(&plans())),
        ("history", json_of(&history())),
        ("catalog", json_of(&catalog())),
        ("settings", json_of(&Settings::default())),
        ("grant", json_of(&LeaseId(7))),
    ]
}
