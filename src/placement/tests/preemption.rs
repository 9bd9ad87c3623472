//! How much room lower work makes for arrays, and how soon.

use super::*;

/// Teams without limits, and machines that idle work fills.
fn full_of_idle_work(machines: u32) -> Scene {
    let mut scene = Scene::new();
    for team in scene.config.teams.values_mut() {
        *team = crate::config::Team::new(Amounts::default(), Amounts::default());
    }
    scene.scheduler = Scheduler::new(&scene.config);
    scene.scheduler.wall = Wall(901_000);
    let idle = scene.job(1, |s| {
        s.priority = Priority::Low;
        s.tasks = 4 * machines;
    });
    for n in 0..machines {
        let runs: Vec<_> = (0..4)
            .map(|i| (&idle, 4 * n + i, u64::from(4 * n + i)))
            .collect();
        scene.machine(n, "a", false, &runs);
    }
    scene
}

fn array(scene: &mut Scene, n: u32, tasks: u32) -> JobSpec {
    scene.job(n, |s| s.tasks = tasks)
}

/// On a fleet full of idle work short arrays waited 20 to 30 s for room: stops under way used up
/// the looks of every later pass (Altamaha dredging, steady, first minute).
#[test]
fn a_pass_makes_room_for_many_tasks_whatever_is_coming_already() {
    let mut scene = full_of_idle_work(30);
    array(&mut scene, 2, 50);
    assert_eq!(scene.drive().1.len(), 50);
    assert!(scene.drive().1.is_empty(), "their room is coming");
    array(&mut scene, 3, 40);
    assert_eq!(scene.drive().1.len(), 40, "beside what is coming");
}

#[test]
fn no_more_is_stopped_than_makes_room() {
    let mut scene = full_of_idle_work(3);
    scene.job(2, |s| {
        s.tasks = 3;
        s.cpus = 3.0;
    });
    // Two idle tasks of 2 CPUs for the first of 3, one more for the second.
    let stops = scene.drive().1;
    assert_eq!(stops.len(), 5);
}

/// Room that is kept for replicas is no room for arrays: looked at as such it hid the idle work
/// that stood beside it.
#[test]
fn lower_work_beside_room_for_replicas_gives_way_too() {
    let mut scene = full_of_idle_work(1);
    let service = scene.job(2, |s| {
        s.kind = Kind::Service;
        s.priority = Priority::Production;
        s.tasks = 1;
        s.cpus = 1.0;
    });
    let idle = scene.job(3, |s| {
        s.priority = Priority::Low;
        s.tasks = 1;
    });
    scene.machine(7, "a", false, &[(&service, 0, 900), (&idle, 0, 901)]);
    // Two spare replicas of 1 CPU are kept there: of 8 CPUs 3 are free for others.
    array(&mut scene, 4, 6);
    let (allotments, stops) = scene.drive();
    let given: usize = allotments.iter().map(|a| a.runs.len()).sum();
    assert_eq!(given, 1);
    assert_eq!(stops.len(), 5);
    assert!(stops.iter().any(|run| run.task.job == idle.id));
}
