use super::*;
use crate::api::tests::catalog;
use crate::config::tests::sample_config;

#[test]
fn only_jobs_that_can_never_run_are_infeasible() {
    let config = sample_config();
    let base = crate::protocol::tests::spec("job-000001");
    let check_changed = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = base.clone();
        change(&mut spec);
        check(&spec, &config, &catalog())
    };
    assert_eq!(check_changed(&|_| ()), Ok(()));
    // An array may have far more tasks than fit the team's limit; a service may not.
    assert_eq!(check_changed(&|s| s.tasks = 100_000), Ok(()));
    assert!(
        check_changed(&|s| {
            s.tasks = 13;
            s.kind = JobKind::Service
        })
        .is_err()
    );
    assert_eq!(
        check_changed(&|s| {
            s.tasks = 12;
            s.kind = JobKind::Service
        }),
        Ok(())
    );
    assert!(check_changed(&|s| s.team = "green".into()).is_err());
    assert!(check_changed(&|s| s.cpus = 8.5).is_err());
    assert!(check_changed(&|s| s.zone = Some("b".into())).is_err());
    assert!(check_changed(&|s| s.machine_types = Some(vec!["t9".into()])).is_err());
    assert!(check_changed(&|s| s.gpus = 1.0).is_err());
    // Two spread replicas, of which at most one may be in a zone, need two zones.
    let check_spread = |kind: JobKind| {
        check_changed(&move |s| {
            s.tasks = 2;
            s.kind = kind;
            s.spread = true;
        })
    };
    assert!(check_spread(JobKind::Service).is_err() && check_spread(JobKind::Gang).is_err());
    assert!(check_spread(JobKind::Array).is_ok());
}

/// Users see these texts in error responses.
#[test]
fn reasons_keep_their_texts() {
    let texts = [
        (Infeasible::UnknownTeam, "unknown team"),
        (
            Infeasible::TaskTooLarge,
            "a task fits no allowed machine type",
        ),
        (
            Infeasible::ZoneConflict,
            "its tasks may not be in one zone, nor in several",
        ),
        (
            Infeasible::OverTeamLimit,
            "needs more than the team's limit",
        ),
        (Infeasible::RecordTooLarge, "its description is too long"),
    ];
    for (reason, text) in texts {
        assert_eq!(reason.to_string(), text);
    }
}
