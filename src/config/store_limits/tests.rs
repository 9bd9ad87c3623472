use crate::config::Config;
use crate::config::tests::sample;
use serde_json::json;

fn limits_with(next: serde_json::Value) -> Result<super::StoreLimits, String> {
    let mut file = sample();
    file["params"]["state"]["next"] = next;
    let config = Config::parse(&file.to_string());
    config
        .map(|c| c.store_limits)
        .map_err(|error| error.to_string())
}

#[test]
fn size_limits_are_the_smaller_and_initial_rates_the_larger() {
    let now = limits_with(json!(null)).expect("no later limits");
    assert_eq!((now.value_bytes, now.txn_ops), (8192, 12));
    assert_eq!(now.rates, now.min_rates);
    let next = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 18.0, "unheard_of": 1});
    let limits = limits_with(next).expect("lower limits");
    assert_eq!((limits.value_bytes, limits.txn_ops), (2048, 4));
    assert_eq!((limits.rates.writes, limits.min_rates.writes), (40.0, 18.0));
    assert_eq!(limits.rates.requests, limits.min_rates.requests);
    assert_eq!(limits.present_value_bytes, 8192);
    let next = json!({"value_kb": 64, "txn_ops": 100, "write_rps": 90, "rps": 10});
    let limits = limits_with(next).expect("some higher limits");
    assert_eq!((limits.value_bytes, limits.txn_ops), (8192, 12));
    assert_eq!((limits.rates.writes, limits.min_rates.writes), (90.0, 40.0));
    assert_eq!(
        (limits.rates.requests, limits.min_rates.requests),
        (100.0, 10.0)
    );
}

#[test]
fn invalid_later_limits_are_named_in_the_error() {
    for (field, value) in [
        ("value_kb", json!(0)),
        ("txn_ops", json!(3)),
        ("write_rps", json!(0)),
        ("rps", json!(-1)),
    ] {
        let error = limits_with(json!({ field: value })).expect_err(field);
        let named = format!("`params.state.next.{field}`");
        assert!(error.contains(&named) && !error.contains('\n'), "{error}");
    }
    let error = limits_with(json!("soon")).expect_err("not an object");
    assert!(error.contains("invalid type"), "{error}");
}

/// The segment numbers of a completion counter are stored, so they must not depend on limits that only later
/// versions of the program know.
#[test]
fn counter_segment_size_is_independent_of_later_limits() {
    let mut file = sample();
    let before = Config::parse(&file.to_string()).expect("valid");
    file["params"]["state"]["next"] = json!({"value_kb": 2.0});
    let after = Config::parse(&file.to_string()).expect("valid");
    assert_eq!(before.tasks_per_segment(), after.tasks_per_segment());
}
