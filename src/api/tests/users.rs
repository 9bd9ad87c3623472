//! Simulated users who send requests about jobs to a busy cluster, and statistics of the answers
//! they get.

use super::busy_cluster::{BusyCluster, CONTROLLERS, Load};
use super::{body, in_virtual_time};
use crate::api::JobApi;
use crate::ids::JobId;
use crate::runtime::{self, Scope};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The maximum time for which the user of an accepted job may stay without an answer.
pub(crate) const MAX_UNANSWERED_TIME: Duration = Duration::from_secs(75);
const TEST_DURATION: Duration = Duration::from_secs(160);
/// The time for which users wait for an answer.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after an answer or a timeout until users send the next request.
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// The number of live jobs that are polled at the same time.
const LIVE_JOBS: usize = 500;
const FIRST_CANCELLED_ID: usize = 500;
const FIRST_ENDED_ID: usize = 1000;

/// A kind of request about a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UserRequest {
    Poll,
    Resubmission,
    /// A resubmission without a required field.
    IncompleteResubmission,
    /// A resubmission whose team is no longer configured.
    InfeasibleResubmission,
    Cancellation,
    /// A cancellation of a live job. It counts as answered once the final state is stored, since
    /// the watch caches of a busy cluster never show that the job has no dependents left.
    LiveCancellation,
    /// A submission of another job that depends on the job.
    DependentSubmission,
    /// The leader's lookup of the final state of a dependency.
    FinalStateLookup,
}

impl UserRequest {
    /// Returns whether the controller tries to write the submitted job before it looks that job up,
    /// because it can't tell the request from a new submission.
    fn tries_write_before_lookup(self) -> bool {
        matches!(self, Self::Resubmission | Self::DependentSubmission)
    }
}

/// Sends one request to a controller and returns whether it was answered.
async fn send_request(
    cluster: &BusyCluster,
    api: &JobApi,
    request: UserRequest,
    job: &JobId,
) -> bool {
    let id = job.as_str();
    let response = match request {
        UserRequest::Poll => api.poll(id).await,
        UserRequest::Resubmission => api.submit(&body(id, |_| ())).await,
        UserRequest::IncompleteResubmission => {
            let incomplete = body(id, |b| {
                b.as_object_mut().expect("object").remove("crew");
            });
            api.submit(&incomplete).await
        }
        UserRequest::InfeasibleResubmission => {
            let infeasible = body(id, |b| b["crew"] = json!("green"));
            api.submit(&infeasible).await
        }
        UserRequest::Cancellation => api.cancel(id).await,
        UserRequest::LiveCancellation => {
            api.cancel(id).await;
            return cluster.has_ended(job);
        }
        UserRequest::DependentSubmission => {
            let dependent = body(&format!("{id}9"), |b| b["awaits"] = json!([id]));
            api.submit(&dependent).await
        }
        UserRequest::FinalStateLookup => return api.final_job_state(job).await.is_some(),
    };
    assert!(matches!(response.status, 200 | 201 | 503), "{response:?}");
    response.status != 503
}

/// Statistics of the answers that a group of users got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UserStats {
    /// The number of requests that were answered.
    pub(crate) answered: usize,
    /// The number of requests that were not answered.
    pub(crate) unanswered: usize,
    /// The longest time for which a user had no answer.
    pub(crate) longest_wait: Duration,
}

impl UserStats {
    fn record(&mut self, answered: bool, wait: Duration) {
        self.longest_wait = self.longest_wait.max(wait);
        match answered {
            true => self.answered += 1,
            false => self.unanswered += 1,
        }
    }
}

/// Sends requests to one controller after another until one is answered, or for ever if the job is
/// `live`.
async fn send_requests(
    cluster: Rc<BusyCluster>,
    job: JobId,
    user: usize,
    request: UserRequest,
    live: bool,
    stats: Rc<RefCell<UserStats>>,
) {
    // Users do not send their first requests at the same time.
    runtime::sleep(REQUEST_INTERVAL.mul_f64((user % 97) as f64 / 97.0)).await;
    let mut unanswered_since = runtime::now();
    for attempt in 0.. {
        let api = cluster.controller((user + attempt) % CONTROLLERS);
        let answered = runtime::timeout(USER_TIMEOUT, send_request(&cluster, &api, request, &job))
            .await
            .unwrap_or(false);
        let wait = runtime::now() - unanswered_since;
        stats.borrow_mut().record(answered, wait);
        if answered {
            unanswered_since = runtime::now();
        }
        if answered && !live {
            return;
        }
        runtime::sleep(REQUEST_INTERVAL).await;
    }
}

/// The statistics of all groups of users after a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// The users who poll live jobs.
    pub(crate) live: UserStats,
    /// The users of ended jobs whose requests are answered without trying to write a submitted job
    /// first.
    pub(crate) ended: UserStats,
    /// The users of ended jobs whose requests try to write the submitted job before it is looked up.
    pub(crate) write_first: UserStats,
    /// The users who cancel live jobs.
    pub(crate) cancelled: UserStats,
    /// The number of ends of other jobs that were written.
    pub(crate) written_ends: u64,
}

impl Outcome {
    /// Checks that no user stayed without an answer for too long, and that the users of all ended
    /// jobs were answered.
    pub(crate) fn assert_answered(&self, ended_jobs: usize, context: &str) {
        for stats in [self.live, self.ended, self.write_first, self.cancelled] {
            assert!(
                stats.longest_wait < MAX_UNANSWERED_TIME,
                "{context} {self:?}"
            );
        }
        let answered = self.ended.answered + self.write_first.answered;
        assert_eq!(answered, ended_jobs, "{context} {self:?}");
    }
}

/// The users, the load and the faults of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// The other load on the store.
    pub(crate) load: Load,
    /// The kinds of requests about ended jobs, assigned to the users in turn.
    pub(crate) requests: &'static [UserRequest],
    /// The number of ended jobs that users send requests about.
    pub(crate) ended_jobs: usize,
    /// The number of ended jobs without requests between two ended jobs with requests, in the order
    /// of their ids.
    pub(crate) unqueried_between: usize,
    /// The number of live jobs that are cancelled.
    pub(crate) cancelled_jobs: usize,
    /// The time after which all controllers are restarted, if they are.
    pub(crate) restart_at: Option<Duration>,
}

/// Runs a scenario in which users poll live jobs and others send requests about ended jobs.
pub(crate) fn run_requests_about_ended_jobs(
    load: Load,
    requests: &'static [UserRequest],
    ended_jobs: usize,
) -> Outcome {
    Scenario {
        load,
        requests,
        ended_jobs,
        unqueried_between: 0,
        cancelled_jobs: 0,
        restart_at: None,
    }
    .run()
}

impl Scenario {
    /// Runs the scenario. The outcome has to be checked after the event loop has ended, since a
    /// panic inside it would end the test process.
    pub(crate) fn run(self) -> Outcome {
        in_virtual_time(async move {
            let polled = job_ids(0, LIVE_JOBS);
            let cancelled = job_ids(FIRST_CANCELLED_ID, self.cancelled_jobs);
            let stride = self.unqueried_between + 1;
            let ended = job_ids(FIRST_ENDED_ID, self.ended_jobs * stride);
            let live: Vec<JobId> = polled.iter().chain(&cancelled).cloned().collect();
            let cluster = BusyCluster::start(self.load, &live, &ended);
            let groups = UserGroups::new(Rc::new(cluster));
            let requested = ended.into_iter().step_by(stride);
            let users = self.start_users(&groups, polled, requested, cancelled);
            if let Some(restart_at) = self.restart_at {
                runtime::sleep(restart_at).await;
                groups.cluster.restart_controllers();
                runtime::sleep(TEST_DURATION - restart_at).await;
            } else {
                runtime::sleep(TEST_DURATION).await;
            }
            drop(users);
            groups.outcome()
        })
    }

    fn start_users(
        self,
        groups: &UserGroups,
        polled: Vec<JobId>,
        ended: impl Iterator<Item = JobId>,
        cancelled: Vec<JobId>,
    ) -> Scope {
        let mut users = Scope::default();
        for (user, job) in polled.into_iter().enumerate() {
            let stats = groups.live.clone();
            let cluster = groups.cluster.clone();
            let request = UserRequest::Poll;
            users.spawn(send_requests(cluster, job, user, request, true, stats));
        }
        for (user, job) in ended.enumerate() {
            let request = self.requests[user % self.requests.len()];
            let stats = match request.tries_write_before_lookup() {
                true => groups.write_first.clone(),
                false => groups.ended.clone(),
            };
            let cluster = groups.cluster.clone();
            users.spawn(send_requests(cluster, job, user, request, false, stats));
        }
        for (user, job) in cancelled.into_iter().enumerate() {
            let stats = groups.cancelled.clone();
            let cluster = groups.cluster.clone();
            let request = UserRequest::LiveCancellation;
            users.spawn(send_requests(cluster, job, user, request, false, stats));
        }
        users
    }
}

/// The cluster and the statistics of its groups of users so far.
struct UserGroups {
    cluster: Rc<BusyCluster>,
    live: Rc<RefCell<UserStats>>,
    ended: Rc<RefCell<UserStats>>,
    write_first: Rc<RefCell<UserStats>>,
    cancelled: Rc<RefCell<UserStats>>,
}

impl UserGroups {
    fn new(cluster: Rc<BusyCluster>) -> Self {
        Self {
            cluster,
            live: Rc::default(),
            ended: Rc::default(),
            write_first: Rc::default(),
            cancelled: Rc::default(),
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            live: *self.live.borrow(),
            ended: *self.ended.borrow(),
            write_first: *self.write_first.borrow(),
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
