//! Random loads: what is drawn, and how the outcome is judged.

use crate::api::tests::busy_cluster::Load;
use crate::api::tests::users::{Question, ask_about_ended_jobs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const ALL_QUESTIONS: [Question; 7] = [
    Question::Poll,
    Question::RepeatedSubmission,
    Question::IncompleteRepetition,
    Question::InfeasibleRepetition,
    Question::Cancellation,
    Question::DependentSubmission,
    Question::FinalOutcome,
];

/// All questions, under a load that the seed draws: placements from a third of the requests to more
/// than all, a slow store, short outages.
pub(super) fn soak(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let load = Load {
        placement_interval: Duration::from_millis(random.random_range(14..60)),
        store_latency: Duration::from_millis(random.random_range(1..40)),
        outage_part: [0.0, random.random_range(0.0..0.3)][random.random_range(0..2)],
    };
    let ended_jobs = random.random_range(1..500);
    let outcome = ask_about_ended_jobs(load, &ALL_QUESTIONS, ended_jobs);
    let context = format!("seed {seed}: {load:?}, {ended_jobs} jobs,");
    outcome.assert_answered(ended_jobs, &context);
}
