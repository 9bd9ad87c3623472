//! How much work of arrays comes in, on average of the last while. What deadlines ask for at an
//! instant leaves all slack used up before anything more is rented: the fleet of a calm day swung
//! between a third too small and twice too large, paying for boots and returns, and jobs waited
//! (Savannah fleet, calm: 19,000 to 62,000 CPUs for a load of 25,000).

use super::demand::task_time;
use crate::ids::{JobId, Span, Wall};
use crate::store::replica::Replica;
use crate::wire::Kind;
use std::collections::BTreeMap;

/// The time over which the work that came in is averaged.
const WINDOW: Span = Span(60_000);

#[derive(Debug, Default)]
pub struct Flow {
    /// Arrays of the window, those that are over by now as well: when, and their CPU seconds.
    came: BTreeMap<JobId, (Wall, f64)>,
    /// How far back it has seen all that came.
    since: Option<Wall>,
}

impl Flow {
    /// Notes what has come. Whoever has just begun to lead knows only what is unfinished.
    pub fn look(&mut self, now: Wall, replica: &Replica, turnaround_s: f64) {
        let since = *self.since.get_or_insert(now);
        let old = |at: Wall| now.0.saturating_sub(at.0) > WINDOW.0;
        self.came.retain(|_, (at, _)| !old(*at));
        for (id, job) in &replica.jobs {
            let spec = &job.spec;
            let before = job.eligible < since;
            if spec.kind != Kind::Array || before || old(job.eligible) || self.came.contains_key(id)
            {
                continue;
            }
            let cpus = spec.need().times(spec.tasks.into()).cpus as f64;
            let work = cpus * task_time(job, replica, turnaround_s);
            self.came.insert(id.clone(), (job.eligible, work));
        }
    }

    /// The CPUs that keep up with it; nothing is said before the window has been seen in full.
    pub fn cpus(&self, now: Wall) -> u64 {
        let seen = self.since.map_or(0, |at| now.0.saturating_sub(at.0));
        if seen < WINDOW.0 {
            return 0;
        }
        let work: f64 = self.came.values().map(|(_, work)| work).sum();
        (work / WINDOW.secs()) as u64
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::sample_config;
    use crate::ids::Revision;
    use crate::store::keys;
    use crate::store::records::JobRecord;
    use crate::wire::state::{Event, Item};

    /// Jobs come evenly and end at once: what they need on average is seen all the same, and is
    /// forgotten when no more come.
    #[test]
    fn work_that_is_over_still_counts_until_its_window_has_passed() {
        let mut replica = Replica::new(&sample_config());
        let mut flow = Flow::default();
        let mut seen = Vec::new();
        for second in 0..200u64 {
            let now = Wall(1_000_000 + 1000 * second);
            let id = format!("job-{second:06}");
            if second < 120 {
                let mut spec = crate::wire::tests::spec(&id);
                spec.tasks = 10;
                let record = JobRecord::new(spec, now);
                replica.load(Item {
                    key: keys::job(&id.as_str().into()),
                    value: serde_json::to_value(&record).expect("json"),
                    revision: Revision(2 * second + 1),
                    grant: None,
                });
            }
            flow.look(now, &replica, 3.0);
            let gone = Event {
                delete: Some(keys::job(&id.as_str().into())),
                put: None,
                value: serde_json::Value::Null,
                revision: Revision(2 * second + 2),
            };
            replica.apply(Revision(2 * second + 2), vec![gone]);
            seen.push(flow.cpus(now));
        }
        let spec = crate::wire::tests::spec("job-1");
        let least = 10.0 * spec.need().cpus as f64 * spec.estimate_s;
        assert_eq!(seen[30], 0, "too early to tell");
        assert!(seen[100] as f64 >= least, "{} of {least}", seen[100]);
        assert!((seen[100] as f64) < 3.0 * least);
        assert_eq!(seen[199], 0);
    }
}
