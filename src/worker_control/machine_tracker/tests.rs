use super::*;
use crate::ids::{AttemptNumber, TaskId};
use crate::protocol::TaskStatus;

fn run() -> TaskAttempt {
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
        notice_s: None,
        tasks: tasks.collect(),
    }
}

fn tracker() -> MachineTracker {
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    tracker.apply_heartbeat(&heartbeat(1, 1, 7, None), true, MonotonicTime(1));
    tracker
}

#[test]
fn absence_under_a_lower_token_proves_nothing() {
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    tracker.apply_heartbeat(&heartbeat(1, 1, 6, None), true, MonotonicTime(1));
    assert_eq!(tracker.presence(&run()), TaskPresence::Unclear);
    tracker.apply_heartbeat(&heartbeat(1, 2, 7, None), true, MonotonicTime(2));
    assert_eq!(tracker.presence(&run()), TaskPresence::Absent);
}

#[test]
fn a_direct_start_without_an_answer_keeps_the_task_until_token_or_session_rise() {
    let mut tracker = tracker();
    tracker.record_launch(&run(), true);
    tracker.record_launch_outcomes(&[Command::Launch(run())], DirectLaunch::Unknown);
    tracker.apply_heartbeat(&heartbeat(1, 5, 7, None), true, MonotonicTime(3));
    assert_eq!(tracker.presence(&run()), TaskPresence::MayAppear);
    // Sent again and answered: the first copy may still come.
    tracker.record_launch(&run(), true);
    tracker.record_launch_outcomes(&[Command::Launch(run())], DirectLaunch::Answered);
    tracker.apply_heartbeat(
        &heartbeat(1, 6, 7, Some(TaskState::Exited)),
        true,
        MonotonicTime(4),
    );
    assert_eq!(
        tracker.presence(&run()),
        TaskPresence::Exited(ExitReason::Done)
    );
    assert!(!tracker.may_forget(&run()));
    tracker.reset(Revision(9), MonotonicTime(5));
    assert!(!tracker.may_forget(&run()));
    tracker.apply_heartbeat(
        &heartbeat(1, 7, 9, Some(TaskState::Exited)),
        true,
        MonotonicTime(6),
    );
    assert!(tracker.may_forget(&run()));
}

#[test]
fn a_start_in_a_response_is_settled_by_the_next_report_and_not_by_a_commands_answer() {
    let mut tracker = tracker();
    tracker.record_launch(&run(), false);
    tracker.apply_heartbeat(&heartbeat(1, 2, 7, None), false, MonotonicTime(2));
    assert_eq!(tracker.presence(&run()), TaskPresence::Unclear);
    tracker.apply_heartbeat(&heartbeat(1, 3, 7, None), true, MonotonicTime(3));
    assert_eq!(tracker.presence(&run()), TaskPresence::Absent);
}

#[test]
fn a_new_session_voids_what_was_sent_and_late_reports_say_nothing() {
    let mut tracker = tracker();
    tracker.record_launch(&run(), true);
    tracker.record_launch_outcomes(&[Command::Launch(run())], DirectLaunch::Unknown);
    tracker.apply_heartbeat(&heartbeat(2, 1, 7, None), true, MonotonicTime(2));
    assert_eq!(tracker.presence(&run()), TaskPresence::Absent);
    tracker.apply_heartbeat(
        &heartbeat(1, 9, 7, Some(TaskState::Running)),
        true,
        MonotonicTime(3),
    );
    assert_eq!(tracker.presence(&run()), TaskPresence::Absent);
}

/// A command that was carried out may be repeated later: forgotten before that, the task
/// would start again, while it runs elsewhere or its job is long cancelled.
#[test]
fn a_direct_start_that_was_answered_keeps_the_task_until_the_machines_token_rises() {
    let mut tracker = tracker();
    tracker.record_launch(&run(), true);
    tracker.record_launch_outcomes(&[Command::Launch(run())], DirectLaunch::Answered);
    tracker.apply_heartbeat(
        &heartbeat(1, 2, 7, Some(TaskState::Exited)),
        true,
        MonotonicTime(2),
    );
    assert!(!tracker.may_forget(&run()));
    assert_eq!(tracker.unforgettable_count(), 1);
    assert!(
        tracker.raise_token(MonotonicTime(3)) && tracker.token_raised_recently(MonotonicTime(4))
    );
    let mut risen = heartbeat(1, 3, 7, Some(TaskState::Exited));
    tracker.apply_heartbeat(&risen, true, MonotonicTime(4));
    assert!(
        !tracker.may_forget(&run()),
        "the worker has not seen it yet"
    );
    risen.sequence = HeartbeatSequence(4);
    risen.token = tracker.token();
    tracker.apply_heartbeat(&risen, true, MonotonicTime(5));
    assert!(tracker.may_forget(&run()));
    assert_eq!(tracker.unforgettable_count(), 0);
    // A start in a response needs none of that.
    tracker.record_launch(&run(), false);
    assert!(tracker.may_forget(&run()));
}

#[test]
fn any_later_record_outranks_all_rises_and_a_new_desk_goes_above_those_it_meets() {
    let mut last = FencingToken::of(FENCE, 0);
    while let Some(next) = last.next_raise() {
        assert!(next > last && next.fence() == FENCE);
        last = next;
    }
    assert!(last < FencingToken::of(Revision(8), 0));
    let mut tracker = MachineTracker::new(FENCE, "1.1.1.1:1", MonotonicTime(0));
    let mut met = heartbeat(1, 1, 7, None);
    met.token = FencingToken::of(FENCE, 3);
    tracker.apply_heartbeat(&met, true, MonotonicTime(1));
    assert!(!tracker.superseded && !tracker.confirmed && tracker.token() > met.token);
}
