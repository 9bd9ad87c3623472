//! Users who ask a busy cluster about its jobs, and what they experience.

use super::body;
use super::busy_cluster::{BusyCluster, CONTROLLERS, Load};
use crate::api::JobApi;
use crate::ids::JobId;
use crate::runtime::{self, Scope, run_in_virtual_time};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// An accepted job without an answer for so long is forgotten.
pub(crate) const FORGOTTEN_AFTER: Duration = Duration::from_secs(75);
const TEST_DURATION: Duration = Duration::from_secs(160);
/// How long users wait for an answer.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after an answer, or after none, users ask again.
const ASK_INTERVAL: Duration = Duration::from_secs(5);
/// Unfinished jobs that are polled at the same time.
const LIVE_JOBS: usize = 500;
const FIRST_ENDED_ID: usize = 1000;

/// What a user asks about a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Question {
    Poll,
    RepeatedSubmission,
    /// A repetition of a submission that lacks a field.
    IncompleteRepetition,
    /// A repetition of a submission whose team is no longer known.
    InfeasibleRepetition,
    Cancellation,
    /// A submission of another job that depends on the job.
    DependentSubmission,
    /// The leader's question how a job ended that others depend on.
    FinalOutcome,
}

impl Question {
    /// Whether it begins with a write: until then it can't be told from a new submission.
    fn begins_with_write(self) -> bool {
        matches!(self, Self::RepeatedSubmission | Self::DependentSubmission)
    }
}

/// Asks once. `true`: it was answered.
async fn ask(api: &JobApi, question: Question, job: &JobId) -> bool {
    let id = job.as_str();
    let response = match question {
        Question::Poll => api.poll(id).await,
        Question::RepeatedSubmission => api.submit(&body(id, |_| ())).await,
        Question::IncompleteRepetition => {
            let incomplete = body(id, |b| {
                b.as_object_mut().expect("object").remove("crew");
            });
            api.submit(&incomplete).await
        }
        Question::InfeasibleRepetition => {
            let infeasible = body(id, |b| b["crew"] = json!("green"));
            api.submit(&infeasible).await
        }
        Question::Cancellation => api.cancel(id).await,
        Question::DependentSubmission => {
            let dependent = body(&format!("{id}9"), |b| b["awaits"] = json!([id]));
            api.submit(&dependent).await
        }
        Question::FinalOutcome => return api.final_outcome(job).await.is_some(),
    };
    assert!(matches!(response.status, 200 | 201 | 503), "{response:?}");
    response.status != 503
}

/// What users have experienced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Experience {
    /// Questions that were answered.
    pub(crate) answered: usize,
    /// Questions without an answer.
    pub(crate) unanswered: usize,
    /// The longest time in which a user had no answer.
    pub(crate) longest_silence: Duration,
}

impl Experience {
    fn record(&mut self, answered: bool, silence: Duration) {
        self.longest_silence = self.longest_silence.max(silence);
        match answered {
            true => self.answered += 1,
            false => self.unanswered += 1,
        }
    }
}

/// Asks one controller after another until it is answered; for ever if the job is `live`.
async fn keep_asking(
    cluster: Rc<BusyCluster>,
    job: JobId,
    user: usize,
    question: Question,
    live: bool,
    experience: Rc<RefCell<Experience>>,
) {
    // Users do not ask all at once.
    runtime::sleep(ASK_INTERVAL.mul_f64((user % 97) as f64 / 97.0)).await;
    let mut silent_since = runtime::now();
    for attempt in 0.. {
        let controller = (user + attempt) % CONTROLLERS;
        let api = &cluster.controllers[controller];
        let answered = runtime::timeout(USER_TIMEOUT, ask(api, question, &job))
            .await
            .unwrap_or(false);
        let silence = runtime::now() - silent_since;
        experience.borrow_mut().record(answered, silence);
        if answered {
            silent_since = runtime::now();
        }
        if answered && !live {
            return;
        }
        runtime::sleep(ASK_INTERVAL).await;
    }
}

/// What the users of live jobs and those of ended ones have experienced.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// The users of live jobs.
    pub(crate) live: Experience,
    /// Those of ended jobs whose questions begin with a read.
    pub(crate) ended: Experience,
    /// Those of ended jobs whose questions begin with a write.
    pub(crate) begun_with_writes: Experience,
    /// Ends of other jobs that were written.
    pub(crate) written_ends: u64,
}

impl Outcome {
    /// Checks that no user stayed without an answer for too long, and that those of all ended jobs
    /// were answered.
    pub(crate) fn assert_answered(&self, ended_jobs: usize, context: &str) {
        for experience in [self.live, self.ended, self.begun_with_writes] {
            assert!(
                experience.longest_silence < FORGOTTEN_AFTER,
                "{context} {self:?}"
            );
        }
        let answered = self.ended.answered + self.begun_with_writes.answered;
        assert_eq!(answered, ended_jobs, "{context} {self:?}");
    }
}

/// Lets users poll live jobs, and others ask about jobs that have ended. The outcome is judged
/// after the event loop has ended, since a panic inside would end the test process.
pub(crate) fn ask_about_ended_jobs(
    load: Load,
    questions: &'static [Question],
    ended_jobs: usize,
) -> Outcome {
    let outcome = Rc::new(RefCell::new(None));
    let result = outcome.clone();
    run_in_virtual_time(async move {
        let live_jobs = job_ids(0, LIVE_JOBS);
        let ended_jobs = job_ids(FIRST_ENDED_ID, ended_jobs);
        let cluster = Rc::new(BusyCluster::start(load, &live_jobs, &ended_jobs));
        let (live, ended, written) = (Rc::default(), Rc::default(), Rc::default());
        let mut users = Scope::default();
        for (user, job) in live_jobs.into_iter().enumerate() {
            let live = Rc::clone(&live);
            users.spawn(keep_asking(
                cluster.clone(),
                job,
                user,
                Question::Poll,
                true,
                live,
            ));
        }
        for (user, job) in ended_jobs.into_iter().enumerate() {
            let question = questions[user % questions.len()];
            let ended = match question.begins_with_write() {
                true => Rc::clone(&written),
                false => Rc::clone(&ended),
            };
            users.spawn(keep_asking(
                cluster.clone(),
                job,
                user,
                question,
                false,
                ended,
            ));
        }
        runtime::sleep(TEST_DURATION).await;
        let outcome = Outcome {
            live: *live.borrow(),
            ended: *ended.borrow(),
            begun_with_writes: *written.borrow(),
            written_ends: cluster.written_ends.get(),
        };
        *result.borrow_mut() = Some(outcome);
    });
    outcome.take().expect("the event loop has ended")
}

fn job_ids(first: usize, count: usize) -> Vec<JobId> {
    let numbers = first..first + count;
    numbers
        .map(|n| JobId::from(format!("job-{n:06}").as_str()))
        .collect()
}
