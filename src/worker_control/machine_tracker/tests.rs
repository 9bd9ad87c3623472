use super::*;
use crate::ids::{AttemptNumber, HeartbeatSequence, TaskId};
use crate::protocol::{Command, ExitReason, TaskState, TaskStatus};

fn attempt() -> TaskAttempt {
    TaskAttempt {
        task: TaskId::parse("job-1/0").expect("task"),
        number: AttemptNumber(1),
    }
}

const FENCE: Revision = Revision(7);

fn heartbeat(epoch: u64, sequence: u64, fence: u64, state: Option<TaskState>) -> Heartbeat {
    let tasks = state.into_iter().map(|state| TaskStatus {
        task: "job-1/0".into(),
        attempt_number: AttemptNumber(1),
        state,
        exit_reason: (state == TaskState::Exited).then_some(ExitReason::Done),
        saved: None,
    });
    Heartbeat {
        machine: "vm-1".into(),
        addr: "1.1.1.1:1".into(),
        type_name: "t".into(),
        zone: "z".into(),
        spot: false,
        epoch: WorkerEpoch(epoch),
        sequence: HeartbeatSequence(sequence),
        token: FencingToken::of(Revision(fence), 0),
        until_interruption_s: None,
        tasks: tasks.collect(),
    }
}

fn tracker() -> MachineTracker {
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    tracker.apply_heartbeat(
        &heartbeat(1, 1, 7, None),
        StatusSource::Heartbeat,
        MonotonicTime(1),
    );
    tracker
}

#[test]
fn presence_is_unknown_under_a_lower_token() {
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    tracker.apply_heartbeat(
        &heartbeat(1, 1, 6, None),
        StatusSource::Heartbeat,
        MonotonicTime(1),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Unknown);
    tracker.apply_heartbeat(
        &heartbeat(1, 2, 7, None),
        StatusSource::Heartbeat,
        MonotonicTime(2),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Absent);
}

#[test]
fn unanswered_direct_launch_prevents_forgetting_until_the_fence_rises() {
    let mut tracker = tracker();
    tracker.record_launch(&attempt(), CommandRoute::DirectCall);
    tracker.record_launch_outcomes(&[Command::Launch(attempt())], DirectLaunch::Unknown);
    tracker.apply_heartbeat(
        &heartbeat(1, 5, 7, None),
        StatusSource::Heartbeat,
        MonotonicTime(3),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::MayStart);
    // The launch is sent again and answered, but the first copy may still arrive.
    tracker.record_launch(&attempt(), CommandRoute::DirectCall);
    tracker.record_launch_outcomes(&[Command::Launch(attempt())], DirectLaunch::Answered);
    tracker.apply_heartbeat(
        &heartbeat(1, 6, 7, Some(TaskState::Exited)),
        StatusSource::Heartbeat,
        MonotonicTime(4),
    );
    assert_eq!(
        tracker.presence(&attempt()),
        TaskPresence::Exited(ExitReason::Done)
    );
    assert!(!tracker.may_forget(&attempt()));
    tracker.reset(Revision(9), MonotonicTime(5));
    assert!(!tracker.may_forget(&attempt()));
    tracker.apply_heartbeat(
        &heartbeat(1, 7, 9, Some(TaskState::Exited)),
        StatusSource::Heartbeat,
        MonotonicTime(6),
    );
    assert!(tracker.may_forget(&attempt()));
}

#[test]
fn launch_in_a_response_is_settled_by_the_next_heartbeat_only() {
    let mut tracker = tracker();
    tracker.record_launch(&attempt(), CommandRoute::HeartbeatResponse);
    tracker.apply_heartbeat(
        &heartbeat(1, 2, 7, None),
        StatusSource::CallAnswer,
        MonotonicTime(2),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Unknown);
    tracker.apply_heartbeat(
        &heartbeat(1, 3, 7, None),
        StatusSource::Heartbeat,
        MonotonicTime(3),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Absent);
}

#[test]
fn new_epoch_voids_launches_and_late_heartbeats_are_ignored() {
    let mut tracker = tracker();
    tracker.record_launch(&attempt(), CommandRoute::DirectCall);
    tracker.record_launch_outcomes(&[Command::Launch(attempt())], DirectLaunch::Unknown);
    tracker.apply_heartbeat(
        &heartbeat(2, 1, 7, None),
        StatusSource::Heartbeat,
        MonotonicTime(2),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Absent);
    tracker.apply_heartbeat(
        &heartbeat(1, 9, 7, Some(TaskState::Running)),
        StatusSource::Heartbeat,
        MonotonicTime(3),
    );
    assert_eq!(tracker.presence(&attempt()), TaskPresence::Absent);
}

/// Guards against a second start of a task. A direct launch that was executed may be repeated
/// later. If the worker had forgotten the task before that, the task would start again while it
/// runs on another machine or after its job was cancelled.
#[test]
fn answered_direct_launch_prevents_forgetting_until_the_token_rises() {
    let mut tracker = tracker();
    tracker.record_launch(&attempt(), CommandRoute::DirectCall);
    tracker.record_launch_outcomes(&[Command::Launch(attempt())], DirectLaunch::Answered);
    tracker.apply_heartbeat(
        &heartbeat(1, 2, 7, Some(TaskState::Exited)),
        StatusSource::Heartbeat,
        MonotonicTime(2),
    );
    assert!(!tracker.may_forget(&attempt()));
    assert_eq!(tracker.retained_exited_count(), 1);
    assert!(
        tracker.raise_token(MonotonicTime(3)) && tracker.token_raised_recently(MonotonicTime(4))
    );
    let mut raised = heartbeat(1, 3, 7, Some(TaskState::Exited));
    tracker.apply_heartbeat(&raised, StatusSource::Heartbeat, MonotonicTime(4));
    assert!(
        !tracker.may_forget(&attempt()),
        "the worker has not seen it yet"
    );
    raised.sequence = HeartbeatSequence(4);
    raised.token = tracker.token();
    tracker.apply_heartbeat(&raised, StatusSource::Heartbeat, MonotonicTime(5));
    assert!(tracker.may_forget(&attempt()));
    assert_eq!(tracker.retained_exited_count(), 0);
    // A launch in a heartbeat response does not prevent forgetting.
    tracker.record_launch(&attempt(), CommandRoute::HeartbeatResponse);
    assert!(tracker.may_forget(&attempt()));
}

#[test]
fn later_fence_outranks_all_raises_and_new_tracker_raises_above_the_reported_token() {
    let mut last = FencingToken::of(FENCE, 0);
    while let Some(next) = last.checked_increment() {
        assert!(next > last && next.fence() == FENCE);
        last = next;
    }
    assert!(last < FencingToken::of(Revision(8), 0));
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    let mut reported = heartbeat(1, 1, 7, None);
    reported.token = FencingToken::of(FENCE, 3);
    tracker.apply_heartbeat(&reported, StatusSource::Heartbeat, MonotonicTime(1));
    assert!(
        !tracker.is_superseded() && !tracker.is_confirmed() && tracker.token() > reported.token
    );
}
