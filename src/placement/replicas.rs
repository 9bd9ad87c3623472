//! The replicas of services on each machine, and the number of further replicas for which capacity
//! is reserved.

use crate::ids::Resources;
use crate::protocol::JobKind;
use crate::store::records::PlacedJob;
use crate::store::watch_cache::{LiveMachine, WatchCache};

/// The smallest number of replicas for which capacity is reserved.
const MIN_RESERVED_REPLICAS: u64 = 2;

/// Returns the number of service replicas on a machine and the resources that they use.
pub(crate) fn machine_replica_usage(
    machine: &LiveMachine,
    cache: &WatchCache,
) -> (usize, Resources) {
    let is_service = |placed: &&PlacedJob| {
        cache
            .jobs
            .get(&placed.job)
            .is_some_and(|job| job.spec.kind == JobKind::Service)
    };
    let placed = machine.record.jobs.iter().filter(is_service);
    placed.fold((0, Resources::default()), |(count, usage), p| {
        (
            count + p.tasks.len(),
            usage + p.need.times(p.tasks.len() as u64),
        )
    })
}

/// Returns the resource need of the service whose replicas need the most CPUs, and for how many
/// replicas of that size capacity is reserved. Returns `None` if no service needs any CPU.
pub(crate) fn reserved_replicas(cache: &WatchCache) -> Option<(Resources, u64)> {
    let (mut total_milli_cpus, mut largest) = (0, Resources::default());
    for job in cache.jobs.values() {
        if job.spec.kind == JobKind::Service {
            let need = job.spec.need();
            total_milli_cpus += need.milli_cpus * u64::from(job.spec.tasks);
            if need.milli_cpus > largest.milli_cpus {
                largest = need;
            }
        }
    }
    let spare_milli_cpus = (total_milli_cpus as f64 * cache.settings().service_spare) as u64;
    let count = spare_milli_cpus
        .checked_div(largest.milli_cpus)?
        .max(MIN_RESERVED_REPLICAS);
    Some((largest, count))
}
