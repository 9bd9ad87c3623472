use super::*;

/// Returns a valid settings file.
pub(crate) fn sample() -> serde_json::Value {
    serde_json::json!({
        "member": "c0", "area": "a", "bind": "127.0.0.1:1", "peer_bind": "127.0.0.1:2",
        "others": [{"member": "c1", "area": "a", "addr": "127.0.0.1:3"},
                   {"member": "c2", "area": "b", "addr": "127.0.0.1:4"}],
        "services": {"cloud": "127.0.0.1:5", "state": "127.0.0.1:6"},
        "params": {
            "size": 3, "zones": ["a", "b"],
            "teams": [{"name": "red", "cpus": 8.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "blue", "cpus": 16.0, "cpus_max": 32.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "wait", "class": "web", "within_s": 2.0, "share": 0.9}],
            "workers": {"report_s": 2.0, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 4.0, "list_lag_s": 3.0},
            "quota": {"cpu": 0.2, "ram_mb": 72.0, "sockets": 1000},
            "time_bound_ms": 100.0, "unheard_of": {"x": 1}
        }
    })
}

/// Returns the checked settings of [`sample`].
pub(crate) fn sample_config() -> Config {
    Config::parse(&sample().to_string()).expect("the sample is valid")
}

#[test]
fn unknown_fields_are_ignored_and_limits_are_read() {
    let config = sample_config();
    assert_eq!(config.controller_count, 3);
    assert_eq!(config.store_limits.txn_ops, 12);
    assert_eq!(
        config.teams[&TeamId::from("red")].limit().milli_cpus,
        24_000
    );
}

#[test]
fn invalid_or_missing_fields_are_named_in_the_error() {
    let cases: [(&str, serde_json::Value, &str); 8] = [
        ("/bind", "nowhere".into(), "`bind`"),
        ("/member", "".into(), "`member`"),
        ("/others/0/member", "c0".into(), "`others[0].member`"),
        (
            "/params/workers/report_s",
            (-1.0).into(),
            "`params.workers.report_s`",
        ),
        (
            "/params/teams/0/cpus_max",
            1.0.into(),
            "`params.teams[0].cpus_max`",
        ),
        (
            "/params/teams/1/name",
            "red".into(),
            "`params.teams[1].name`",
        ),
        ("/params/state/txn_ops", 0.into(), "`params.state.txn_ops`"),
        ("/params/state/rps", "many".into(), "expected f64"),
    ];
    for (pointer, value, expected) in cases {
        let mut file = sample();
        *file.pointer_mut(pointer).expect("field") = value;
        let message = Config::parse(&file.to_string())
            .expect_err(pointer)
            .to_string();
        assert!(message.contains(expected), "{pointer}: {message}");
        assert!(!message.contains('\n'));
    }
    let mut file = sample();
    file.as_object_mut().expect("object").remove("services");
    let message = Config::parse(&file.to_string())
        .expect_err("missing")
        .to_string();
    assert!(message.contains("services"), "{message}");
}

#[test]
fn shortest_finish_objective_of_a_pipeline_is_used() {
    let mut file = sample();
    file["params"]["objectives"] = serde_json::json!([
        {"kind": "finished", "class": "clean", "within_s": 150.0, "share": 0.98},
        {"kind": "finished", "class": "clean", "within_s": 60.0, "share": 0.8},
        {"kind": "finished", "class": "archive", "within_s": 400.0, "share": 0.9},
        {"kind": "finished", "class": "nameless"},
        {"kind": "wait", "class": "web", "within_s": 2.0, "share": 0.9},
    ]);
    let config = Config::parse(&file.to_string()).expect("valid");
    let within: Vec<(&str, u64)> = config
        .finish_within
        .iter()
        .map(|(pipeline, span)| (pipeline.as_str(), span.0))
        .collect();
    assert_eq!(within, [("archive", 400_000), ("clean", 60_000)]);
}
