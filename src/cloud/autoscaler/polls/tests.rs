use super::*;
use crate::config::tests::sample_config;
use crate::ids::Revision;
use crate::protocol::store::KeyValue;
use crate::store::keys;
use serde_json::{Value, json};

const NOW: MonotonicTime = MonotonicTime(100_000);

fn catalog_json(price: f64, cpus: f64) -> Value {
    json!({"hulls": [
        {"name": "t8", "cores": cpus, "cards": 0, "memory_gb": 32, "cache_gb": 50,
         "fetch_gb_per_s": 1.0, "price": price, "low_price": 0.5, "startup_s": 20,
         "berths": ["a"]}]})
}

fn poll_with(price: f64, cpus: f64) -> CatalogPoll {
    let catalog = serde_json::from_value(catalog_json(price, cpus)).expect("catalog");
    let mut poll = CatalogPoll::default();
    poll.finish(NOW, Some(catalog));
    poll
}

#[test]
fn only_one_machine_list_request_is_in_flight() {
    let mut poll = MachineListPoll::default();
    assert!(poll.start_if_due(NOW));
    assert!(!poll.start_if_due(NOW + LIST_INTERVAL));
    poll.finish(NOW);
    assert!(!poll.start_if_due(NOW));
    assert!(poll.start_if_due(NOW + LIST_INTERVAL));
}

#[test]
fn failed_catalog_request_is_retried_sooner() {
    let mut poll = CatalogPoll::default();
    assert!(poll.start_if_due(NOW));
    assert!(!poll.start_if_due(NOW));
    poll.finish(NOW, None);
    assert!(poll.start_if_due(NOW + CATALOG_RETRY_DELAY));
    assert!(!poll_with(1.0, 8.0).start_if_due(NOW + CATALOG_RETRY_DELAY));
}

#[test]
fn catalog_is_stored_when_it_differs_in_more_than_prices() {
    let mut cache = WatchCache::new(&sample_config());
    assert!(poll_with(1.0, 8.0).to_store(&cache).is_some());
    cache.load(KeyValue {
        key: keys::CATALOG.to_owned(),
        value: catalog_json(1.0, 8.0),
        revision: Revision(1),
        lease: None,
    });
    assert!(poll_with(2.0, 8.0).to_store(&cache).is_none());
    assert!(poll_with(1.0, 16.0).to_store(&cache).is_some());
}
