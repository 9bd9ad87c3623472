//! Random loads: the generated parameters, and the checks of the outcome.

use crate::api::tests::busy_cluster::{CONTROLLERS, Load};
use crate::api::tests::users::{Scenario, UserRequest, run_requests_about_ended_jobs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const SEARCH_THREADS: usize = 3;

const ALL_REQUESTS: [UserRequest; 7] = [
    UserRequest::Poll,
    UserRequest::Resubmission,
    UserRequest::IncompleteResubmission,
    UserRequest::InfeasibleResubmission,
    UserRequest::Cancellation,
    UserRequest::DependentSubmission,
    UserRequest::FinalStateLookup,
];

/// Runs all kinds of requests under a load generated from the seed: placements that use from a
/// third of the request rate to more than all of it, a slow store, short outages.
pub(super) fn run_random_load(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let load = Load {
        placement_interval: Duration::from_millis(random.random_range(14..60)),
        store_latency: Duration::from_millis(random.random_range(1..40)),
        outage_fraction: [0.0, random.random_range(0.0..0.3)][random.random_range(0..2)],
        ..Load::default()
    };
    let ended_jobs = random.random_range(1..500);
    let outcome = run_requests_about_ended_jobs(load, &ALL_REQUESTS, ended_jobs);
    let context = format!("seed {seed}: {load:?}, {ended_jobs} jobs,");
    outcome.assert_answered(ended_jobs, &context);
}

/// Runs a wider range of loads than `run_random_load`: up to 3,000 ended jobs among others that
/// nobody requests, cancellations of live jobs, a controller that the store refuses, and a restart
/// of all controllers.
pub(super) fn run_wide_random_load(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let load = Load {
        placement_interval: Duration::from_millis(random.random_range(14..60)),
        store_latency: Duration::from_millis(random.random_range(1..40)),
        outage_fraction: [0.0, random.random_range(0.0..0.3)][random.random_range(0..2)],
        refused_controller: [None, Some(random.random_range(0..CONTROLLERS))]
            [random.random_range(0..2)],
    };
    let restart_at = Duration::from_secs(random.random_range(20..70));
    let scenario = Scenario {
        load,
        requests: &ALL_REQUESTS,
        ended_jobs: random.random_range(1..=3000),
        unqueried_between: random.random_range(0..7),
        cancelled_jobs: random.random_range(0..100),
        restart_at: [None, Some(restart_at)][random.random_range(0..2)],
    };
    let outcome = scenario.run();
    let context = format!("wide seed {seed}: {scenario:?},");
    outcome.assert_answered(scenario.ended_jobs, &context);
    assert_eq!(
        outcome.cancelled.answered, scenario.cancelled_jobs,
        "{context} {outcome:?}"
    );
}

/// Runs many seeds, three at a time, and fails with the messages of all failed runs.
pub(super) fn run_seeds(seeds: Range<u64>, run: fn(u64)) {
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
                    if let Err(panic) = std::panic::catch_unwind(|| run(seed)) {
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
