use super::*;

fn amounts(cpus: u64, gpus: u64) -> Resources {
    Resources {
        milli_cpus: cpus,
        milli_gpus: gpus,
        memory_mb: 7,
    }
}

/// Guards against treating a missing CPU limit as a limit of 0 CPUs. That refused every job of teams that
/// have a limit for GPUs only.
#[test]
fn limit_of_gpus_alone_leaves_cpus_unlimited() {
    let team = TeamQuota::new(amounts(0, 60), amounts(0, 250));
    assert!(amounts(1_000_000, 250).fits(team.limit()));
    assert!(!amounts(1, 251).fits(team.limit()));
    let both = TeamQuota::new(amounts(10, 60), amounts(100, 250));
    assert!(amounts(100, 250).fits(both.limit()));
    assert!(!amounts(101, 0).fits(both.limit()));
    assert!(!amounts(0, 251).fits(both.limit()));
}

#[test]
fn guarantee_of_gpus_alone_ignores_cpus() {
    let team = TeamQuota::new(amounts(0, 60), amounts(0, 250));
    assert!(team.is_within_guarantee(amounts(1_000_000, 60)));
    assert!(!team.is_within_guarantee(amounts(1, 61)));
    assert!(team.has_guarantee_for(amounts(5, 1)));
    assert!(!team.has_guarantee_for(amounts(5, 0)));
    let both = TeamQuota::new(amounts(10, 60), amounts(0, 0));
    assert!(both.is_within_guarantee(amounts(10, 60)) && !both.is_within_guarantee(amounts(11, 1)));
    assert!(both.has_guarantee_for(amounts(5, 0)));
    let none = TeamQuota::new(amounts(0, 0), amounts(0, 0));
    assert!(!none.has_guarantee_for(amounts(5, 5)));
}
