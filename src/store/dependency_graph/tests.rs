//! Compares the graph with a simple model, which searches its list of jobs for each query.

use super::*;
use crate::protocol::Priority;
use proptest::prelude::*;

/// A job of the model. Jobs are identified by their index in the model's list.
#[derive(Clone, Debug)]
struct ModelJob {
    parents: Vec<usize>,
    priority: Priority,
    /// The deadline, in seconds after acceptance.
    deadline: Option<f64>,
    predicted: f64,
    state: ModelState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ModelState {
    Blocked,
    Live,
    Done,
    Cancelled,
}

#[derive(Clone, Debug)]
enum Step {
    /// Accepts a job whose dependencies are `parents`, modulo the number of jobs.
    Accept {
        parents: Vec<usize>,
        priority: usize,
        deadline: Option<u32>,
        estimate: u32,
    },
    /// Ends a job. `outcome_seen` tells whether its final record is seen, or only its removal from the
    /// watch cache.
    End {
        job: usize,
        cancelled: bool,
        outcome_seen: bool,
    },
    /// Reads the final records of the jobs with an unknown outcome.
    Read,
    Plan {
        job: usize,
        seconds: u32,
    },
}

const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

fn id(job: usize) -> JobId {
    format!("job-{job:06}").as_str().into()
}

#[derive(Default)]
struct Model {
    jobs: Vec<ModelJob>,
}

impl Model {
    fn has_not_ended(&self, job: usize) -> bool {
        matches!(self.jobs[job].state, ModelState::Blocked | ModelState::Live)
    }

    fn children(&self, job: usize) -> Vec<usize> {
        let is_blocked_by_job = |c: &usize| {
            let child = &self.jobs[*c];
            child.state == ModelState::Blocked && child.parents.contains(&job)
        };
        (0..self.jobs.len()).filter(is_blocked_by_job).collect()
    }

    /// Returns the urgency of a job, computed by following every path to its dependents.
    fn urgency(&self, job: usize) -> Urgency {
        let own = &self.jobs[job];
        let own_deadline = own.deadline.map(|s| UnixTime((s * 1000.0) as u64));
        let mut urgency = Urgency {
            priority: own.priority,
            finish_by: own_deadline,
        };
        for child in self.children(job) {
            let later = self.urgency(child);
            urgency.priority = urgency.priority.max(later.priority);
            let predicted = (self.jobs[child].predicted * 1000.0) as u64;
            let start_by = later
                .finish_by
                .map(|at| UnixTime(at.0.saturating_sub(predicted)));
            urgency.finish_by = match (urgency.finish_by, start_by) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        urgency
    }

    fn may_start(&self, job: usize) -> bool {
        let done = |p: &usize| self.jobs[*p].state == ModelState::Done;
        self.jobs[job].parents.iter().all(done)
    }

    fn must_be_cancelled(&self, job: usize) -> bool {
        let mut parents = self.jobs[job].parents.iter();
        self.jobs[job].state == ModelState::Cancelled || parents.any(|p| self.must_be_cancelled(*p))
    }
}

/// The graph under test and the live jobs, which the graph does not contain.
#[derive(Default)]
struct GraphUnderTest {
    graph: DependencyGraph,
    live: BTreeSet<JobId>,
}

impl GraphUnderTest {
    fn accept(&mut self, job: usize, model: &ModelJob) {
        if model.state == ModelState::Live {
            self.live.insert(id(job));
            self.graph.mark_live(&id(job));
            return;
        }
        let mut spec = crate::protocol::tests::spec(id(job).as_str());
        spec.dependencies = model.parents.iter().map(|p| id(*p)).collect();
        spec.priority = model.priority;
        spec.deadline_s = model.deadline;
        spec.estimate_s = model.predicted;
        let blocked = BlockedJob::new(spec, UnixTime(0), Revision(1), None);
        let live = &self.live;
        self.graph.insert(id(job), blocked, |id| live.contains(id));
    }

    fn remove(&mut self, job: usize) {
        self.live.remove(&id(job));
        self.graph.remove(&id(job));
        self.graph.mark_ended(&id(job));
    }
}

fn accept(model: &mut Model, real: &mut GraphUnderTest, step: &Step) {
    let Step::Accept {
        parents,
        priority,
        deadline,
        estimate,
    } = step
    else {
        return;
    };
    let count = model.jobs.len();
    let mut parents: Vec<usize> = parents.iter().map(|p| p % count.max(1)).collect();
    parents.retain(|p| *p < count);
    parents.sort_unstable();
    parents.dedup();
    let state = |p: &usize| model.jobs[*p].state;
    // The API decides the initial state in the same way.
    let state = if parents.iter().any(|p| state(p) == ModelState::Cancelled) {
        ModelState::Cancelled
    } else if parents.iter().all(|p| state(p) == ModelState::Done) {
        ModelState::Live
    } else {
        ModelState::Blocked
    };
    let job = ModelJob {
        parents,
        priority: PRIORITIES[priority % 4],
        deadline: deadline.map(f64::from),
        predicted: f64::from(*estimate),
        state,
    };
    if state != ModelState::Cancelled {
        real.accept(count, &job);
    }
    model.jobs.push(job);
}

fn end(
    model: &mut Model,
    real: &mut GraphUnderTest,
    job: usize,
    cancelled: bool,
    outcome_seen: bool,
) {
    if model.jobs.is_empty() {
        return;
    }
    let job = job % model.jobs.len();
    if !model.has_not_ended(job) || (!cancelled && model.jobs[job].state == ModelState::Blocked) {
        return;
    }
    let (state, outcome) = match cancelled {
        true => (ModelState::Cancelled, JobOutcome::Cancelled),
        false => (ModelState::Done, JobOutcome::Done),
    };
    model.jobs[job].state = state;
    // The final record may be seen before or after the stream delivers the job's deletion, or only
    // when it is read.
    if outcome_seen && job.is_multiple_of(2) {
        real.graph.record_outcome(&id(job), outcome);
        real.remove(job);
    } else {
        real.remove(job);
        if outcome_seen {
            real.graph.record_outcome(&id(job), outcome);
        }
    }
}

fn read(model: &Model, real: &mut GraphUnderTest) {
    let unknown: Vec<JobId> = real.graph.jobs_with_unknown_outcome().cloned().collect();
    for dependency in unknown {
        let job: usize = dependency.as_str()[4..].parse().expect("a number");
        match model.jobs[job].state {
            ModelState::Done => real.graph.record_outcome(&dependency, JobOutcome::Done),
            ModelState::Cancelled => real
                .graph
                .record_outcome(&dependency, JobOutcome::Cancelled),
            state => panic!("{dependency} is {state:?}, but the graph treats it as ended"),
        }
    }
}

/// Releases the ready jobs and cancels the dependents of cancelled jobs, as the leader does.
fn release_and_cancel(model: &mut Model, real: &mut GraphUnderTest) {
    let ready: Vec<JobId> = real.graph.ready().cloned().collect();
    for released in ready {
        let job: usize = released.as_str()[4..].parse().expect("a number");
        assert!(model.may_start(job), "{released} is released too early");
        model.jobs[job].state = ModelState::Live;
        real.graph.remove(&released);
        real.live.insert(released);
    }
    loop {
        let next = real.graph.cancelled().next().cloned();
        let Some(root) = next else {
            return;
        };
        for dependent in real.graph.descendants(&root) {
            let job: usize = dependent.as_str()[4..].parse().expect("a number");
            assert!(
                model.must_be_cancelled(job),
                "{dependent} is cancelled without reason"
            );
            model.jobs[job].state = ModelState::Cancelled;
            real.remove(job);
            real.graph.record_outcome(&dependent, JobOutcome::Cancelled);
        }
    }
}

fn compare(model: &Model, real: &GraphUnderTest) {
    for (job, model_job) in model.jobs.iter().enumerate() {
        let is_blocked = model_job.state == ModelState::Blocked;
        assert_eq!(real.graph.contains(&id(job)), is_blocked, "{job}");
        if is_blocked {
            assert_eq!(real.graph.urgency(&id(job)), Some(model.urgency(job)));
        }
        if model_job.state == ModelState::Live {
            let own = Urgency {
                priority: model_job.priority,
                finish_by: model_job.deadline.map(|s| UnixTime((s * 1000.0) as u64)),
            };
            let inherited = real.graph.inherited(&id(job));
            let merged = inherited.map_or(own, |other| own.merge(other));
            assert_eq!(merged, model.urgency(job), "live {job}");
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let accept = (
        proptest::collection::vec(0usize..40, 0..4),
        0usize..4,
        proptest::option::of(50u32..500),
        1u32..60,
    );
    let accept = accept.prop_map(|(parents, priority, deadline, estimate)| Step::Accept {
        parents,
        priority,
        deadline,
        estimate,
    });
    let end = (0usize..40, 0u32..4, any::<bool>());
    let end = end.prop_map(|(job, kind, outcome_seen)| Step::End {
        job,
        cancelled: kind == 0,
        outcome_seen,
    });
    let plan = (0usize..40, 1u32..90).prop_map(|(job, seconds)| Step::Plan { job, seconds });
    prop_oneof![5 => accept, 4 => end, 2 => plan, 2 => Just(Step::Read)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::default() })]
    /// Compares which jobs may start and which are cancelled, and each job's effective priority and
    /// latest finish time.
    #[test]
    fn graph_agrees_with_the_model(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut model, mut real) = (Model::default(), GraphUnderTest::default());
        for step in &steps {
            match step {
                Step::Accept { .. } => accept(&mut model, &mut real, step),
                Step::End { job, cancelled, outcome_seen } => {
                    end(&mut model, &mut real, *job, *cancelled, *outcome_seen);
                }
                Step::Read => read(&model, &mut real),
                Step::Plan { job, seconds } => {
                    let job = job % model.jobs.len().max(1);
                    if real.graph.contains(&id(job)) {
                        model.jobs[job].predicted = f64::from(*seconds);
                        let plan = PlanRecord {
                            type_name: None,
                            machines: Vec::new(),
                            predicted_s: f64::from(*seconds),
                            placement_group_job: None,
                        };
                        real.graph.set_plan(&id(job), plan);
                    }
                }
            }
            release_and_cancel(&mut model, &mut real);
            compare(&model, &real);
        }
        read(&model, &mut real);
        release_and_cancel(&mut model, &mut real);
        compare(&model, &real);
        // No blocked job may start or has to be cancelled.
        for (job, model_job) in model.jobs.iter().enumerate() {
            let is_blocked = model_job.state == ModelState::Blocked;
            prop_assert!(!is_blocked || (!model.may_start(job) && !model.must_be_cancelled(job)));
        }
        // The graph keeps no state of jobs without dependents.
        if real.graph.len() == 0 {
            let kept = (&real.graph.dependents, &real.graph.inherited, &real.graph.outcomes);
            prop_assert!(kept.0.is_empty() && kept.1.is_empty() && kept.2.is_empty());
        }
    }
}

/// Guards against quadratic cost. The deadline of the last job of a chain of thousands must be
/// propagated along the chain only once, and adding one of thousands of dependents of the same job
/// must not iterate over the others.
#[test]
fn urgency_and_outcome_reach_thousands_of_dependents() {
    const JOBS: usize = 5000;
    let mut real = GraphUnderTest::default();
    let job = |parents: Vec<usize>, deadline| ModelJob {
        parents,
        priority: Priority::Low,
        deadline,
        predicted: 10.0,
        state: ModelState::Blocked,
    };
    let first = ModelJob {
        state: ModelState::Live,
        ..job(Vec::new(), None)
    };
    real.accept(0, &first);
    for n in 1..JOBS {
        real.accept(n, &job(vec![n - 1], None));
    }
    real.accept(JOBS, &job(vec![JOBS - 1], Some(1e6)));
    let urgency = real.graph.inherited(&id(0)).expect("inherited");
    let before = 10_000 * JOBS as u64;
    assert_eq!(urgency.finish_by, Some(UnixTime(1_000_000_000 - before)));
    for n in 0..JOBS {
        real.accept(JOBS + 1 + n, &job(vec![0], Some(1e6)));
    }
    assert_eq!(real.graph.descendants(&id(0)).len(), 2 * JOBS);
    real.remove(0);
    real.graph.record_outcome(&id(0), JobOutcome::Done);
    assert_eq!(real.graph.ready().count(), JOBS + 1);
}
