//! Prints digests of simulated runs, so that two versions of the program can be compared.
//!
//! Run `cargo test digests_of -- --ignored --nocapture | grep -o 'digest .*outputs' | sort` before
//! and after a change that must not alter the program's behaviour, and compare the output.

use super::{SINGLE_FAULTS, run_simulation_with_size};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::faults::Faults;
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::{ClusterSize, FIVE_CONTROLLERS, THREE_CONTROLLERS};

/// The simulated time at which runs with dependent jobs end, in ms from the start.
const DEPENDENT_RUN_END_MS: u64 = 340_000;

fn print_digest(name: &str, seed: u64, cluster: &SimulatedCluster) {
    let digest = &cluster.digest;
    let (value, outputs) = (digest.value(), digest.outputs());
    println!("digest {name} {seed}: {value:016x} of {outputs} outputs");
}

fn run_and_print_digest(name: &str, size: ClusterSize, seed: u64, faults: Faults) {
    let mut cluster = run_simulation_with_size(size, seed, faults, DisabledGuard::None);
    if faults.dependent_jobs {
        cluster.run_until(DEPENDENT_RUN_END_MS);
    }
    print_digest(name, seed, &cluster);
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_quiet_days_and_single_faults() {
    for seed in 700..706 {
        run_and_print_digest("quiet", THREE_CONTROLLERS, seed, Faults::default());
    }
    for (seed, (name, add_fault)) in (1000..).step_by(4).zip(SINGLE_FAULTS) {
        let mut faults = Faults::default();
        add_fault(&mut faults);
        for seed in seed..seed + 4 {
            run_and_print_digest(name, THREE_CONTROLLERS, seed, faults);
        }
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_days_with_dependent_jobs() {
    for (seed, (name, add_fault)) in (1500..).zip(SINGLE_FAULTS) {
        let mut faults = Faults {
            dependent_jobs: true,
            ..Faults::default()
        };
        add_fault(&mut faults);
        run_and_print_digest(
            &format!("{name} with pipelines"),
            THREE_CONTROLLERS,
            seed,
            faults,
        );
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_pairs_of_faults() {
    for (seed, (name, faults)) in (2000..).zip(super::pairs::fault_pairs()) {
        run_and_print_digest(&name, THREE_CONTROLLERS, seed, faults);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_all_faults_and_upgrades() {
    let partitioned = Faults {
        zone_partition: true,
        ..Faults::ALL_SINGLE_FAULTS
    };
    let upgraded = Faults {
        dependent_jobs: true,
        rolling_upgrade: true,
        lowered_store_limits: true,
        ..Faults::NONE
    };
    for seed in 720..726 {
        run_and_print_digest("all", THREE_CONTROLLERS, seed, Faults::ALL_SINGLE_FAULTS);
        run_and_print_digest("all at five", FIVE_CONTROLLERS, seed, partitioned);
        run_and_print_digest("upgrade and limits", THREE_CONTROLLERS, seed, upgraded);
        run_and_print_digest("upgrade at five", FIVE_CONTROLLERS, seed, upgraded);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_large_fleets() {
    for (seed, machines) in [(7, (300, 900)), (8, (120, 120)), (9, (1200, 1800))] {
        let mut cluster = SimulatedCluster::with_large_fleet(seed, machines, 50.0, 500);
        cluster.run_until(45_000);
        print_digest("grown", seed, &cluster);
    }
}
