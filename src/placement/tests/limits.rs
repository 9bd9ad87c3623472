//! Compares the scheduler's allotments with simple checks of limits and completeness, on random
//! fleets and jobs.

use super::test_cluster::{StepOutcome, TestCluster};
use crate::ids::{MachineId, TaskId};
use crate::peers::Allotment;
use crate::protocol::JobSpec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::collections::{BTreeMap, BTreeSet};

/// The capacity of each machine in milli-CPUs.
const MACHINE_CPUS: u64 = 8000;

type Specs<'a> = BTreeMap<&'a str, &'a JobSpec>;

/// The result of one scheduling step.
struct Allotted<'a> {
    /// The used milli-CPUs of each machine, if each task goes to the first preferred machine.
    by_machine: BTreeMap<MachineId, u64>,
    /// The milli-CPUs that each team uses.
    by_team: BTreeMap<&'a str, u64>,
    tasks: BTreeSet<TaskId>,
}

fn used_by_machine(
    cluster: &TestCluster,
    allotments: &[Allotment],
    specs: &Specs<'_>,
) -> BTreeMap<MachineId, u64> {
    let mut used = BTreeMap::new();
    for (id, machine) in &cluster.cache.machines {
        used.insert(id.clone(), machine.record.used().milli_cpus);
    }
    for allotment in allotments {
        let spec = specs[allotment.attempts[0].task.job.as_str()];
        *used
            .entry(allotment.candidate_machines[0].clone())
            .or_default() += spec.need().milli_cpus * allotment.attempts.len() as u64;
    }
    used
}

/// Checks that no machine is overfilled, no task is offered a machine that its job may not use, and
/// no task is allotted twice.
fn check_allotments<'a>(
    cluster: &TestCluster,
    allotments: &[Allotment],
    specs: &Specs<'a>,
) -> Result<Allotted<'a>, TestCaseError> {
    let by_machine = used_by_machine(cluster, allotments, specs);
    prop_assert!(by_machine.values().all(|used| *used <= MACHINE_CPUS));
    let mut by_team: BTreeMap<&str, u64> = BTreeMap::new();
    let mut tasks = BTreeSet::new();
    for allotment in allotments {
        let spec = specs[allotment.attempts[0].task.job.as_str()];
        for id in &allotment.candidate_machines {
            let record = &cluster.cache.machines[id].record;
            prop_assert!(spec.allows(&record.type_name, &record.zone, record.spot));
            prop_assert_eq!(id.shard(cluster.config.shard_count()), allotment.shard);
        }
        for attempt in &allotment.attempts {
            prop_assert!(tasks.insert(attempt.task.clone()));
            *by_team.entry(spec.team.as_str()).or_default() += spec.need().milli_cpus;
        }
    }
    Ok(Allotted {
        by_machine,
        by_team,
        tasks,
    })
}

/// Checks that a job's team is within its limit, and that no task of the job is left over while a
/// machine and the team's limit have capacity for it.
fn check_job(
    cluster: &TestCluster,
    spec: &JobSpec,
    allotted: &Allotted<'_>,
) -> Result<(), TestCaseError> {
    let limit = cluster.config.teams[&spec.team].limit().milli_cpus;
    let team_used = allotted
        .by_team
        .get(spec.team.as_str())
        .copied()
        .unwrap_or(0);
    prop_assert!(team_used <= limit);
    let placed = allotted.tasks.iter().filter(|t| t.job == spec.id).count();
    if placed < spec.tasks as usize {
        let need = spec.need().milli_cpus;
        let fits_somewhere = cluster.cache.machines.iter().any(|(id, machine)| {
            let record = &machine.record;
            spec.allows(&record.type_name, &record.zone, record.spot)
                && allotted.by_machine[id] + need <= MACHINE_CPUS
        });
        prop_assert!(!fits_somewhere || team_used + need > limit);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]
    /// No machine is overfilled, no task is offered a machine that its job may not use, and no team
    /// exceeds its limit. No task is left over that fits on a machine and within its team's limit
    /// when checked individually.
    #[test]
    fn allotments_keep_all_limits_and_leave_no_task_that_fits(
        machines in proptest::collection::vec((any::<bool>(), any::<bool>()), 1..6),
        jobs in proptest::collection::vec((1u32..8, 1u32..5, any::<bool>(), any::<bool>(), 0u32..3), 1..6),
    ) {
        let mut cluster = TestCluster::new();
        for (n, (zone, spot)) in machines.iter().enumerate() {
            cluster.add_machine(n as u32, if *zone { "a" } else { "b" }, *spot, &[]);
        }
        let mut specs = Vec::new();
        for (n, (tasks, cpus, spot, red, zone)) in jobs.into_iter().enumerate() {
            specs.push(cluster.add_job(n as u32, |s| {
                s.tasks = tasks;
                s.cpus = f64::from(cpus);
                s.allow_spot = spot;
                s.team = if red { "red" } else { "blue" }.into();
                s.zone = [None, Some("a".into()), Some("b".into())][zone as usize].clone();
            }));
        }
        let StepOutcome { allotments, stops } = cluster.run_step();
        prop_assert!(stops.is_empty());
        let by_id: Specs<'_> = specs.iter().map(|s| (s.id.as_str(), s)).collect();
        let allotted = check_allotments(&cluster, &allotments, &by_id)?;
        for spec in &specs {
            check_job(&cluster, spec, &allotted)?;
        }
    }
}
