//! Users who ask a busy cluster about its jobs, and what they experience.

use super::busy_cluster::{BusyCluster, CONTROLLERS, Load};
use super::{body, in_virtual_time};
use crate::api::JobApi;
use crate::ids::JobId;
use crate::runtime::{self, Scope};
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
const FIRST_CANCELLED_ID: usize = 500;
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
    /// A cancellation of a job that has not ended. It is over once it is on record: the watch caches of
    /// a busy cluster never show that the job has no dependents left.
    LiveCancellation,
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

/// Asks a controller once. `true`: it was answered.
async fn ask(cluster: &BusyCluster, api: &JobApi, question: Question, job: &JobId) -> bool {
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
        Question::LiveCancellation => {
            api.cancel(id).await;
            return cluster.has_ended(job);
        }
        Question::DependentSubmission => {
            let dependent = body(&format!("{id}9"), |b| b["awaits"] = json!([id]));
            api.submit(&dependent).await
        }
        Question::FinalOutcome => return api.final_job_state(job).await.is_some(),
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
        let api = cluster.controller((user + attempt) % CONTROLLERS);
        let answered = runtime::timeout(USER_TIMEOUT, ask(&cluster, &api, question, &job))
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
    /// Those who cancel live jobs.
    pub(crate) cancelled: Experience,
    /// Ends of other jobs that were written.
    pub(crate) written_ends: u64,
}

impl Outcome {
    /// Checks that no user stayed without an answer for too long, and that those of all ended jobs
    /// were answered.
    pub(crate) fn assert_answered(&self, ended_jobs: usize, context: &str) {
        for experience in [
            self.live,
            self.ended,
            self.begun_with_writes,
            self.cancelled,
        ] {
            assert!(
                experience.longest_silence < FORGOTTEN_AFTER,
                "{context} {self:?}"
            );
        }
        let answered = self.ended.answered + self.begun_with_writes.answered;
        assert_eq!(answered, ended_jobs, "{context} {self:?}");
    }
}

/// Which users there are, and what happens meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// What else is asked of the store.
    pub(crate) load: Load,
    /// What is asked about ended jobs, by turns.
    pub(crate) questions: &'static [Question],
    /// Ended jobs that users ask about.
    pub(crate) ended_jobs: usize,
    /// Ended jobs that nobody asks about, between each two that somebody does.
    pub(crate) unasked_between: usize,
    /// Live jobs that are cancelled.
    pub(crate) cancelled_jobs: usize,
    /// When all controllers are restarted.
    pub(crate) restart_at: Option<Duration>,
}

/// Lets users poll live jobs, and others ask about jobs that have ended.
pub(crate) fn ask_about_ended_jobs(
    load: Load,
    questions: &'static [Question],
    ended_jobs: usize,
) -> Outcome {
    Scenario {
        load,
        questions,
        ended_jobs,
        unasked_between: 0,
        cancelled_jobs: 0,
        restart_at: None,
    }
    .play()
}

impl Scenario {
    /// Plays it. The outcome is judged after the event loop has ended, since a panic inside would end
    /// the test process.
    pub(crate) fn play(self) -> Outcome {
        in_virtual_time(async move {
            let polled = job_ids(0, LIVE_JOBS);
            let cancelled = job_ids(FIRST_CANCELLED_ID, self.cancelled_jobs);
            let stride = self.unasked_between + 1;
            let ended = job_ids(FIRST_ENDED_ID, self.ended_jobs * stride);
            let live: Vec<JobId> = polled.iter().chain(&cancelled).cloned().collect();
            let cluster = BusyCluster::start(self.load, &live, &ended);
            let crowd = Crowd::new(Rc::new(cluster));
            let asked = ended.into_iter().step_by(stride);
            let users = self.start_users(&crowd, polled, asked, cancelled);
            if let Some(restart_at) = self.restart_at {
                runtime::sleep(restart_at).await;
                crowd.cluster.restart_controllers();
                runtime::sleep(TEST_DURATION - restart_at).await;
            } else {
                runtime::sleep(TEST_DURATION).await;
            }
            drop(users);
            crowd.outcome()
        })
    }

    fn start_users(
        self,
        crowd: &Crowd,
        polled: Vec<JobId>,
        ended: impl Iterator<Item = JobId>,
        cancelled: Vec<JobId>,
    ) -> Scope {
        let mut users = Scope::default();
        for (user, job) in polled.into_iter().enumerate() {
            let experience = crowd.live.clone();
            let cluster = crowd.cluster.clone();
            let question = Question::Poll;
            users.spawn(keep_asking(cluster, job, user, question, true, experience));
        }
        for (user, job) in ended.enumerate() {
            let question = self.questions[user % self.questions.len()];
            let experience = match question.begins_with_write() {
                true => crowd.begun_with_writes.clone(),
                false => crowd.ended.clone(),
            };
            let cluster = crowd.cluster.clone();
            users.spawn(keep_asking(cluster, job, user, question, false, experience));
        }
        for (user, job) in cancelled.into_iter().enumerate() {
            let experience = crowd.cancelled.clone();
            let cluster = crowd.cluster.clone();
            let question = Question::LiveCancellation;
            users.spawn(keep_asking(cluster, job, user, question, false, experience));
        }
        users
    }
}

/// The cluster and what its users have experienced so far.
struct Crowd {
    cluster: Rc<BusyCluster>,
    live: Rc<RefCell<Experience>>,
    ended: Rc<RefCell<Experience>>,
    begun_with_writes: Rc<RefCell<Experience>>,
    cancelled: Rc<RefCell<Experience>>,
}

impl Crowd {
    fn new(cluster: Rc<BusyCluster>) -> Self {
        Self {
            cluster,
            live: Rc::default(),
            ended: Rc::default(),
            begun_with_writes: Rc::default(),
            cancelled: Rc::default(),
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            live: *self.live.borrow(),
            ended: *self.ended.borrow(),
            begun_with_writes: *self.begun_with_writes.borrow(),
            cancelled: *self.cancelled.borrow(),
            written_ends: self.cluster.written_ends.get(),
        }
    }
}

fn job_ids(first: usize, count: usize) -> Vec<JobId> {
    let numbers = first..first + count;
    numbers
        .map(|n| JobId::from(format!("job-{n:06}").as_str()))
        .collect()
}
