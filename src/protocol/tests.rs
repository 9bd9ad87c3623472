use super::*;
use crate::ids::{AttemptNumber, FencingToken, Millis, Revision, TaskAttempt, TaskId, WorkerEpoch};
use proptest::prelude::*;
use serde_json::json;

/// Returns a valid submission of a job array, as JSON.
pub(crate) fn submission(id: &str) -> serde_json::Value {
    json!({"id": id, "docket": "batch", "crew": "red", "shape": "array", "precedence": "normal",
           "sheets": 4, "cores": 2.0, "cards": 0.0, "memory_gb": 4.0, "plate": "img-1",
           "image_gb": 1.0, "hulls": null, "same_place": false, "scatter": false, "ebb": true,
           "reckon_s": 30.0, "fix_s": 0.0, "stow_s": 0.0, "due_s": 90.0, "novelty": [1]})
}

/// Returns the same submission, parsed.
pub(crate) fn spec(id: &str) -> JobSpec {
    JobSpec::parse(submission(id).to_string().as_bytes()).expect("a valid submission")
}

#[test]
fn submission_round_trips_through_its_stored_form() {
    let spec = spec("job-000001");
    let stored = serde_json::to_vec(&spec).expect("json");
    assert_eq!(JobSpec::parse(&stored).expect("stored form"), spec);
}

/// Guards against a transaction that is committed, or a comparison that is answered, on the ground of the
/// first of two contradictory conditions: the second one was dropped.
#[test]
fn contradictory_conditions_on_a_key_are_both_sent() {
    let mut txn = store::Txn::default();
    for revision in [0, 5, 0, 5] {
        txn.require("live/job/job-000001", Revision(revision));
    }
    let revisions: Vec<u64> = txn.conditions.iter().map(|c| c.revision.0).collect();
    assert_eq!(revisions, [0, 5]);
}

#[test]
fn malformed_submissions_name_the_field() {
    let cases = [
        ("id", json!("task-1")),
        ("id", json!("job-")),
        ("sheets", json!(0)),
        ("sheets", json!(100_001)),
        ("sheets", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("four")),
        ("memory_gb", json!(1e300)),
        ("crew", json!("")),
        ("plate", json!("a b")),
        ("shape", json!("circle")),
        ("precedence", json!(null)),
        ("ebb", json!("yes")),
        ("due_s", json!(-5)),
    ];
    for (field, value) in cases {
        let mut body = submission("job-000001");
        body[field] = value.clone();
        assert!(
            JobSpec::parse(body.to_string().as_bytes()).is_err(),
            "{field}={value}"
        );
    }
    for field in ["id", "crew", "sheets", "same_place", "fix_s"] {
        let mut body = submission("job-000001");
        body.as_object_mut().expect("object").remove(field);
        let error = JobSpec::parse(body.to_string().as_bytes()).expect_err(field);
        let error = error.to_string();
        assert!(error.contains(field), "{error}");
    }
    for body in ["[]", "null", "\"x\"", "{", ""] {
        assert!(JobSpec::parse(body.as_bytes()).is_err());
    }
}

/// The errors are part of the responses that users get.
#[test]
fn submission_errors_keep_their_texts() {
    let cases = [
        (
            "id",
            json!("task-1"),
            "field `id` must have the form job-000412",
        ),
        (
            "crew",
            json!(""),
            "field `crew` must be a name of 1 to 100 bytes",
        ),
        (
            "sheets",
            json!(100_001),
            "field `sheets` must be from 1 to 100000",
        ),
        (
            "memory_gb",
            json!(1e300),
            "field `memory_gb` is out of range",
        ),
        ("cores", json!(0.0), "field `cores` must be above 0"),
        (
            "awaits",
            json!("job-1"),
            "field `awaits` must be a list of job ids at line 1 column 17",
        ),
    ];
    for (field, value, text) in cases {
        let mut body = submission("job-000001");
        body[field] = value;
        let error = JobSpec::parse(body.to_string().as_bytes()).expect_err(field);
        assert_eq!(error.to_string(), text);
    }
    let error = JobSpec::parse(b"{").expect_err("no JSON");
    assert_eq!(
        error.to_string(),
        "EOF while parsing an object at line 1 column 1"
    );
}

#[test]
fn commands_are_encoded_in_the_protocol_format() {
    let attempt = TaskAttempt {
        task: TaskId::parse("job-1/2").expect("task"),
        number: AttemptNumber(3),
    };
    let commands = [
        Command::Launch(attempt.clone()),
        Command::Stop(attempt.clone(), Millis(1500)),
        Command::Forget(attempt),
    ];
    let body: serde_json::Value = serde_json::from_slice(&encode_commands(
        FencingToken(9),
        Some(WorkerEpoch(2)),
        &commands,
    ))
    .expect("json");
    assert_eq!(
        body,
        json!({"helm": 9, "watch": 2, "orders": [
            {"order": "launch", "sheet": "job-1/2", "sortie": 3},
            {"order": "stop", "sheet": "job-1/2", "sortie": 3, "slack_s": 1.5},
            {"order": "reap", "sheet": "job-1/2", "sortie": 3}]})
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn corrupted_messages_are_refused_without_panic(cut in 0usize..400, byte in any::<u8>()) {
        let mut body = submission("job-000001").to_string().into_bytes();
        let at = cut % body.len();
        body[at] = byte;
        JobSpec::parse(&body).ok();
        Heartbeat::parse(&body).ok();
        body.truncate(at);
        prop_assert!(JobSpec::parse(&body).is_err());
    }
}
