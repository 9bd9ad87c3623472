//! Simulated runs with every pair of faults, and a search through many seeds of each pair.

use super::{
    SINGLE_FAULTS, assert_invariants_hold, assert_invariants_hold_on_seeds, run_simulation,
};
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;

/// Returns every pair of faults and its name, for example "cuts and copies". Test messages and the
/// digest lines of `digests.rs` print the name.
pub(super) fn fault_pairs() -> Vec<(String, Faults)> {
    let mut pairs = Vec::new();
    for (i, (first_name, add_first)) in SINGLE_FAULTS.iter().enumerate() {
        for (second_name, add_second) in &SINGLE_FAULTS[i + 1..] {
            let mut faults = Faults::default();
            add_first(&mut faults);
            add_second(&mut faults);
            pairs.push((format!("{first_name} and {second_name}"), faults));
        }
    }
    pairs
}

/// Each pair has a seed of its own, so that the pairs do not all run with the same workload.
#[test]
fn invariants_hold_under_each_pair_of_faults() {
    for (seed, (name, faults)) in (300..).zip(fault_pairs()) {
        assert_invariants_hold_on_seeds(&name, seed..seed + 1, faults);
    }
}

/// The first seed of the search through pairs.
const FIRST_SEARCH_SEED: u64 = 10_000;
/// The number of consecutive seeds that the search runs for each pair.
const SEEDS_PER_PAIR: u64 = 20;

/// Guards against a gang that waits forever: idle spot machines, which the gang must not use, held
/// all capacity of the simulated cloud, and idle machines were not returned while a job waited.
#[test]
fn idle_spot_machines_are_returned_when_a_gang_needs_their_capacity() {
    assert_invariants_hold_on_search_seed(10_999, "cuts and copies");
}

/// With some of these seeds, duplicate transactions restore the records of deleted machines. With
/// another, controllers pause while a machine receives nothing. The checks of the search used to
/// report these cases as violations.
#[test]
fn invariants_hold_on_seeds_that_failed_in_earlier_searches() {
    for seed in [10_832, 10_835, 10_837, 10_838] {
        assert_invariants_hold_on_search_seed(seed, "machines and repeats");
    }
    assert_invariants_hold_on_search_seed(11_335, "deaf and freezes");
    for seed in [11_366, 11_368] {
        assert_invariants_hold_on_search_seed(seed, "deaf and repeats");
    }
    assert_invariants_hold_on_search_seed(12_516, "zone and repeats");
}

/// Machines are deleted while there is no leader. Removing their records takes longest in this case.
#[test]
fn records_of_machines_deleted_without_a_leader_are_removed() {
    assert_invariants_hold_on_search_seed(12_045, "flaps and gap");
    assert_invariants_hold_on_search_seed(12_839, "gap and away");
}

/// Repeats the run of one seed of the search and asserts that the invariants hold. `expected_name` is
/// the name of the pair that the seed belongs to.
fn assert_invariants_hold_on_search_seed(seed: u64, expected_name: &str) {
    let pair_index = (seed - FIRST_SEARCH_SEED) / SEEDS_PER_PAIR;
    let (name, faults) = fault_pairs()
        .into_iter()
        .nth(pair_index as usize)
        .expect("a pair");
    assert_eq!(name, expected_name);
    let cluster = run_simulation(seed, faults, DisabledGuard::None);
    assert_invariants_hold(&cluster, &format!("{name}, seed {seed}"));
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn search_many_seeds_of_each_pair_of_faults() {
    let mut failures = Vec::new();
    for (pair_index, (name, faults)) in (0..).zip(fault_pairs()) {
        let first_seed = FIRST_SEARCH_SEED + SEEDS_PER_PAIR * pair_index;
        for seed in first_seed..first_seed + SEEDS_PER_PAIR {
            let cluster = run_simulation(seed, faults, DisabledGuard::None);
            let (pending, unfinished) = (&cluster.pending_cancellations, cluster.unfinished_jobs());
            if !cluster.observed.violations.is_empty()
                || !pending.is_empty()
                || !unfinished.is_empty()
            {
                let first_violation = cluster.observed.violations.first();
                failures.push(format!(
                    "{name}, seed {seed}: {first_violation:?} {pending:?} {unfinished:?}"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn search_many_seeds_of_all_faults() {
    assert_invariants_hold_on_seeds("all", 1000..1200, Faults::ALL_SINGLE_FAULTS);
}
