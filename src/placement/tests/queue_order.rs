//! The order in which waiting jobs are served.

use super::scene::Scene;
use crate::ids::UnixTime;
use crate::protocol::{JobSpec, Priority};

/// Under lasting overload neither work of a higher priority, nor earlier deadlines, nor other teams'
/// guarantees keep a job waiting for ever, whatever its priority, team or size.
#[test]
fn starving_job_is_served_first() {
    let changes: [fn(&mut JobSpec); 3] = [
        |j| j.priority = Priority::Low,
        |j| j.deadline_s = None,
        |j| {
            // Far beyond its team's guarantee.
            j.tasks = 90;
            j.team = "blue".into();
        },
    ];
    for change in changes {
        let mut scene = Scene::new();
        scene.machine(1, "a", false, &[]);
        let old = scene.job(1, change);
        scene.scheduler.unix_time = UnixTime(scene.scheduler.unix_time.0 + 125_000);
        for n in 2..12 {
            scene.job(n, |j| {
                j.tasks = 8;
                j.deadline_s = Some(20.0);
            });
        }
        let allotments = scene.step().allotments;
        assert_eq!(allotments[0].attempts[0].task.job, old.id);
    }
}
