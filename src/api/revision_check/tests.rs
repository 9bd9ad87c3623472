use crate::api::retries::{MAX_ATTEMPTS, RETRY_DELAY, request_class};
use crate::ids::MonotonicTime;
use crate::store::rate_limiter::RequestClass;
use crate::store::rate_limiter::TokenBucket;

/// Placements use four fifths of the request rate, and users poll thousands of jobs. Every
/// comparison must be admitted within its attempts, so that no job stays without an answer for
/// long.
#[test]
fn polls_are_answered_under_heavy_placement_load() {
    let (max_batch, jobs) = (96, 3000);
    let mut bucket = TokenBucket::new(25.0);
    let mut last_answered = vec![0u64; jobs];
    let mut longest_wait = 0;
    // Comparisons in progress: the time of the next attempt, the number of attempts so far, and the
    // jobs.
    let mut in_progress: Vec<(u64, u32, Vec<usize>)> = Vec::new();
    let mut queued: Vec<usize> = Vec::new();
    for ms in (0..200_000u64).step_by(10) {
        let now = MonotonicTime(ms);
        if ms % 50 == 0 {
            bucket.try_acquire(now, 1.0, RequestClass::Place);
        }
        queued.extend(
            (0..jobs).filter(|job| (*job as u64 * 5000 / jobs as u64) / 10 == ms % 5000 / 10),
        );
        if ms % 150 == 0 && !queued.is_empty() {
            for batch in queued.chunks(max_batch) {
                in_progress.push((ms, 0, batch.to_vec()));
            }
            queued.clear();
        }
        in_progress.retain_mut(|(at, attempt, batch)| {
            if *at > ms {
                return true;
            }
            if bucket.try_acquire(now, 1.0, request_class(*attempt)) {
                for job in batch.iter() {
                    longest_wait = longest_wait.max(ms - last_answered[*job]);
                    last_answered[*job] = ms;
                }
                return false;
            }
            *attempt += 1;
            *at = ms + RETRY_DELAY.as_millis() as u64;
            *attempt < MAX_ATTEMPTS
        });
    }
    let waits = last_answered
        .iter()
        .map(|at| 200_000 - at)
        .max()
        .unwrap_or(0);
    assert!(longest_wait.max(waits) < 75_000, "{longest_wait} {waits}");
}
