//! Tests of the choice of machines for a job's tasks.

use super::test_cluster::{NOW, TestCluster};
use crate::ids::{JobId, MachineId, UnixTime};
use crate::store::keys;
use crate::store::records::MachineRecord;
use serde_json::json;

/// Guards against choosing the zone of a one-zone job by the capacity of machines that the job may
/// not use. The job could then not be placed, since it may not run in that zone.
#[test]
fn one_zone_job_is_placed_in_an_allowed_zone_despite_free_capacity_in_others() {
    let mut cluster = TestCluster::new();
    let own = cluster.add_machine(1, "a", false, &[]);
    for n in 2..6 {
        cluster.add_machine(n, "b", true, &[]);
    }
    cluster.add_job(1, |j| {
        j.one_zone = true;
        j.allow_spot = false;
        j.tasks = 3;
    });
    let allotments = cluster.run_step().allotments;
    assert_eq!(allotments.len(), 1);
    assert_eq!(allotments[0].candidate_machines, vec![own]);
}

/// Two machines have free capacity for one task each, and each has the image of a different job.
#[test]
fn machines_go_to_jobs_with_a_cached_image_unless_a_job_has_waited_too_long() {
    let allotted_counts = |unix_time: u64, gb: f64| {
        let mut cluster = TestCluster::new();
        let add_machine_with_image = |cluster: &mut TestCluster, n: u32, image: &str| {
            let running = cluster.add_job(n, |s| {
                s.image = image.into();
                s.tasks = 3;
            });
            let attempts: Vec<_> = (0..3)
                .map(|i| (&running, i, u64::from(10 * n + i)))
                .collect();
            cluster.add_machine(n, "a", false, &attempts);
        };
        add_machine_with_image(&mut cluster, 1, "red");
        add_machine_with_image(&mut cluster, 2, "blue");
        // This job is first in the queue. It could take the only machine that has the image of the
        // second job.
        let first = cluster.add_job(3, |s| {
            s.image = "blue".into();
            s.tasks = 2;
            s.deadline_s = Some(50.0);
            s.image_gb = gb;
            s.estimate_s = 20.0;
        });
        let second = cluster.add_job(4, |s| {
            s.image = "red".into();
            s.tasks = 1;
            s.deadline_s = Some(90.0);
            s.image_gb = gb;
            s.estimate_s = 20.0;
        });
        cluster.scheduler.unix_time = UnixTime(unix_time);
        let allotments = cluster.run_step().allotments;
        let attempts = allotments.iter().flat_map(|a| &a.attempts);
        let allotted_to = |id: &JobId| attempts.clone().filter(|r| r.task.job == *id).count();
        (allotted_to(&first.id), allotted_to(&second.id))
    };
    assert_eq!(allotted_counts(901_000, 10.0), (1, 1));
    assert_eq!(
        allotted_counts(999_000, 10.0),
        (2, 0),
        "the first job has waited too long"
    );
    assert_eq!(
        allotted_counts(901_000, 1.0),
        (2, 0),
        "the image is fetched quickly"
    );
}

/// Gangs need machines with GPUs, so tasks that need no GPU go to other machines while these are
/// free.
#[test]
fn tasks_without_gpus_avoid_gpu_machines_while_others_are_free() {
    let mut cluster = TestCluster::new();
    let catalog = json!({"hulls": [
        {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 1.0,
         "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]},
        {"name": "g8", "cores": 8, "cards": 2, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 9.0,
         "price": 9.0, "low_price": 0.5, "startup_s": 20, "berths": ["a"]}]});
    cluster.put_record(keys::CATALOG.to_owned(), &catalog);
    let cpu_machine = cluster.add_machine(1, "a", false, &[]);
    let gpu_machine = MachineId::from("vm-0002");
    let record = MachineRecord::new("1.1.1.1:1", &"g8".into(), &"a".into(), false);
    cluster.put_record(keys::machine(&gpu_machine), &record);
    let health = cluster.healthy_report(&gpu_machine);
    cluster
        .scheduler
        .on_health(NOW, vec![health], &cluster.cache);
    cluster.add_job(1, |s| {
        s.tasks = 6;
        s.image_gb = 9.0;
    });
    let allotments = cluster.run_step().allotments;
    let allotted_on = |id: &MachineId| -> usize {
        let there = allotments.iter().filter(|a| a.candidate_machines[0] == *id);
        there.map(|a| a.attempts.len()).sum()
    };
    assert_eq!(
        (allotted_on(&cpu_machine), allotted_on(&gpu_machine)),
        (4, 2),
        "the faster fetch does not attract tasks to the GPU machine"
    );
}
