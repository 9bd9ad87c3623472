//! What is stopped for others, and before interruptions.

use super::scene::{NOW, Scene, StepOutcome, TERM};
use crate::config::TeamQuota;
use crate::ids::{JobId, Millis, Resources, UnixTime};
use crate::peers::Message;
use crate::placement::{Effect, Scheduler};
use crate::protocol::{JobKind, JobSpec, Priority};
use std::collections::BTreeMap;

#[test]
fn only_tasks_with_checkpoints_are_stopped_before_an_interruption() {
    let mut scene = Scene::new();
    let saving = scene.job(1, |s| {
        s.tasks = 1;
        s.checkpoint_interval_s = 10.0;
        s.checkpoint_duration_s = 3.0;
    });
    let plain = scene.job(2, |s| s.tasks = 1);
    let id = scene.machine(1, "a", true, &[(&saving, 0, 1), (&plain, 0, 2)]);
    let mut noticed = scene.health(&id);
    noticed.until_interruption = Some(Millis(3500));
    scene
        .scheduler
        .on_health(NOW, vec![noticed.clone()], &scene.cache);
    assert!(scene.step().stops.is_empty(), "too late to save");
    noticed.until_interruption = Some(Millis(8000));
    scene.scheduler.on_health(NOW, vec![noticed], &scene.cache);
    let stops = scene.step().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].task.job, saving.id);
}

/// Team blue uses borrowed quota: 8 CPUs are guaranteed to red, 16 to blue, and blue has 24 placed.
fn borrowing() -> Scene {
    let mut scene = Scene::new();
    let blue = scene.job(1, |s| {
        s.team = "blue".into();
        s.tasks = 12;
    });
    for m in 0..3 {
        let attempts: Vec<_> = (0..4)
            .map(|i| (&blue, m * 4 + i, u64::from(m * 4 + i)))
            .collect();
        scene.machine(m, "a", false, &attempts);
    }
    scene
}

#[test]
fn only_lower_priority_and_borrowed_quota_are_preempted() {
    let mut scene = borrowing();
    assert!(scene.step().stops.is_empty());
    let red = scene.job(2, |s| s.tasks = 1);
    assert!(scene.step().stops.is_empty(), "too late to be prompt");
    scene.scheduler.unix_time = UnixTime(907_000);
    let stops = scene.step().stops;
    assert_eq!(stops.len(), 1, "red is within its guarantee, blue beyond");
    assert!(
        scene.step().stops.is_empty(),
        "nothing is preempted twice for the same demand"
    );

    // Without its image on a machine a start could not be prompt anyway.
    let mut scene = borrowing();
    scene.job(2, |s| {
        s.tasks = 1;
        s.image = "another".into();
    });
    scene.scheduler.unix_time = UnixTime(907_000);
    assert!(scene.step().stops.is_empty());

    // The same team's work of the same priority is not preempted.
    let mut scene = Scene::new();
    let first = scene.job(1, |s| s.tasks = 4);
    let attempts: Vec<_> = (0..4).map(|i| (&first, i, u64::from(i))).collect();
    scene.machine(1, "a", false, &attempts);
    scene.job(2, |s| s.tasks = 1);
    assert!(scene.step().stops.is_empty());
    scene.job(3, |s| {
        s.tasks = 1;
        s.priority = Priority::High;
    });
    let stops = scene.step().stops;
    assert_eq!(stops.len(), 1);
    assert_eq!(
        stops[0].task.index, 3,
        "the latest start has run for the shortest time"
    );
    assert_eq!(red.tasks, 1);
}

/// Teams without limits, and machines that idle work fills.
fn full_of_idle_work(machines: u32) -> Scene {
    let mut scene = Scene::new();
    for team in scene.config.teams.values_mut() {
        *team = TeamQuota::new(Resources::default(), Resources::default());
    }
    scene.scheduler = Scheduler::new(&scene.config);
    scene.scheduler.unix_time = UnixTime(901_000);
    let idle = scene.job(1, |s| {
        s.priority = Priority::Low;
        s.tasks = 4 * machines;
    });
    for n in 0..machines {
        let attempts: Vec<_> = (0..4)
            .map(|i| (&idle, 4 * n + i, u64::from(4 * n + i)))
            .collect();
        scene.machine(n, "a", false, &attempts);
    }
    scene
}

fn array(scene: &mut Scene, n: u32, tasks: u32) -> JobSpec {
    scene.job(n, |s| s.tasks = tasks)
}

/// On a fleet full of idle work short arrays must not wait for many passes: stops under way once
/// used up the machine scans of every later pass (Altamaha dredging, steady, first minute).
#[test]
fn one_pass_preempts_for_many_tasks_whatever_is_coming_free() {
    let mut scene = full_of_idle_work(30);
    array(&mut scene, 2, 50);
    assert_eq!(scene.step().stops.len(), 50);
    assert!(
        scene.step().stops.is_empty(),
        "their resources are coming free"
    );
    array(&mut scene, 3, 40);
    assert_eq!(scene.step().stops.len(), 40, "beside what is coming free");
}

#[test]
fn preemption_stops_no_more_than_it_needs() {
    let mut scene = full_of_idle_work(3);
    scene.job(2, |s| {
        s.tasks = 3;
        s.cpus = 3.0;
    });
    // Two idle tasks of 2 CPUs for the first of 3, one more for the second.
    let stops = scene.step().stops;
    assert_eq!(stops.len(), 5);
}

/// The replica reserve is not free for arrays: counted as such it would hide the idle work beside
/// it.
#[test]
fn lower_work_beside_the_replica_reserve_is_preempted() {
    let mut scene = full_of_idle_work(1);
    let service = scene.job(2, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Production;
        s.tasks = 1;
        s.cpus = 1.0;
    });
    let idle = scene.job(3, |s| {
        s.priority = Priority::Low;
        s.tasks = 1;
    });
    scene.machine(7, "a", false, &[(&service, 0, 900), (&idle, 0, 901)]);
    // Two spare replicas of 1 CPU are provided for there: of 8 CPUs 3 are free for others.
    array(&mut scene, 4, 6);
    let StepOutcome { allotments, stops } = scene.step();
    let given: usize = allotments.iter().map(|a| a.attempts.len()).sum();
    assert_eq!(given, 1);
    assert_eq!(stops.len(), 5);
    assert!(stops.iter().any(|attempt| attempt.task.job == idle.id));
}

/// A task with a checkpoint is stopped with the time that saving takes, any other at once.
#[test]
fn preempted_tasks_get_their_checkpoint_time() {
    let mut scene = full_of_idle_work(1);
    let saving = scene.job(2, |s| {
        s.priority = Priority::Low;
        s.tasks = 4;
        s.checkpoint_interval_s = 15.0;
        s.checkpoint_duration_s = 4.0;
    });
    let attempts: Vec<_> = (0..4).map(|i| (&saving, i, u64::from(100 + i))).collect();
    scene.machine(5, "a", false, &attempts);
    array(&mut scene, 3, 8);
    let mut out = Vec::new();
    scene.scheduler.step(NOW, TERM, &scene.cache, &mut out);
    let mut graces: BTreeMap<JobId, Vec<Millis>> = BTreeMap::new();
    for effect in out {
        if let Effect::ToShardOwner(_, message) = effect
            && let Message::Stop { attempt, grace, .. } = *message
        {
            graces.entry(attempt.task.job).or_default().push(grace);
        }
    }
    assert_eq!(graces[&saving.id], [Millis(4000); 4]);
    assert_eq!(graces[&JobId::from("job-000001")], [Millis(0); 4]);
}

/// With few record changes left preemption starts nothing sooner, and what is stopped has to be
/// placed again with changes that are lacking (Tramite next, rollout: a fifth of all tasks).
#[test]
fn arrays_do_not_preempt_while_record_changes_are_scarce() {
    let stops_at = |changes: f64| {
        let mut scene = full_of_idle_work(20);
        scene.scheduler.set_store_write_rate(changes);
        for n in 100..103 {
            scene.machine(n, "a", false, &[]);
        }
        array(&mut scene, 2, 50);
        let StepOutcome { allotments, stops } = scene.step();
        let given: usize = allotments.iter().map(|a| a.attempts.len()).sum();
        (given, stops.len())
    };
    assert_eq!(stops_at(40.0), (12, 38));
    assert_eq!(stops_at(1.0), (4, 0));
    // What must run at once preempts all the same.
    let mut scene = full_of_idle_work(20);
    scene.scheduler.set_store_write_rate(1.0);
    for n in 100..103 {
        scene.machine(n, "a", false, &[]);
    }
    array(&mut scene, 2, 50);
    scene.job(3, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Low;
        s.tasks = 1;
        s.cpus = 8.0;
    });
    scene.job(4, |s| {
        s.kind = JobKind::Service;
        s.priority = Priority::Production;
        s.tasks = 4;
        s.cpus = 8.0;
    });
    assert!(!scene.step().stops.is_empty());
}
