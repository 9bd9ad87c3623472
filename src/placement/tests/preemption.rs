//! How much room lower work makes for arrays, and how soon.

use super::*;

/// Teams without limits, and machines that idle work fills.
fn full_of_idle_work(machines: u32) -> Scene {
    let mut scene = Scene::new();
    for team in scene.config.teams.values_mut() {
        *team = crate::config::Team::new(Resources::default(), Resources::default());
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

/// On a fleet full of idle work short arrays waited 20 to 30 s for room: stops under way used up
/// the looks of every later pass (Altamaha dredging, steady, first minute).
#[test]
fn a_pass_makes_room_for_many_tasks_whatever_is_coming_already() {
    let mut scene = full_of_idle_work(30);
    array(&mut scene, 2, 50);
    assert_eq!(scene.step().1.len(), 50);
    assert!(scene.step().1.is_empty(), "their room is coming");
    array(&mut scene, 3, 40);
    assert_eq!(scene.step().1.len(), 40, "beside what is coming");
}

#[test]
fn no_more_is_stopped_than_makes_room() {
    let mut scene = full_of_idle_work(3);
    scene.job(2, |s| {
        s.tasks = 3;
        s.cpus = 3.0;
    });
    // Two idle tasks of 2 CPUs for the first of 3, one more for the second.
    let stops = scene.step().1;
    assert_eq!(stops.len(), 5);
}

/// Room that is kept for replicas is no room for arrays: looked at as such it hid the idle work
/// that stood beside it.
#[test]
fn lower_work_beside_room_for_replicas_gives_way_too() {
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
    // Two spare replicas of 1 CPU are kept there: of 8 CPUs 3 are free for others.
    array(&mut scene, 4, 6);
    let (allotments, stops) = scene.step();
    let given: usize = allotments.iter().map(|a| a.attempts.len()).sum();
    assert_eq!(given, 1);
    assert_eq!(stops.len(), 5);
    assert!(stops.iter().any(|attempt| attempt.task.job == idle.id));
}

/// A task that can save is stopped with the time that it needs for that, and no other is.
#[test]
fn idle_work_gets_the_time_to_save() {
    let mut scene = full_of_idle_work(1);
    let saving = scene.job(2, |s| {
        s.priority = Priority::Low;
        s.tasks = 4;
        s.checkpoint_s = 15.0;
        s.save_s = 4.0;
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

/// Gangs wait for machines with cards: work that needs none goes elsewhere while there is room.
#[test]
fn work_without_cards_keeps_off_machines_with_cards_while_there_is_other_room() {
    let mut scene = Scene::new();
    let catalog = json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]},
        {"name": "g8", "cores": 8, "cards": 2, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 9.0,
         "price": 9.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]});
    scene.put(keys::CATALOG.to_owned(), &catalog);
    let plain = scene.machine(1, "a", false, &[]);
    let cards = MachineId::from("vm-0002");
    let record = MachineRecord::new("1.1.1.1:1", &"g8".into(), &"a".into(), false);
    scene.put(keys::machine(&cards), &record);
    let health = scene.health(&cards);
    scene.scheduler.on_health(NOW, vec![health], &scene.cache);
    scene.job(1, |s| {
        s.tasks = 6;
        s.image_gb = 9.0;
    });
    let (allotments, _) = scene.step();
    let on = |id: &MachineId| -> usize {
        let there = allotments.iter().filter(|a| a.preferred[0] == *id);
        there.map(|a| a.attempts.len()).sum()
    };
    assert_eq!(
        (on(&plain), on(&cards)),
        (4, 2),
        "the faster fetch does not draw it there"
    );
}

/// With few changes left a fifth of all tasks was stopped for others that could not be started any
/// sooner, and had to be placed again with changes that were lacking (Tramite next, rollout).
#[test]
fn arrays_stop_nothing_while_there_is_room_that_no_change_can_be_spent_on() {
    let stops_at = |changes: f64| {
        let mut scene = full_of_idle_work(20);
        scene.scheduler.set_change_rate(changes);
        for n in 100..103 {
            scene.machine(n, "a", false, &[]);
        }
        array(&mut scene, 2, 50);
        let (allotments, stops) = scene.step();
        let given: usize = allotments.iter().map(|a| a.attempts.len()).sum();
        (given, stops.len())
    };
    assert_eq!(stops_at(40.0), (12, 38));
    assert_eq!(stops_at(1.0), (4, 0));
    // What must run at once gets its room all the same.
    let mut scene = full_of_idle_work(20);
    scene.scheduler.set_change_rate(1.0);
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
    assert!(!scene.step().1.is_empty());
}
