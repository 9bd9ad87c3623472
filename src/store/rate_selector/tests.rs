use super::*;

fn rates(writes: f64) -> StoreRates {
    StoreRates {
        requests: 100.0,
        writes,
    }
}

#[test]
fn larger_rate_holds_until_refused_and_is_retried_with_growing_delays() {
    let mut selector = RateSelector::new(rates(50.0), rates(35.0));
    let mut refusals = 0;
    for second in 0..3600 {
        let now = MonotonicTime(second * 1000);
        let limited = second >= 100;
        if limited && selector.current(now).writes > 35.0 {
            selector.on_refused(now);
            refusals += 1;
        }
        let expected = if limited { 35.0 } else { 50.0 };
        assert_eq!(selector.current(now).writes, expected, "at {second}");
    }
    assert!((2..12).contains(&refusals), "{refusals}");
}

#[test]
fn equal_rates_are_not_affected_by_a_refusal() {
    let mut selector = RateSelector::new(rates(50.0), rates(50.0));
    selector.on_refused(MonotonicTime(1));
    assert_eq!(selector.current(MonotonicTime(2)), rates(50.0));
}
