use super::*;

#[test]
fn machine_that_fails_several_jobs_is_quarantined_and_the_jobs_are_not_delayed() {
    let mut faults = FaultTracker::default();
    let faulty = MachineId::from("vm-1");
    for (i, job) in ["job-1", "job-2"].into_iter().enumerate() {
        faults.on_failure(MonotonicTime(i as u64), &job.into(), &faulty);
        assert!(!faults.is_backing_off(MonotonicTime(i as u64), &job.into()));
    }
    assert!(faults.is_quarantined(MonotonicTime(5), &faulty));
    assert!(!faults.is_quarantined(MonotonicTime(5) + QUARANTINE_PERIOD, &faulty));
}

#[test]
fn job_that_fails_everywhere_backs_off_and_quarantines_no_machine() {
    let mut faults = FaultTracker::default();
    let job = JobId::from("job-1");
    let mut backoffs = Vec::new();
    for n in 0..12 {
        let machine = MachineId::from(format!("vm-{n}").as_str());
        faults.on_failure(MonotonicTime(0), &job, &machine);
        let backoff = (0..100).find(|s| !faults.is_backing_off(MonotonicTime(s * 1000), &job));
        backoffs.push(backoff.expect("backoff is bounded"));
        assert!(!faults.is_quarantined(MonotonicTime(1), &machine));
    }
    assert_eq!(backoffs[0], 0);
    assert!(backoffs.windows(2).all(|w| w[0] <= w[1]) && backoffs[11] >= 16);
    assert_eq!(faults.task_limit(&job), Some(1));
}
