use super::*;

#[test]
fn a_machine_that_fails_several_jobs_is_shunned_and_the_jobs_go_on() {
    let mut faults = Faults::default();
    let sick = MachineId::from("vm-1");
    for (i, job) in ["job-1", "job-2"].into_iter().enumerate() {
        faults.failed(MonotonicTime(i as u64), &job.into(), &sick);
        assert!(!faults.paused(MonotonicTime(i as u64), &job.into()));
    }
    assert!(faults.is_quarantined(MonotonicTime(5), &sick));
    assert!(!faults.is_quarantined(MonotonicTime(5) + QUARANTINE_PERIOD, &sick));
}

#[test]
fn a_job_that_fails_everywhere_backs_off_and_shuns_no_fleet() {
    let mut faults = Faults::default();
    let job = JobId::from("job-1");
    let mut pauses = Vec::new();
    for n in 0..12 {
        let machine = MachineId::from(format!("vm-{n}").as_str());
        faults.failed(MonotonicTime(0), &job, &machine);
        let pause = (0..100).find(|s| !faults.paused(MonotonicTime(s * 1000), &job));
        pauses.push(pause.expect("a bound"));
        assert!(!faults.is_quarantined(MonotonicTime(1), &machine));
    }
    assert_eq!(pauses[0], 0);
    assert!(pauses.windows(2).all(|w| w[0] <= w[1]) && pauses[11] >= 16);
    assert_eq!(faults.trial(&job), Some(1));
}
