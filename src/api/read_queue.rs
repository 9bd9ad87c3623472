//! The queue of user requests that wait for reads of final states. It determines which job is read
//! next.

use super::final_state::FinalStateRead;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Millis, MonotonicTime};
use crate::runtime::Sender;
use std::collections::{BTreeMap, VecDeque};

/// The time that a request waits for a read before its user is asked to retry. Users wait two seconds for
/// the answer to a poll, of which a comparison (see the `api` module) before the read may take a part.
pub(super) const MAX_READ_WAIT: Millis = Millis(600);
/// The maximum number of queued jobs. Users of further jobs are asked to retry at once.
const MAX_QUEUED_JOBS: usize = 4000;
/// The time without requests after which a job at the front of the queue is removed. Its users have
/// probably been answered by another controller, or have stopped retrying.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// The result of a read of a job's final state, or the reason why it could not be read.
pub(super) type ReadResult = Result<FinalStateRead, RetryReason>;

/// The jobs with unanswered requests.
#[derive(Default)]
pub(super) struct ReadQueue {
    /// The jobs in the order of the first request about each.
    order: VecDeque<JobId>,
    jobs: BTreeMap<JobId, WaitingJob>,
}

/// The next job to be read.
#[derive(Debug, PartialEq)]
pub(super) struct NextRead {
    /// The job to be read.
    pub(super) job: JobId,
    /// The time of the first unanswered request about the job.
    pub(super) first_requested_at: MonotonicTime,
}

struct WaitingJob {
    /// The time of the first unanswered request.
    first_requested_at: MonotonicTime,
    /// The time of the latest request.
    last_requested_at: MonotonicTime,
    is_being_read: bool,
    /// The requests that arrived after the read in progress began, or all requests if no read is in
    /// progress.
    waiters: Vec<Sender<ReadResult>>,
    /// The requests that had arrived when the read in progress began.
    read_waiters: Vec<Sender<ReadResult>>,
}

impl WaitingJob {
    /// Returns whether a user is still waiting: the latest request arrived less than [`MAX_READ_WAIT`] ago.
    fn has_waiting_user(&self, now: MonotonicTime) -> bool {
        now.since(self.last_requested_at) < MAX_READ_WAIT
    }
}

impl ReadQueue {
    /// Adds a request. Returns `false` if the queue is full.
    pub(super) fn add(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        waiter: Sender<ReadResult>,
    ) -> bool {
        self.evict_idle(now);
        if let Some(job) = self.jobs.get_mut(id) {
            if !job.is_being_read && !job.has_waiting_user(now) {
                job.waiters.clear();
            }
            job.last_requested_at = now;
            job.waiters.push(waiter);
            return true;
        }
        if self.order.len() >= MAX_QUEUED_JOBS {
            return false;
        }
        let job = WaitingJob {
            first_requested_at: now,
            last_requested_at: now,
            is_being_read: false,
            waiters: vec![waiter],
            read_waiters: Vec::new(),
        };
        self.jobs.insert(id.clone(), job);
        self.order.push_back(id.clone());
        true
    }

    /// Returns the next job to be read: of the jobs with waiting users, the one with the earliest
    /// first request. A job without waiting users is skipped, as its read would answer nobody.
    pub(super) fn next(&self, now: MonotonicTime) -> Option<NextRead> {
        self.order.iter().find_map(|id| {
            let job = self.jobs.get(id)?;
            let is_next = !job.is_being_read && job.has_waiting_user(now);
            is_next.then(|| NextRead {
                job: id.clone(),
                first_requested_at: job.first_requested_at,
            })
        })
    }

    /// Returns the jobs with waiting users in the order of their ids, beginning with `first`. These
    /// are the jobs that a page that begins there may contain.
    pub(super) fn waiting_jobs_from(
        &self,
        now: MonotonicTime,
        first: &JobId,
        max_jobs: usize,
    ) -> Vec<JobId> {
        let following = self.jobs.range(first..);
        following
            .filter(|(_, job)| !job.is_being_read && job.has_waiting_user(now))
            .map(|(id, _)| id.clone())
            .take(max_jobs)
            .collect()
    }

    /// Records that a read of the job begins.
    pub(super) fn start_read(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_being_read = true;
            job.read_waiters = std::mem::take(&mut job.waiters);
        }
    }

    /// Queues a job again after its read was refused. It keeps its place, and its users continue to
    /// wait.
    pub(super) fn requeue(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_being_read = false;
            job.waiters.append(&mut job.read_waiters);
        }
    }

    /// Records the end of a read and returns the requests that its result answers. A final state
    /// answers all requests. Any other result, which is an error or that no final state is stored,
    /// answers only the requests that arrived before the read began, since a later read may find a
    /// final state; the others wait for the next read.
    pub(super) fn finish_read(&mut self, id: &JobId, has_ended: bool) -> Vec<Sender<ReadResult>> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        job.is_being_read = false;
        let mut answered = std::mem::take(&mut job.read_waiters);
        if has_ended {
            answered.append(&mut job.waiters);
        }
        if job.waiters.is_empty() {
            self.jobs.remove(id);
            self.order.retain(|waiting| waiting != id);
        }
        answered
    }

    /// Removes the jobs at the front of the queue that had no request during the idle timeout.
    fn evict_idle(&mut self, now: MonotonicTime) {
        while let Some(id) = self.order.front() {
            let job = self.jobs.get(id);
            if job.is_some_and(|job| {
                job.is_being_read || now.since(job.last_requested_at) < IDLE_TIMEOUT
            }) {
                break;
            }
            self.jobs.remove(id);
            self.order.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
