use super::*;
use crate::runtime::oneshot;

fn add(waiting: &mut ReadQueue, at: u64, id: &str) -> bool {
    let (waiter, _) = oneshot();
    waiting.add(MonotonicTime(at), &id.into(), waiter)
}

/// Starts the read of the next job and returns the job.
fn start_next_read(waiting: &mut ReadQueue, at: u64) -> Option<JobId> {
    let next = waiting.next(MonotonicTime(at))?;
    waiting.start_read(&next.job);
    Some(next.job)
}

#[test]
fn job_requested_first_is_read_first_while_its_user_waits() {
    let mut waiting = ReadQueue::default();
    assert!(add(&mut waiting, 0, "job-1") && add(&mut waiting, 300, "job-2"));
    assert!(add(&mut waiting, 400, "job-3"));
    assert_eq!(start_next_read(&mut waiting, 500), Some("job-1".into()));
    // The read was refused: the job keeps its place, but is read only once its user sends another
    // request.
    waiting.requeue(&"job-1".into());
    assert_eq!(start_next_read(&mut waiting, 650), Some("job-2".into()));
    assert!(add(&mut waiting, 700, "job-1"));
    assert_eq!(
        waiting.next(MonotonicTime(700)),
        Some(NextRead {
            job: "job-1".into(),
            first_requested_at: MonotonicTime(0),
        })
    );
    waiting.start_read(&"job-1".into());
    assert_eq!(start_next_read(&mut waiting, 700), Some("job-3".into()));
    assert_eq!(start_next_read(&mut waiting, 700), None);
}

#[test]
fn one_read_answers_all_users_of_a_job() {
    let mut waiting = ReadQueue::default();
    assert!(add(&mut waiting, 0, "job-1") && add(&mut waiting, 1, "job-1"));
    assert_eq!(start_next_read(&mut waiting, 2), Some("job-1".into()));
    assert_eq!(start_next_read(&mut waiting, 2), None);
    assert!(add(&mut waiting, 3, "job-1"));
    assert_eq!(waiting.finish_read(&"job-1".into(), true).len(), 3);
    assert!(waiting.jobs.is_empty() && waiting.order.is_empty());
}

#[test]
fn queued_jobs_are_bounded_and_evicted_when_idle() {
    let mut waiting = ReadQueue::default();
    for n in 0..MAX_QUEUED_JOBS {
        assert!(add(&mut waiting, 0, &format!("job-{n}")));
    }
    assert!(!add(&mut waiting, 1, "job-too-many"));
    assert!(add(&mut waiting, IDLE_TIMEOUT.0, "job-later"));
    assert_eq!(waiting.jobs.len(), 1);
}

/// A job may end while it is read. A user who sends a request during the read may have just seen
/// that the live record is gone, and would take the result "it has not ended" for "it was never
/// accepted".
#[test]
fn request_during_a_read_is_not_answered_by_its_negative_result() {
    let mut waiting = ReadQueue::default();
    assert!(add(&mut waiting, 0, "job-1"));
    assert_eq!(start_next_read(&mut waiting, 1), Some("job-1".into()));
    assert!(add(&mut waiting, 2, "job-1"));
    assert_eq!(waiting.finish_read(&"job-1".into(), false).len(), 1);
    assert_eq!(start_next_read(&mut waiting, 3), Some("job-1".into()));
    assert_eq!(waiting.finish_read(&"job-1".into(), false).len(), 1);
    assert_eq!(waiting.next(MonotonicTime(4)), None);
}
