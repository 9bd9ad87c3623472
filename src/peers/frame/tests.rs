use super::*;
use crate::ids::{Incarnation, Revision, TaskAttempt, TaskId};
use proptest::prelude::*;

#[test]
fn frames_round_trip_and_unsupported_frames_are_rejected() {
    let task = TaskId::parse("job-1/2").expect("task");
    let message = Message::Refused {
        fence: Revision(u64::MAX),
        attempts: vec![
            TaskAttempt {
                task,
                number: crate::ids::AttemptNumber(1 << 40)
            };
            3
        ],
    };
    let frame = encode(&message).expect("frame");
    let decoded = DecodedFrame {
        message,
        length: frame.len(),
    };
    assert_eq!(decode(&frame), Ok(Some(decoded)));
    assert_eq!(decode(&frame[..frame.len() - 1]), Ok(None));
    let mut other = frame.clone();
    other[4] = FRAME_VERSION + 1;
    assert_eq!(
        decode(&other),
        Err(FrameError::UnsupportedVersion(FRAME_VERSION + 1))
    );
    other = frame;
    other[0] = 0xff;
    assert!(matches!(decode(&other), Err(FrameError::TooLong(_))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn decoding_any_bytes_does_not_panic(
        body in proptest::collection::vec(any::<u8>(), 0..200),
        at in 0usize..40,
        flip in any::<u8>(),
    ) {
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.push(FRAME_VERSION);
        frame.extend_from_slice(&body);
        decode(&frame).ok();
        let hello = Message::Hello { member: "c1".into(), incarnation: Incarnation(4) };
        let mut frame = encode(&hello).expect("frame");
        let at = at % frame.len();
        frame[at] ^= flip;
        decode(&frame).ok();
    }
}
