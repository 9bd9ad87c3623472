//! Tests of preemption for other jobs and before interruptions.

use super::test_cluster::{NOW, StepOutcome, TERM, TestCluster};
use crate::config::TeamQuota;
use crate::ids::{JobId, Millis, Resources, UnixTime};
use crate::peers::Message;
use crate::placement::{Effect, Scheduler};
use crate::protocol::{JobKind, JobSpec, Priority};
use std::collections::BTreeMap;

#[test]
fn only_tasks_with_checkpoints_are_stopped_before_an_interruption() {
    let mut cluster = TestCluster::new();
    let with_checkpoint = cluster.add_job(1, |s| {
        s.tasks = 1;
        s.checkpoint_interval_s = 10.0;
        s.checkpoint_duration_s = 3.0;
    });
    let without_checkpoint = cluster.add_job(2, |s| s.tasks = 1);
    let id = cluster.add_machine(
        1,
        "a",
        true,
        &[(&with_checkpoint, 0, 1), (&without_checkpoint, 0, 2)],
    );
    let mut interrupted = cluster.healthy_report(&id);
    interrupted.until_interruption = Some(Millis(3500));
    cluster
        .scheduler
        .on_health(NOW, vec![interrupted.clone()], &cluster.cache);
    assert!(
        cluster.run_step().stops.is_empty(),
        "no time left to save a checkpoint"
    );
    interrupted.until_interruption = Some(Millis(8000));
    cluster
        .scheduler
        .on_health(NOW, vec![interrupted], &cluster.cache);
    let stops = cluster.run_step().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].task.job, with_checkpoint.id);
}

/// Returns a cluster on which team blue uses borrowed quota: 8 CPUs are guaranteed to red and 16 to
/// blue, and blue has 24 placed.
fn cluster_with_borrowed_quota() -> TestCluster {
    let mut cluster = TestCluster::new();
    let blue = cluster.add_job(1, |s| {
        s.team = "blue".into();
        s.tasks = 12;
    });
    for m in 0..3 {
        let attempts: Vec<_> = (0..4)
            .map(|i| (&blue, m * 4 + i, u64::from(m * 4 + i)))
            .collect();
        cluster.add_machine(m, "a", false, &attempts);
    }
    cluster
}

#[test]
fn only_lower_priority_and_borrowed_quota_are_preempted() {
    let mut cluster = cluster_with_borrowed_quota();
    assert!(cluster.run_step().stops.is_empty());
    let red = cluster.add_job(2, |s| s.tasks = 1);
    assert!(
        cluster.run_step().stops.is_empty(),
        "the job has waited too long for a prompt start"
    );
    cluster.scheduler.unix_time = UnixTime(907_000);
    let stops = cluster.run_step().stops;
    assert_eq!(
        stops.len(),
        1,
        "red is within its guarantee, blue exceeds its own"
    );
    assert!(
        cluster.run_step().stops.is_empty(),
        "nothing is preempted twice for the same demand"
    );

    // No machine has the image, so preemption could not make the start prompt.
    let mut cluster = cluster_with_borrowed_quota();
    cluster.add_job(2, |s| {
        s.tasks = 1;
        s.image = "another".into();
    });
    cluster.scheduler.unix_time = UnixTime(907_000);
    assert!(cluster.run_step().stops.is_empty());

    // Tasks of the same team and priority are not preempted.
    let mut cluster = TestCluster::new();
    let first = cluster.add_job(1, |s| s.tasks = 4);
    let attempts: Vec<_> = (0..4).map(|i| (&first, i, u64::from(i))).collect();
    cluster.add_machine(1, "a", false, &attempts);
    cluster.add_job(2, |s| s.tasks = 1);
    assert!(cluster.run_step().stops.is_empty());
    cluster.add_job(3, |s| {
        s.tasks = 1;
        s.priority = Priority::High;
    });
    let stops = cluster.run_step().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(
        stops[0].task.index, 3,
        "the latest start has run for the shortest time"
    );
    assert_eq!(red.tasks, 1);
}

/// Returns a cluster whose machines are full of low-priority tasks, and whose teams have no limits.
fn cluster_full_of_low_priority_tasks(machines: u32) -> TestCluster {
    let mut cluster = TestCluster::new();
    for team in cluster.config.teams.values_mut() {
        *team = TeamQuota::new(Resources::default(), Resources::default());
    }
    cluster.scheduler = Scheduler::new(&cluster.config);
    cluster.scheduler.unix_time = UnixTime(901_000);
    let low_priority = cluster.add_job(1, |s| {
        s.priority = Priority::Low;
        s.tasks = 4 * machines;
    });
    for n in 0..machines {
        let attempts: Vec<_> = (0..4)
            .map(|i| (&low_priority, 4 * n + i, u64::from(4 * n + i)))
            .collect();
        cluster.add_machine(n, "a", false, &attempts);
    }
    cluster
}

fn add_array(cluster: &mut TestCluster, n: u32, tasks: u32) -> JobSpec {
    cluster.add_job(n, |s| s.tasks = tasks)
}

/// Guards against short arrays waiting for many passes on a fleet full of low-priority tasks. Stops
/// in progress must not use up the machine scans of later passes.
#[test]
fn one_pass_preempts_for_many_tasks_while_earlier_stops_are_pending() {
    let mut cluster = cluster_full_of_low_priority_tasks(30);
    add_array(&mut cluster, 2, 50);
    assert_eq!(cluster.run_step().stops.len(), 50);
    assert!(
        cluster.run_step().stops.is_empty(),
        "the earlier stops free enough resources"
    );
    add_array(&mut cluster, 3, 40);
    assert_eq!(
        cluster.run_step().stops.len(),
        40,
        "in addition to the resources being freed"
    );
}

#[test]
fn preemption_stops_no_more_than_it_needs() {
    let mut cluster = cluster_full_of_low_priority_tasks(3);
    cluster.add_job(2, |s| {
        s.tasks = 3;
        s.cpus = 3.0;
    });
    // The first task of 3 CPUs needs two low-priority tasks of 2 CPUs to stop, the second one more.
    let stops = cluster.run_step().stops;
    assert_eq!(stops.len(), 5);
}

/// Guards against counting the replica reserve as free capacity for arrays: the array would then
/// preempt none of the low-priority tasks on the same machine.
#[test]
fn low_priority_tasks_beside_the_replica_reserve_are_preempted() {
    let mut cluster = cluster_full_of_low_priority_tasks(1);
    let service = cluster.add_job(2, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Production;
        s.tasks = 1;
        s.cpus = 1.0;
    });
    let low_priority = cluster.add_job(3, |s| {
        s.priority = Priority::Low;
        s.tasks = 1;
    });
    cluster.add_machine(
        7,
        "a",
        false,
        &[(&service, 0, 900), (&low_priority, 0, 901)],
    );
    // Capacity for two further replicas of 1 CPU is reserved there, so 3 of 8 CPUs are free for
    // others.
    add_array(&mut cluster, 4, 6);
    let StepOutcome { allotments, stops } = cluster.run_step();
    let allotted: usize = allotments.iter().map(|a| a.attempts.len()).sum();
    assert_eq!(allotted, 1);
    assert_eq!(stops.len(), 5);
    assert!(
        stops
            .iter()
            .any(|attempt| attempt.task.job == low_priority.id)
    );
}

/// A task with a checkpoint is stopped with the time that saving takes, any other task at once.
#[test]
fn preempted_tasks_get_their_checkpoint_time() {
    let mut cluster = cluster_full_of_low_priority_tasks(1);
    let with_checkpoint = cluster.add_job(2, |s| {
        s.priority = Priority::Low;
        s.tasks = 4;
        s.checkpoint_interval_s = 15.0;
        s.checkpoint_duration_s = 4.0;
    });
    let attempts: Vec<_> = (0..4)
        .map(|i| (&with_checkpoint, i, u64::from(100 + i)))
        .collect();
    cluster.add_machine(5, "a", false, &attempts);
    add_array(&mut cluster, 3, 8);
    let mut out = Vec::new();
    cluster.scheduler.step(NOW, TERM, &cluster.cache, &mut out);
    let mut graces: BTreeMap<JobId, Vec<Millis>> = BTreeMap::new();
    for effect in out {
        if let Effect::ToShardOwner(_, message) = effect
            && let Message::Stop { attempt, grace, .. } = *message
        {
            graces.entry(attempt.task.job).or_default().push(grace);
        }
    }
    assert_eq!(graces[&with_checkpoint.id], [Millis(4000); 4]);
    assert_eq!(graces[&JobId::from("job-000001")], [Millis(0); 4]);
}

/// Guards against preemption for arrays while the budget of record writes is nearly exhausted. It
/// starts no task sooner, and the preempted tasks need further writes to be placed again. This once
/// affected a fifth of all tasks.
#[test]
fn arrays_do_not_preempt_while_record_writes_are_scarce() {
    let stops_at = |writes_per_s: f64| {
        let mut cluster = cluster_full_of_low_priority_tasks(20);
        cluster.scheduler.set_store_write_rate(writes_per_s);
        for n in 100..103 {
            cluster.add_machine(n, "a", false, &[]);
        }
        add_array(&mut cluster, 2, 50);
        let StepOutcome { allotments, stops } = cluster.run_step();
        let allotted: usize = allotments.iter().map(|a| a.attempts.len()).sum();
        (allotted, stops.len())
    };
    assert_eq!(stops_at(40.0), (12, 38));
    assert_eq!(stops_at(1.0), (4, 0));
    // Services preempt even when record writes are scarce.
    let mut cluster = cluster_full_of_low_priority_tasks(20);
    cluster.scheduler.set_store_write_rate(1.0);
    for n in 100..103 {
        cluster.add_machine(n, "a", false, &[]);
    }
    add_array(&mut cluster, 2, 50);
    cluster.add_job(3, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Low;
        s.tasks = 1;
        s.cpus = 8.0;
    });
    cluster.add_job(4, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Production;
        s.tasks = 4;
        s.cpus = 8.0;
    });
    assert!(!cluster.run_step().stops.is_empty());
}
