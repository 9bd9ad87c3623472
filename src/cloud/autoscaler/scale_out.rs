//! What is rented: for tasks that found no machine, less what is already on its way.

use super::Autoscaler;
use super::cheapest_offer::{CheapestOffer, cheapest_offer};
use super::incoming::IncomingMachines;
use crate::ids::{MachineTypeName, Millis, MonotonicTime, Zone};
use crate::placement::{Scheduler, UnmetDemand};
use crate::protocol::{Catalog, JobKind, JobSpec};
use crate::store::watch_cache::WatchCache;
use std::ops::ControlFlow;

/// The cloud takes no more machines than this in one request.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Past the cloud's own list lag, a new leader waits for so long before it rents.
const LIST_LAG_MARGIN: Millis = Millis(1500);

impl Autoscaler {
    /// Decides on rentals for what the scheduler could not place.
    pub(super) fn scale_out(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        // What an earlier leader has just rented shows in the list only after its lag: until
        // then a new one would rent it all again.
        if now.since(self.term_since) < self.config.list_lag + LIST_LAG_MARGIN {
            return;
        }
        let Some(catalog) = self.catalog.current(cache).cloned() else {
            return;
        };
        let mut incoming =
            IncomingMachines::collect(now, &self.boots, &self.rentals, &catalog, cache);
        let mut cpu_shortfall = self.cpu_shortfall(&catalog, &incoming);
        if scheduler
            .unmet_demands
            .iter()
            .any(|s| s.must_run_concurrently)
            || cpu_shortfall > 0
        {
            let mut wanted = cpu_shortfall.max(1);
            self.cancel_drains(&mut wanted, cache, scheduler);
            cpu_shortfall = cpu_shortfall.min(wanted);
        }
        tracing::debug!(load = ?self.load_history.latest(), capacity = self.capacity.total, on_the_way = incoming.cpus(), cpu_shortfall, unmet_demands = scheduler.unmet_demands.len(), leaving = scheduler.draining.len(), "autoscaler step");
        for unmet_demand in self.demands_to_rent_for(&incoming, cache, scheduler) {
            let left = tasks_to_rent_for(&unmet_demand, &mut cpu_shortfall, &mut incoming, cache);
            let rented =
                self.rent_machines_for(now, &unmet_demand, left, &mut incoming, &catalog, cache);
            if rented.is_break() {
                return;
            }
        }
    }

    /// The CPUs that arrays lack, by their deadlines and by what comes in.
    fn cpu_shortfall(&self, catalog: &Catalog, incoming: &IncomingMachines) -> u64 {
        let boot_s = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let services = self.load_history.latest().services;
        let capacity = (self.capacity.total + incoming.cpus()).saturating_sub(services);
        self.load_history
            .cpu_shortfall(self.unix_time, capacity, boot_s)
    }

    /// The demands to rent for. What must run all at once comes first: the rest shares what is
    /// left.
    fn demands_to_rent_for(
        &self,
        incoming: &IncomingMachines,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<UnmetDemand> {
        let mut unmet_demands = scheduler.unmet_demands.clone();
        let on_demand = self.capacity.on_demand + incoming.on_demand_cpus();
        let wanted = self.load_history.latest().services + self.service_reserve;
        // The next replicas must not wait for a machine to boot.
        if on_demand < wanted && !unmet_demands.iter().any(|s| s.must_run_concurrently) {
            unmet_demands.extend(one_replica_demand(cache));
        }
        unmet_demands.sort_by_key(|s| !s.must_run_concurrently);
        merge_compatible_demands(unmet_demands, cache)
    }

    /// Asks for machines for so many tasks, of the cheapest offers that the cloud may have. `Break`:
    /// no more may be asked for in this step.
    fn rent_machines_for(
        &mut self,
        now: MonotonicTime,
        unmet_demand: &UnmetDemand,
        mut left: u64,
        incoming: &mut IncomingMachines,
        catalog: &Catalog,
        cache: &WatchCache,
    ) -> ControlFlow<()> {
        while left > 0 {
            let cheapest = cheapest_offer(&self.rentals, catalog, cache, unmet_demand, left);
            let Some(CheapestOffer {
                machine_type,
                offer,
                ..
            }) = cheapest
            else {
                break;
            };
            let capacity = machine_type.capacity();
            let tasks_per_machine = unmet_demand.need.fit_count(capacity).max(1);
            let machines = left.div_ceil(tasks_per_machine);
            let count = machines.min(MAX_MACHINES_PER_RENTAL.into()) as u32;
            let covered = left.min(tasks_per_machine * u64::from(count));
            let tasks_on_last = covered - tasks_per_machine * (u64::from(count) - 1);
            left -= covered;
            incoming.add(
                offer.clone(),
                capacity - unmet_demand.need.times(tasks_on_last),
            );
            self.rentals.add(now, offer, count);
            if self.rentals.is_full() {
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }
}

/// The demand for one replica of some service, if there is any.
fn one_replica_demand(cache: &WatchCache) -> Option<UnmetDemand> {
    let mut jobs = cache.jobs.iter();
    let (id, job) = jobs.find(|(_, j)| j.spec.kind == JobKind::Service)?;
    Some(UnmetDemand {
        job: id.clone(),
        need: job.spec.need(),
        tasks: 1,
        must_run_concurrently: true,
        requires_cached_image: false,
    })
}

/// The tasks of a demand for which machines are to be rented. Tasks of arrays follow one another:
/// only what their deadlines ask for is. What is on its way serves first those that must run all
/// at once.
fn tasks_to_rent_for(
    unmet_demand: &UnmetDemand,
    cpu_shortfall: &mut u64,
    incoming: &mut IncomingMachines,
    cache: &WatchCache,
) -> u64 {
    let Some(job) = cache.jobs.get(&unmet_demand.job) else {
        return 0;
    };
    let spec = &job.spec;
    if unmet_demand.must_run_concurrently
        || !has_compatible_machine(unmet_demand, spec, incoming, cache)
    {
        return incoming.place(unmet_demand, spec);
    }
    let cpus = unmet_demand.need.milli_cpus;
    let tasks = cpu_shortfall.div_ceil(cpus.max(1)).min(unmet_demand.tasks);
    *cpu_shortfall = cpu_shortfall.saturating_sub(tasks * cpus);
    tasks
}

/// Whether any machine, there or on its way, may run a demand's tasks, however busy it is.
/// Otherwise the demand needs one, however idle the others are.
fn has_compatible_machine(
    unmet_demand: &UnmetDemand,
    spec: &JobSpec,
    incoming: &IncomingMachines,
    cache: &WatchCache,
) -> bool {
    let fits = |type_name: &MachineTypeName, zone: &Zone, spot: bool| {
        let machine_type = cache.machine_type(type_name);
        spec.allows(type_name, zone, spot)
            && machine_type.is_some_and(|t| unmet_demand.need.fits(t.capacity()))
    };
    let mut offers = incoming.offers();
    let mut machines = cache.machines.values().map(|m| &m.record);
    offers.any(|o| fits(&o.type_name, &o.zone, o.spot))
        || machines.any(|r| fits(&r.type_name, &r.zone, r.spot))
}

/// Arrays that may use the same machines rent together: calls are few, and each may bring many
/// machines. They keep the place of the first of them.
fn merge_compatible_demands(
    unmet_demands: Vec<UnmetDemand>,
    cache: &WatchCache,
) -> Vec<UnmetDemand> {
    let mut merged: Vec<UnmetDemand> = Vec::new();
    for unmet_demand in unmet_demands {
        let spec = |s: &UnmetDemand| cache.jobs.get(&s.job).map(|j| j.spec.clone());
        let is_mergeable = |other: &&mut UnmetDemand| {
            let same_constraints = match (spec(&unmet_demand), spec(other)) {
                (Some(a), Some(b)) => {
                    (&a.machine_types, &a.zone, a.allow_spot)
                        == (&b.machine_types, &b.zone, b.allow_spot)
                }
                _ => false,
            };
            same_constraints
                && !unmet_demand.must_run_concurrently
                && !other.must_run_concurrently
                && other.need == unmet_demand.need
        };
        match merged.iter_mut().find(is_mergeable) {
            Some(other) => other.tasks += unmet_demand.tasks,
            None => merged.push(unmet_demand),
        }
    }
    merged
}
