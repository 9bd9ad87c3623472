//! Random loads: the generated parameters, and the checks of the outcome.

use crate::api::tests::busy_cluster::{CONTROLLERS, Load};
use crate::api::tests::users::{Question, Scenario, ask_about_ended_jobs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const SEARCH_THREADS: usize = 3;

const ALL_QUESTIONS: [Question; 7] = [
    Question::Poll,
    Question::RepeatedSubmission,
    Question::IncompleteRepetition,
    Question::InfeasibleRepetition,
    Question::Cancellation,
    Question::DependentSubmission,
    Question::FinalOutcome,
];

/// Runs all kinds of requests under a load generated from the seed: placements that use from a
/// third of the request rate to more than all of it, a slow store, short outages.
pub(super) fn soak(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let load = Load {
        placement_interval: Duration::from_millis(random.random_range(14..60)),
        store_latency: Duration::from_millis(random.random_range(1..40)),
        outage_part: [0.0, random.random_range(0.0..0.3)][random.random_range(0..2)],
        ..Load::default()
    };
    let ended_jobs = random.random_range(1..500);
    let outcome = ask_about_ended_jobs(load, &ALL_QUESTIONS, ended_jobs);
    let context = format!("seed {seed}: {load:?}, {ended_jobs} jobs,");
    outcome.assert_answered(ended_jobs, &context);
}

/// Runs a wider range of loads than `soak`: up to 3,000 ended jobs among others that nobody
/// requests, cancellations of live jobs, a controller that the store refuses, and a restart of all
/// controllers.
pub(super) fn soak_widely(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let load = Load {
        placement_interval: Duration::from_millis(random.random_range(14..60)),
        store_latency: Duration::from_millis(random.random_range(1..40)),
        outage_part: [0.0, random.random_range(0.0..0.3)][random.random_range(0..2)],
        refused_controller: [None, Some(random.random_range(0..CONTROLLERS))]
            [random.random_range(0..2)],
    };
    let restart_at = Duration::from_secs(random.random_range(20..70));
    let scenario = Scenario {
        load,
        questions: &ALL_QUESTIONS,
        ended_jobs: random.random_range(1..=3000),
        unasked_between: random.random_range(0..7),
        cancelled_jobs: random.random_range(0..100),
        restart_at: [None, Some(restart_at)][random.random_range(0..2)],
    };
    let outcome = scenario.play();
    let context = format!("wide seed {seed}: {scenario:?},");
    outcome.assert_answered(scenario.ended_jobs, &context);
    assert_eq!(
        outcome.cancelled.answered, scenario.cancelled_jobs,
        "{context} {outcome:?}"
    );
}

/// Runs many seeds, three at a time, and fails with the messages of all failed runs.
pub(super) fn search(seeds: Range<u64>, play: fn(u64)) {
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..SEARCH_THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    if let Err(panic) = std::panic::catch_unwind(|| play(seed)) {
                        let text = panic.downcast::<String>().unwrap_or_default();
                        failures.lock().expect("not poisoned").push(text);
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("not poisoned");
    assert!(
        failures.is_empty(),
        "{} failed: {failures:#?}",
        failures.len()
    );
}
