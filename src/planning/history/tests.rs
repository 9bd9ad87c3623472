use super::*;
use crate::config::tests::sample_config;

#[test]
fn prediction_uses_samples_of_the_type_then_of_all_types_then_the_estimate() {
    let settings = Settings::default();
    let (a, b) = (MachineTypeName::from("a"), MachineTypeName::from("b"));
    let mut history = History::default();
    for s in [10, 30, 20] {
        history.add(&"p".into(), &a, 10.0, Millis(s * 1000));
    }
    history.add(&"p".into(), &b, 10.0, Millis(50_000));
    assert_eq!(
        predict(None, &a, &settings, 7.0),
        Prediction {
            seconds: 7.0,
            is_sampled: false
        }
    );
    let (_, record) = history
        .next(&WatchCache::new(&sample_config()), 8192)
        .expect("record");
    let on_a = predict(Some(&record), &a, &settings, 7.0);
    assert_eq!(
        on_a,
        Prediction {
            seconds: 14.0,
            is_sampled: true
        }
    );
    assert!(!predict(Some(&record), &b, &settings, 7.0).is_sampled);
    assert!(
        history
            .next(&WatchCache::new(&sample_config()), 8192)
            .is_none()
    );
}

/// A record with samples of many types, written under a larger value limit, must fit into a smaller one.
#[test]
fn record_shrinks_to_the_value_limit() {
    let mut record = HistoryRecord::default();
    for n in 0..40 {
        let samples = (0..MAX_SAMPLES).map(|s| 1.0 / (n + s + 3) as f32);
        let name = format!("type-{n:02}");
        record
            .run_time_ratios
            .insert(name.as_str().into(), samples.collect());
    }
    for value_bytes in [8192, 2048, 1024, 200] {
        shrink(&mut record, value_bytes);
        let size = serde_json::to_vec(&record).expect("json").len();
        assert!(size <= value_bytes && size > value_bytes / 2, "{size}");
    }
}

#[test]
fn samples_of_a_type_are_bounded() {
    let mut history = History::default();
    for _ in 0..10_000 {
        history.add(&"p".into(), &"a".into(), 0.0, Millis(1000));
    }
    let (_, record) = history
        .next(&WatchCache::new(&sample_config()), 8192)
        .expect("record");
    assert_eq!(
        record.run_time_ratios[&MachineTypeName::from("a")].len(),
        MAX_SAMPLES
    );
}
