use super::*;
use serde_json::json;

#[test]
fn every_setting_has_a_range_that_contains_its_default() {
    let Ok(Value::Object(all)) = serde_json::to_value(Settings::default()) else {
        panic!("not an object");
    };
    assert_eq!(all.len(), SETTING_RANGES.len());
    for (field, value) in &all {
        assert!(Settings::check(&all, field, value).is_ok(), "{field}");
    }
}

#[test]
fn invalid_change_names_its_field_and_valid_change_is_applied() {
    let old = Settings::default();
    for (change, field) in [
        (json!({"percentile": 2.0}), "percentile"),
        (json!({"group_cap": 2.5}), "group_cap"),
        (json!({"lease_s": "long"}), "lease_s"),
        (json!({"idle_s": 10.0, "colour": 1}), "colour"),
    ] {
        let error = old.with_changes(&change).expect_err(field).to_string();
        assert!(error.contains(field), "{error}");
    }
    let new = old
        .with_changes(&json!({"group_cap": 6, "percentile": 0.8}))
        .expect("good");
    assert_eq!((new.group_cap, new.percentile), (6, 0.8));
    assert_eq!(new.lease_s, old.lease_s);
}

/// The error texts are part of the responses that operators get, so they must not change.
#[test]
fn error_texts_are_unchanged() {
    let cases = [
        (json!([1]), "the body must be a JSON object of settings"),
        (json!({"colour": 1}), "field `colour` is not a setting"),
        (
            json!({"lease_s": "long"}),
            "field `lease_s` must be a number",
        ),
        (
            json!({"group_cap": 2.5}),
            "field `group_cap` must be a whole number",
        ),
        (
            json!({"percentile": 2.0}),
            "field `percentile` must be from 0 to 1",
        ),
        (
            json!({"idle_s": 0.5}),
            "field `idle_s` must be from 1 to 86400",
        ),
    ];
    for (change, text) in cases {
        let error = Settings::default().with_changes(&change).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}
