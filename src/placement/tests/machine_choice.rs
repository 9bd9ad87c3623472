//! Which machines a job's tasks go to.

use super::scene::{NOW, Scene};
use crate::ids::{JobId, MachineId, UnixTime};
use crate::store::keys;
use crate::store::records::MachineRecord;
use serde_json::json;

/// A zone full of machines that it may not use must not draw the job away from its only one (found
/// in simulated days with late copies, seed 61).
#[test]
fn one_zone_job_goes_to_a_zone_that_it_may_use_whatever_is_free_elsewhere() {
    let mut scene = Scene::new();
    let own = scene.machine(1, "a", false, &[]);
    for n in 2..6 {
        scene.machine(n, "b", true, &[]);
    }
    scene.job(1, |j| {
        j.one_zone = true;
        j.allow_spot = false;
        j.tasks = 3;
    });
    let allotments = scene.step().allotments;
    assert_eq!(allotments.len(), 1);
    assert_eq!(allotments[0].candidate_machines, vec![own]);
}

/// Two machines have free capacity for one task each, and each has the image of another job.
#[test]
fn machines_go_to_the_first_job_whose_image_they_have_unless_one_has_waited_long() {
    let images = |unix_time: u64, gb: f64| {
        let mut scene = Scene::new();
        let with = |scene: &mut Scene, n: u32, image: &str| {
            let old = scene.job(n, |s| {
                s.image = image.into();
                s.tasks = 3;
            });
            let attempts: Vec<_> = (0..3).map(|i| (&old, i, u64::from(10 * n + i))).collect();
            scene.machine(n, "a", false, &attempts);
        };
        with(&mut scene, 1, "red");
        with(&mut scene, 2, "blue");
        // First in the order: it could take the only machine that has the other's image.
        let first = scene.job(3, |s| {
            s.image = "blue".into();
            s.tasks = 2;
            s.deadline_s = Some(50.0);
            s.image_gb = gb;
            s.estimate_s = 20.0;
        });
        let second = scene.job(4, |s| {
            s.image = "red".into();
            s.tasks = 1;
            s.deadline_s = Some(90.0);
            s.image_gb = gb;
            s.estimate_s = 20.0;
        });
        scene.scheduler.unix_time = UnixTime(unix_time);
        let allotments = scene.step().allotments;
        let attempts = allotments.iter().flat_map(|a| &a.attempts);
        let of = |id: &JobId| attempts.clone().filter(|r| r.task.job == *id).count();
        (of(&first.id), of(&second.id))
    };
    assert_eq!(images(901_000, 10.0), (1, 1));
    assert_eq!(images(999_000, 10.0), (2, 0), "it has waited too long");
    assert_eq!(images(901_000, 1.0), (2, 0), "fetched in a moment");
}

/// Gangs wait for machines with GPUs: work that needs none goes elsewhere while others are free.
#[test]
fn tasks_without_gpus_avoid_gpu_machines_while_others_are_free() {
    let mut scene = Scene::new();
    let catalog = json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]},
        {"name": "g8", "cores": 8, "cards": 2, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 9.0,
         "price": 9.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]});
    scene.put(keys::CATALOG.to_owned(), &catalog);
    let plain = scene.machine(1, "a", false, &[]);
    let gpu_machine = MachineId::from("vm-0002");
    let record = MachineRecord::new("1.1.1.1:1", &"g8".into(), &"a".into(), false);
    scene.put(keys::machine(&gpu_machine), &record);
    let health = scene.health(&gpu_machine);
    scene.scheduler.on_health(NOW, vec![health], &scene.cache);
    scene.job(1, |s| {
        s.tasks = 6;
        s.image_gb = 9.0;
    });
    let allotments = scene.step().allotments;
    let on = |id: &MachineId| -> usize {
        let there = allotments.iter().filter(|a| a.candidate_machines[0] == *id);
        there.map(|a| a.attempts.len()).sum()
    };
    assert_eq!(
        (on(&plain), on(&gpu_machine)),
        (4, 2),
        "the faster fetch does not draw it there"
    );
}
