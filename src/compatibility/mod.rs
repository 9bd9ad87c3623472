//! Tests of compatibility with the version in production. The golden files contain every peer
//! frame and every stored record as that version writes them. They lack the member record, because
//! it contains the version of the program.
//!
//! During a rolling upgrade both versions run at the same time and read each other's data. A
//! controller closes the link when it receives a frame that it can't decode, and ignores records
//! that it can't read. The encoding of existing frames and records therefore must not change.

mod old_records;
mod samples;

use crate::ids::{Incarnation, LeaseId, UnixTime};
use crate::peers::encode_frame;
use crate::store::records::{JobRecord, MemberRecord, PlanRecord, ProgramVersion};
use samples::{JOB, machine_record, messages, records};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// One line for each message: the name of the sample and its frame in hexadecimal digits.
const GOLDEN_FRAMES: &str = include_str!("golden/frames.txt");
/// One line for each record: the name of the sample and its JSON.
const GOLDEN_RECORDS: &str = include_str!("golden/records.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Formats the samples in the same way as the golden files, with one line for each sample.
fn golden_lines<T>(samples: Vec<(&str, T)>, encode: impl Fn(&T) -> String) -> String {
    let line = |(name, sample): &(&str, T)| format!("{name} {}\n", encode(sample));
    samples.iter().map(line).collect()
}

#[test]
fn peer_frames_match_the_golden_bytes() {
    let encoded = golden_lines(messages(), |m| to_hex(&encode_frame(m).expect("frame")));
    assert_eq!(encoded, GOLDEN_FRAMES);
}

#[test]
fn stored_records_match_the_golden_json() {
    assert_eq!(golden_lines(records(), ToString::to_string), GOLDEN_RECORDS);
}

/// Returns the golden sample of the record with this name.
fn golden_record(name: &str) -> Value {
    let mut lines = GOLDEN_RECORDS
        .lines()
        .filter_map(|line| line.split_once(' '));
    let record = lines.find(|(n, _)| *n == name).expect("a sample").1;
    serde_json::from_str(record).expect("json")
}

fn read_by_earlier_version<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("readable for the version in production")
}

/// Records written by the version in production lack the fields that were added later. They must
/// still be readable.
#[test]
fn records_of_the_earlier_version_are_readable() {
    let job: JobRecord = serde_json::from_value(golden_record("job")).expect("job");
    assert!(!job.is_blocked() && job.spec.dependencies.is_empty());
    assert_eq!(job.spec.id.as_str(), JOB);
    let stored_member = json!({"incarnation": 12, "grant": 7});
    let member: MemberRecord = serde_json::from_value(stored_member).expect("member");
    assert!(member.version < ProgramVersion::DEPENDENCIES);
    let machine = serde_json::from_value(golden_record("machine")).expect("machine");
    assert_eq!(machine_record(), machine);
    let plans: crate::store::records::PlanBatch =
        serde_json::from_value(golden_record("plans")).expect("plans");
    assert_eq!(
        plans[&crate::ids::JobId::from(JOB)].placement_group_job,
        None
    );
}

/// Records written by this version, including fields that were added since, must be readable by
/// the record types of the version in production.
#[test]
fn earlier_version_reads_records_of_this_version() {
    let member = MemberRecord::new(Incarnation(12), LeaseId(7));
    let read: old_records::Member = read_by_earlier_version(json!(member));
    assert_eq!((read.incarnation, read.grant), (12, 7));
    let mut spec = crate::protocol::tests::spec(JOB);
    let expected_job: old_records::Job = read_by_earlier_version(golden_record("job"));
    spec.dependencies = vec!["job-000001".into()];
    let mut record = JobRecord::new(spec, UnixTime(expected_job.accepted));
    record.released_at = Some(UnixTime(1_700_000_000_500));
    assert_eq!(
        read_by_earlier_version::<old_records::Job>(json!(record)),
        expected_job
    );
    let plan = PlanRecord {
        type_name: Some("t8".into()),
        machines: vec!["vm-000231".into()],
        predicted_s: 28.5,
        placement_group_job: Some("job-000001".into()),
    };
    let read: old_records::PlanBatch = read_by_earlier_version(json!({ JOB: plan }));
    assert_eq!(
        read,
        read_by_earlier_version::<old_records::PlanBatch>(golden_record("plans"))
    );
    let read: old_records::Machine = read_by_earlier_version(json!(machine_record()));
    assert_eq!(
        read,
        read_by_earlier_version::<old_records::Machine>(golden_record("machine"))
    );
    let final_state: old_records::FinalRecord =
        read_by_earlier_version(golden_record("over-cancelled"));
    assert_eq!(
        (final_state.state.as_str(), final_state.tasks),
        ("withdrawn", 4)
    );
}
