//! Questions about final states that wait for a read: which job is read next.

use super::final_state::FinalState;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Millis, MonotonicTime};
use crate::runtime::Sender;
use std::collections::{BTreeMap, VecDeque};

/// How long a question waits. Users wait for two seconds, and a comparison may come before.
pub(super) const MAX_WAIT: Millis = Millis(600);
/// Questions about more jobs than this are answered at once with the time of a retry.
const MAX_JOBS: usize = 4000;
/// A job that nobody has asked about for so long loses its rank: its user was answered elsewhere.
const FORGET_AFTER: Millis = Millis(60_000);

/// How a job has ended; `None`: it has not.
pub(super) type ReadResult = Result<Option<FinalState>, RetryReason>;

/// The jobs that were asked about and not answered yet.
#[derive(Default)]
pub(super) struct WaitingQuestions {
    /// In the order of the first question about each.
    order: VecDeque<JobId>,
    jobs: BTreeMap<JobId, WaitingJob>,
}

/// A job whose read is due.
#[derive(Debug, PartialEq)]
pub(super) struct NextRead {
    /// The job.
    pub(super) job: JobId,
    /// Since when it was asked about without an answer.
    pub(super) first_asked: MonotonicTime,
}

struct WaitingJob {
    /// The first question.
    first_asked: MonotonicTime,
    /// The latest question.
    asked_at: MonotonicTime,
    is_being_read: bool,
    /// Who has asked since the read under way began, or has not been read for.
    questions: Vec<Sender<ReadResult>>,
    /// Who had asked when the read under way began.
    asked_before_read: Vec<Sender<ReadResult>>,
}

impl WaitingJob {
    /// Whether a user still waits.
    fn is_awaited(&self, now: MonotonicTime) -> bool {
        now.since(self.asked_at) < MAX_WAIT
    }
}

impl WaitingQuestions {
    /// Adds a question. `false`: there are too many.
    pub(super) fn add(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        question: Sender<ReadResult>,
    ) -> bool {
        self.forget_old(now);
        if let Some(job) = self.jobs.get_mut(id) {
            if !job.is_being_read && !job.is_awaited(now) {
                job.questions.clear();
            }
            job.asked_at = now;
            job.questions.push(question);
            return true;
        }
        if self.order.len() >= MAX_JOBS {
            return false;
        }
        let job = WaitingJob {
            first_asked: now,
            asked_at: now,
            is_being_read: false,
            questions: vec![question],
            asked_before_read: Vec::new(),
        };
        self.jobs.insert(id.clone(), job);
        self.order.push_back(id.clone());
        true
    }

    /// The job to be read next: of those whose users wait, the one asked about first. A read for
    /// users who have left would answer nobody, as they ask another controller next.
    pub(super) fn next(&self, now: MonotonicTime) -> Option<NextRead> {
        self.order.iter().find_map(|id| {
            let job = self.jobs.get(id)?;
            let is_next = !job.is_being_read && job.is_awaited(now);
            is_next.then(|| NextRead {
                job: id.clone(),
                first_asked: job.first_asked,
            })
        })
    }

    /// The jobs whose users wait, from a job on in the order of their ids: what a page that begins
    /// there may hold.
    pub(super) fn awaited_from(
        &self,
        now: MonotonicTime,
        first: &JobId,
        max_jobs: usize,
    ) -> Vec<JobId> {
        let following = self.jobs.range(first..);
        following
            .filter(|(_, job)| !job.is_being_read && job.is_awaited(now))
            .map(|(id, _)| id.clone())
            .take(max_jobs)
            .collect()
    }

    /// A read of the job begins.
    pub(super) fn begin(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_being_read = true;
            job.asked_before_read = std::mem::take(&mut job.questions);
        }
    }

    /// A read was refused: the job keeps its rank, and its users wait on.
    pub(super) fn put_back(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_being_read = false;
            job.questions.append(&mut job.asked_before_read);
        }
    }

    /// A read is over. Returns whom its result answers. That a job has ended is true for ever; that
    /// it has not may have changed for those who have asked since the read began: they wait for the
    /// next one.
    pub(super) fn finish(&mut self, id: &JobId, has_ended: bool) -> Vec<Sender<ReadResult>> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        job.is_being_read = false;
        let mut answered = std::mem::take(&mut job.asked_before_read);
        if has_ended {
            answered.append(&mut job.questions);
        }
        if job.questions.is_empty() {
            self.jobs.remove(id);
            self.order.retain(|waiting| waiting != id);
        }
        answered
    }

    /// Drops the jobs at the front that nobody asks about any more.
    fn forget_old(&mut self, now: MonotonicTime) {
        while let Some(id) = self.order.front() {
            let job = self.jobs.get(id);
            if job.is_some_and(|job| job.is_being_read || now.since(job.asked_at) < FORGET_AFTER) {
                break;
            }
            self.jobs.remove(id);
            self.order.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
