use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Simulates machines of which the one with the most empty slots gets the next write, as the leader chooses
/// them, and measures the time for which each slot is empty.
#[test]
fn wait_agrees_with_a_simulation_of_empty_slots() {
    let (machines, slots, task_s, writes_per_s) = (300, 16, 40.0, 20.0);
    let (end_s, warm_up_s) = (400.0, 150.0);
    let mut random = StdRng::seed_from_u64(3);
    let mut ends_at = vec![vec![0.0f64; slots]; machines];
    for end in ends_at.iter_mut().flatten() {
        *end = random.random_range(0.0..task_s);
    }
    let (mut waited, mut starts, mut now) = (0.0, 0.0, 0.0);
    while now < end_s {
        now += 1.0 / writes_per_s;
        let empty = |slots: &&mut Vec<f64>| slots.iter().filter(|end| **end <= now).count();
        let emptiest = ends_at.iter_mut().max_by_key(empty).expect("a machine");
        for end in emptiest.iter_mut().filter(|end| **end <= now) {
            if now > warm_up_s {
                waited += now - *end;
                starts += 1.0;
            }
            *end = now + task_s * random.random_range(0.7..1.3);
        }
    }
    let (measured, ends_per_s) = (waited / starts, starts / (end_s - warm_up_s));
    let predicted = wait_s(machines as f64, ends_per_s, writes_per_s);
    assert!(
        (predicted - measured).abs() < 0.1 * measured,
        "{predicted} for {measured}"
    );
}

#[test]
fn wait_is_zero_while_writes_keep_up_with_task_ends() {
    assert_eq!(wait_s(1000.0, 10.0, 10.0), 0.0);
    assert!(wait_s(1000.0, 11.0, 10.0) > 0.0);
}
