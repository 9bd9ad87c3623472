use super::*;
use crate::config::tests::sample_config;
use crate::ids::Revision;
use crate::protocol::store::{Event, KeyValue};
use crate::store::keys;
use crate::store::records::JobRecord;

/// Jobs arrive at a constant rate and end immediately. Their average need must be counted nevertheless, and
/// must fall to 0 after no more jobs arrive.
#[test]
fn finished_work_counts_until_the_window_has_passed() {
    let mut cache = WatchCache::new(&sample_config());
    let mut arrival_rate = ArrivalRate::default();
    let mut cpus_by_second = Vec::new();
    for second in 0..200u64 {
        let now = UnixTime(1_000_000 + 1000 * second);
        let id = format!("job-{second:06}");
        if second < 120 {
            let mut spec = crate::protocol::tests::spec(&id);
            spec.tasks = 10;
            let record = JobRecord::new(spec, now);
            cache.load(KeyValue {
                key: keys::job(&id.as_str().into()),
                value: serde_json::to_value(&record).expect("json"),
                revision: Revision(2 * second + 1),
                lease: None,
            });
        }
        arrival_rate.observe(now, &cache, 3.0);
        let deletion = Event {
            delete: Some(keys::job(&id.as_str().into())),
            put: None,
            value: serde_json::Value::Null,
            revision: Revision(2 * second + 2),
        };
        cache.apply(Revision(2 * second + 2), vec![deletion]);
        cpus_by_second.push(arrival_rate.required_cpus(now));
    }
    let spec = crate::protocol::tests::spec("job-1");
    let required = 10.0 * spec.need().milli_cpus as f64 * spec.estimate_s;
    assert_eq!(cpus_by_second[30], 0, "the window is not complete yet");
    assert!(
        cpus_by_second[100] as f64 >= required,
        "{} of {required}",
        cpus_by_second[100]
    );
    assert!((cpus_by_second[100] as f64) < 3.0 * required);
    assert_eq!(cpus_by_second[199], 0);
}
