//! How much capacity the jobs at hand need: services for all their replicas, arrays for as much
//! as gets each done by its deadline.

use crate::config::Config;
use crate::ids::Wall;
use crate::store::replica::Replica;
use crate::wire::Kind;

/// CPUs, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    pub services: u64,
    pub arrays: u64,
}

impl Load {
    pub fn total(self) -> u64 {
        self.services + self.arrays
    }

    pub fn max(self, other: Self) -> Self {
        Self {
            services: self.services.max(other.services),
            arrays: self.arrays.max(other.arrays),
        }
    }
}

/// An array's work that is left.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    /// Seconds until it is due.
    pub due: f64,
    /// CPUs that it can use at once.
    pub width: f64,
    /// Predicted seconds of one task.
    pub task: f64,
    /// CPU seconds left.
    pub work: f64,
}

/// Fetching the image and the way there and back.
const OVERHEAD: f64 = 6.0;

/// The CPUs that finish every batch in time when the most urgent go first: the work due by each
/// deadline, spread over the time until then less half a task, since the last tasks to start
/// end apart.
pub fn required(mut batches: Vec<Batch>) -> f64 {
    batches.sort_by(|a, b| a.due.total_cmp(&b.due));
    let (mut work, mut width, mut most) = (0.0, 0.0, 0.0f64);
    for batch in batches {
        work += batch.work;
        width += batch.width;
        let time = (batch.due - 0.5 * batch.task)
            .max(0.7 * batch.task)
            .max(1.0);
        most = most.max((work / time).min(width));
    }
    most
}

pub fn load(wall: Wall, replica: &Replica, config: &Config) -> Load {
    let mut load = Load::default();
    let mut batches = Vec::new();
    for job in replica.jobs.values() {
        let spec = &job.spec;
        let need = spec.need();
        if spec.kind != Kind::Array {
            load.services += need.cpus * u64::from(spec.tasks);
            continue;
        }
        let limit = config.teams.get(&spec.team).map_or(0, |t| t.limit.cpus);
        let left = spec.tasks.saturating_sub(job.done_count());
        let running = (job.placed.len() as u32).min(left);
        let task = job.plan.as_ref().map_or(spec.estimate_s, |p| p.predicted_s) + OVERHEAD;
        let width = (need.cpus * u64::from(left)).min(limit) as f64;
        let waiting = f64::from(left - running) + 0.5 * f64::from(running);
        let age = wall.0.saturating_sub(job.accepted.0) as f64 / 1000.0;
        // Without a deadline there is no hurry, but an end.
        let due = spec.deadline_s.unwrap_or(4.0 * task + 60.0) - age;
        batches.push(Batch {
            due,
            width,
            task,
            work: waiting * need.cpus as f64 * task,
        });
    }
    load.arrays = required(batches) as u64;
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    prop_compose! {
        fn batch()(due in 20.0..300.0f64, tasks in 1u32..60, task in 5.0..60.0f64) -> Batch {
            let width = f64::from(tasks) * 4.0;
            Batch { due: due.max(2.5 * task), width, task, work: width * task }
        }
    }

    /// Serves batches most urgent first, task by task, on a number of slots of 4 CPUs; returns
    /// the largest lateness as a part of a task.
    fn worst_lateness(mut batches: Vec<Batch>, cpus: f64) -> f64 {
        batches.sort_by(|a, b| a.due.total_cmp(&b.due));
        let mut slots = vec![0.0f64; (cpus / 4.0).ceil().max(1.0) as usize];
        let mut worst = f64::NEG_INFINITY;
        for batch in &batches {
            let mut end = 0.0f64;
            for _ in 0..(batch.width / 4.0) as u32 {
                slots.sort_by(f64::total_cmp);
                slots[0] += batch.task;
                end = end.max(slots[0]);
            }
            worst = worst.max((end - batch.due) / batch.task);
        }
        worst
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn what_is_required_is_enough_and_far_less_is_not(batches in proptest::collection::vec(batch(), 1..8)) {
            let cpus = required(batches.clone());
            prop_assert!(worst_lateness(batches.clone(), cpus) <= 1.0);
            let width: f64 = batches.iter().map(|b| b.width).sum();
            prop_assert!(cpus <= width + 1.0);
        }
    }
}
