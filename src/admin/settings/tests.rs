use super::*;
use serde_json::json;

#[test]
fn every_setting_has_a_range_that_holds_its_default() {
    let Ok(Value::Object(all)) = serde_json::to_value(Settings::default()) else {
        panic!("not an object");
    };
    assert_eq!(all.len(), RANGES.len());
    for (field, value) in &all {
        assert_eq!(Settings::check(&all, field, value), Ok(()));
    }
}

#[test]
fn a_bad_change_names_its_field_and_a_good_one_is_taken() {
    let old = Settings::default();
    for (change, field) in [
        (json!({"percentile": 2.0}), "percentile"),
        (json!({"group_cap": 2.5}), "group_cap"),
        (json!({"lease_s": "long"}), "lease_s"),
        (json!({"idle_s": 10.0, "colour": 1}), "colour"),
    ] {
        assert!(old.change(&change).expect_err(field).contains(field));
    }
    let new = old
        .change(&json!({"group_cap": 6, "percentile": 0.8}))
        .expect("good");
    assert_eq!((new.group_cap, new.percentile), (6, 0.8));
    assert_eq!(new.lease_s, old.lease_s);
}
