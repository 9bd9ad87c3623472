//! Scale-in: machines that are no longer needed are drained and then returned to the cloud.

use super::Autoscaler;
use super::cheapest_offer::cheapest_offer;
use crate::ids::{MachineId, MachineTypeName, Millis, MonotonicTime};
use crate::placement::{Scheduler, machine_replica_usage, reserved_replicas};
use crate::store::watch_cache::WatchCache;

/// A round of scale-in may begin to drain one machine, plus one for every this many candidates.
const CANDIDATES_PER_DRAIN: usize = 50;
/// The time from a round of scale-in that begins to drain machines to the next round.
const SCALE_IN_INTERVAL: Millis = Millis(800);

/// A machine is drained only if service replicas use at most 1/n of its CPUs, where n is this value. Moving
/// a replica interrupts it briefly, so it is done only if few replicas are moved to free a large machine.
const REPLICA_SHARE_DIVISOR: u64 = 4;

/// The CPU capacity of the machines that count as capacity, in thousandths of a CPU.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetCapacity {
    /// The capacity of all machines.
    pub(super) total: u64,
    /// The capacity of the on-demand machines, which the cloud does not interrupt.
    pub(super) on_demand: u64,
}

impl FleetCapacity {
    fn add(&mut self, spot: bool, cpus: u64) {
        self.total += cpus;
        self.on_demand += if spot { 0 } else { cpus };
    }

    fn subtract(&mut self, spot: bool, cpus: u64) {
        self.total -= cpus;
        self.on_demand -= if spot { 0 } else { cpus };
    }
}

/// A machine that may be drained. Its fields, compared in their order, determine which is drained first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DrainCandidate {
    spot: bool,
    replicas: usize,
    used_cpus: u64,
    cpus: u64,
    id: MachineId,
}

/// Returns the CPU capacity of a machine type in thousandths of a CPU, or 0 if the type is not in the
/// catalog.
fn machine_cpus(type_name: &MachineTypeName, cache: &WatchCache) -> u64 {
    cache
        .machine_type(type_name)
        .map_or(0, |t| t.capacity().milli_cpus)
}

/// Returns whether the constraints of any job with unmet demand allow it to run on a machine.
fn may_run_unmet_demand(id: &MachineId, cache: &WatchCache, scheduler: &Scheduler) -> bool {
    let Some(record) = cache.machines.get(id).map(|m| &m.record) else {
        return false;
    };
    let unmet_demands = scheduler.unmet_demands.iter();
    let mut jobs = unmet_demands.filter_map(|demand| cache.jobs.get(&demand.job));
    jobs.any(|job| {
        job.spec
            .allows(&record.type_name, &record.zone, record.spot)
    })
}

impl Autoscaler {
    /// Begins to drain machines, and returns the machines whose drain is complete. Without unmet demand,
    /// machines that the recent load did not need are drained, on-demand machines first because they cost
    /// more. While a demand is blocked, idle machines that no unmet demand may use are drained instead.
    /// Running tasks may finish, and service replicas are moved. No drain begins until the load has been
    /// observed for a whole window.
    pub(super) fn scale_in(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) -> Vec<MachineId> {
        self.load_history.observe(
            now,
            self.unix_time,
            cache,
            &self.config,
            self.store_write_rate,
        );
        self.service_reserve =
            reserved_replicas(cache).map_or(0, |(need, count)| need.milli_cpus * count);
        scheduler
            .draining
            .retain(|id| cache.machines.contains_key(id));
        let candidates = self.measure_capacity(now, cache, scheduler);
        let drained = self.drained_machines(now, cache, scheduler);
        if self.load_history.covers_window(now, cache) && now >= self.next_scale_in {
            let demand_is_unmet = scheduler
                .unmet_demands
                .iter()
                .any(|demand| demand.tasks > 0);
            if !demand_is_unmet {
                self.drain_idle(now, candidates, scheduler);
            } else if self.has_blocked_demand(cache, scheduler) {
                self.drain_unusable(now, candidates, cache, scheduler);
            }
        }
        drained
    }

    /// Updates the capacity of the fleet, and returns the machines that may be drained.
    fn measure_capacity(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<DrainCandidate> {
        self.capacity = FleetCapacity::default();
        let mut candidates = Vec::new();
        for (id, machine) in &cache.machines {
            if !scheduler.counts_as_capacity(now, id) {
                continue;
            }
            let spot = machine.record.spot;
            let cpus = machine_cpus(&machine.record.type_name, cache);
            self.capacity.add(spot, cpus);
            let (replicas, in_use) = machine_replica_usage(machine, cache);
            if REPLICA_SHARE_DIVISOR * in_use.milli_cpus > cpus {
                continue;
            }
            candidates.push(DrainCandidate {
                spot,
                replicas,
                used_cpus: machine.record.used().milli_cpus,
                cpus,
                id: id.clone(),
            });
        }
        candidates
    }

    /// Returns the machines whose drain is complete: nothing runs on them, and no allotment from before the
    /// drain is still in flight to their shard.
    fn drained_machines(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        self.draining_since
            .retain(|id, _| scheduler.draining.contains(id));
        for id in &scheduler.draining {
            self.draining_since.entry(id.clone()).or_insert(now);
        }
        let is_empty = |id: &&MachineId| {
            let machine = cache.machines.get(*id);
            let shard = id.shard(self.config.shard_count());
            let draining_since = self.draining_since.get(*id);
            machine.is_some_and(|m| m.record.jobs.is_empty())
                && draining_since
                    .is_some_and(|at| !scheduler.has_in_flight_allotment_before(shard, *at))
        };
        scheduler
            .draining
            .iter()
            .filter(|id| !self.deletions.is_pending(id))
            .filter(is_empty)
            .cloned()
            .collect()
    }

    /// Begins to drain machines that the peak load of the window did not need. The number of machines for
    /// each round is limited: one in a small fleet, several in a large one.
    fn drain_idle(
        &mut self,
        now: MonotonicTime,
        mut candidates: Vec<DrainCandidate>,
        scheduler: &mut Scheduler,
    ) {
        let peak = self.load_history.peak();
        let reserve = self.service_reserve;
        let mut remaining = self.capacity;
        let mut drains_left = max_drains(&candidates);
        candidates.sort();
        for machine in candidates {
            let cpus = machine.cpus;
            let is_surplus = remaining.total >= peak.total() + reserve + cpus
                && (machine.spot || remaining.on_demand >= peak.services + reserve + cpus);
            if !is_surplus || drains_left == 0 {
                continue;
            }
            drains_left -= 1;
            remaining.subtract(machine.spot, cpus);
            self.next_scale_in = now + SCALE_IN_INTERVAL;
            scheduler.draining.insert(machine.id);
        }
    }

    /// Cancels the drain of machines that are needed again, until `cpu_shortfall` (in thousandths of a CPU)
    /// is covered or no suitable draining machine is left.
    pub(super) fn cancel_drains(
        &mut self,
        cpu_shortfall: &mut u64,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        let no_unmet_demand = scheduler.unmet_demands.is_empty();
        while *cpu_shortfall > 0 {
            let candidate = scheduler
                .draining
                .iter()
                .filter(|id| !self.deletions.is_pending(id) && cache.machines.contains_key(*id))
                .find(|id| no_unmet_demand || may_run_unmet_demand(id, cache, scheduler))
                .cloned();
            let Some(id) = candidate else { return };
            scheduler.draining.remove(&id);
            let machine = cache.machines.get(&id);
            let cpus = machine.map_or(0, |m| machine_cpus(&m.record.type_name, cache));
            *cpu_shortfall = cpu_shortfall.saturating_sub(cpus.max(1));
        }
    }

    /// Returns whether a demand whose tasks must run concurrently is blocked: no offer that it may use can be
    /// requested from the cloud, and no suitable machine is requested or booting.
    fn has_blocked_demand(&self, cache: &WatchCache, scheduler: &Scheduler) -> bool {
        let Some(catalog) = self.catalog.current(cache) else {
            return false;
        };
        let mut concurrent_demands = scheduler
            .unmet_demands
            .iter()
            .filter(|demand| demand.must_run_concurrently);
        concurrent_demands.any(|unmet_demand| {
            let Some(job) = cache.jobs.get(&unmet_demand.job) else {
                return false;
            };
            let spec = &job.spec;
            let tasks = unmet_demand.tasks;
            let mut pending = self.rentals.pending();
            !pending.any(|rental| rental.offer.is_allowed_by(spec))
                && !self.boots.offers().any(|offer| offer.is_allowed_by(spec))
                && cheapest_offer(&self.rentals, catalog, cache, unmet_demand, tasks).is_none()
        })
    }

    /// Begins to drain idle machines that no unmet demand may use. They occupy capacity that the cloud could
    /// provide as machines of another type.
    fn drain_unusable(
        &mut self,
        now: MonotonicTime,
        candidates: Vec<DrainCandidate>,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        let is_unusable = |machine: &DrainCandidate| {
            machine.used_cpus == 0 && !may_run_unmet_demand(&machine.id, cache, scheduler)
        };
        let drain_limit = max_drains(&candidates);
        let unusable: Vec<MachineId> = candidates
            .into_iter()
            .filter(is_unusable)
            .map(|machine| machine.id)
            .take(drain_limit)
            .collect();
        if !unusable.is_empty() {
            self.next_scale_in = now + SCALE_IN_INTERVAL;
            scheduler.draining.extend(unusable);
        }
    }
}

/// Returns the number of machines that may begin to drain in one round.
fn max_drains(candidates: &[DrainCandidate]) -> usize {
    1 + candidates.len() / CANDIDATES_PER_DRAIN
}
