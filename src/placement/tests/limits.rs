//! The scheduler against plain checks of what it may and must do, on random fleets and jobs.

use super::scene::{Scene, StepOutcome};
use crate::ids::{MachineId, TaskId};
use crate::peers::Allotment;
use crate::protocol::JobSpec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::collections::{BTreeMap, BTreeSet};

/// The milli-CPUs of each machine.
const MACHINE_CPUS: u64 = 8000;

type Specs<'a> = BTreeMap<&'a str, &'a JobSpec>;

/// What a step has allotted.
struct Allotted<'a> {
    /// The milli-CPUs that are used of each machine, if tasks go to the first one preferred.
    by_machine: BTreeMap<MachineId, u64>,
    /// The milli-CPUs that each team uses.
    by_team: BTreeMap<&'a str, u64>,
    tasks: BTreeSet<TaskId>,
}

fn used_by_machine(
    scene: &Scene,
    allotments: &[Allotment],
    specs: &Specs<'_>,
) -> BTreeMap<MachineId, u64> {
    let mut used = BTreeMap::new();
    for (id, machine) in &scene.cache.machines {
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

/// Nothing is overfilled, put where it may not be, or allotted twice.
fn check_allotments<'a>(
    scene: &Scene,
    allotments: &[Allotment],
    specs: &Specs<'a>,
) -> Result<Allotted<'a>, TestCaseError> {
    let by_machine = used_by_machine(scene, allotments, specs);
    prop_assert!(by_machine.values().all(|used| *used <= MACHINE_CPUS));
    let mut by_team: BTreeMap<&str, u64> = BTreeMap::new();
    let mut tasks = BTreeSet::new();
    for allotment in allotments {
        let spec = specs[allotment.attempts[0].task.job.as_str()];
        for id in &allotment.candidate_machines {
            let record = &scene.cache.machines[id].record;
            prop_assert!(spec.allows(&record.type_name, &record.zone, record.spot));
            prop_assert_eq!(id.shard(scene.config.shard_count()), allotment.shard);
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

/// A job's team is within its limit; and no task of the job is left while some machine and its
/// team could take it.
fn check_job(scene: &Scene, spec: &JobSpec, allotted: &Allotted<'_>) -> Result<(), TestCaseError> {
    let limit = scene.config.teams[&spec.team].limit().milli_cpus;
    let team_used = allotted
        .by_team
        .get(spec.team.as_str())
        .copied()
        .unwrap_or(0);
    prop_assert!(team_used <= limit);
    let placed = allotted.tasks.iter().filter(|t| t.job == spec.id).count();
    if placed < spec.tasks as usize {
        let need = spec.need().milli_cpus;
        let fits_somewhere = scene.cache.machines.iter().any(|(id, machine)| {
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
    /// Nothing is overfilled, put where it may not be, or over its team's limit; and no task is
    /// left while, tried one by one, some machine and its team could take it.
    #[test]
    fn allotments_keep_all_limits_and_leave_no_task_that_fits(
        machines in proptest::collection::vec((any::<bool>(), any::<bool>()), 1..6),
        jobs in proptest::collection::vec((1u32..8, 1u32..5, any::<bool>(), any::<bool>(), 0u32..3), 1..6),
    ) {
        let mut scene = Scene::new();
        for (n, (zone, spot)) in machines.iter().enumerate() {
            scene.machine(n as u32, if *zone { "a" } else { "b" }, *spot, &[]);
        }
        let mut specs = Vec::new();
        for (n, (tasks, cpus, spot, red, zone)) in jobs.into_iter().enumerate() {
            specs.push(scene.job(n as u32, |s| {
                s.tasks = tasks;
                s.cpus = f64::from(cpus);
                s.allow_spot = spot;
                s.team = if red { "red" } else { "blue" }.into();
                s.zone = [None, Some("a".into()), Some("b".into())][zone as usize].clone();
            }));
        }
        let StepOutcome { allotments, stops } = scene.step();
        prop_assert!(stops.is_empty());
        let by_id: Specs<'_> = specs.iter().map(|s| (s.id.as_str(), s)).collect();
        let allotted = check_allotments(&scene, &allotments, &by_id)?;
        for spec in &specs {
            check_job(&scene, spec, &allotted)?;
        }
    }
}
