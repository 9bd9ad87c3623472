//! Tests of the order in which waiting jobs are served.

use super::test_cluster::TestCluster;
use crate::ids::UnixTime;
use crate::protocol::{JobSpec, Priority};

/// Guards against starvation under lasting overload: jobs of a higher priority, earlier deadlines
/// or other teams' guarantees must not keep a job waiting indefinitely, whatever its priority, team
/// or size.
#[test]
fn starving_job_is_served_first() {
    let changes: [fn(&mut JobSpec); 3] = [
        |j| j.priority = Priority::Low,
        |j| j.deadline_s = None,
        |j| {
            // The job needs far more than its team's guarantee.
            j.tasks = 90;
            j.team = "blue".into();
        },
    ];
    for change in changes {
        let mut cluster = TestCluster::new();
        cluster.add_machine(1, "a", false, &[]);
        let old = cluster.add_job(1, change);
        cluster.scheduler.unix_time = UnixTime(cluster.scheduler.unix_time.0 + 125_000);
        for n in 2..12 {
            cluster.add_job(n, |j| {
                j.tasks = 8;
                j.deadline_s = Some(20.0);
            });
        }
        let allotments = cluster.run_step().allotments;
        assert_eq!(allotments[0].attempts[0].task.job, old.id);
    }
}
