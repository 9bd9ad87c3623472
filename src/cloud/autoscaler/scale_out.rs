//! Scale-out: rents machines for unmet demand that incoming machines do not cover.

use super::Autoscaler;
use super::cheapest_offer::{CheapestOffer, cheapest_offer};
use super::incoming::IncomingMachines;
use crate::ids::{MachineTypeName, Millis, MonotonicTime, Zone};
use crate::placement::{Scheduler, UnmetDemand};
use crate::protocol::{Catalog, JobKind, JobSpec};
use crate::store::watch_cache::WatchCache;
use std::ops::ControlFlow;

/// The largest number of machines that the cloud accepts in one rent request.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// A new leader waits for the lag of the cloud's machine list plus this margin before it rents machines.
const LIST_LAG_MARGIN: Millis = Millis(1500);

impl Autoscaler {
    /// Decides on rentals for the tasks that the scheduler could not place.
    pub(super) fn scale_out(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        // Machines that an earlier leader has just rented appear in the cloud's list only after its lag.
        // Until then, a new leader would rent the same capacity again.
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
            .any(|demand| demand.must_run_concurrently)
            || cpu_shortfall > 0
        {
            let mut cpus_to_recover = cpu_shortfall.max(1);
            self.cancel_drains(&mut cpus_to_recover, cache, scheduler);
            cpu_shortfall = cpu_shortfall.min(cpus_to_recover);
        }
        tracing::debug!(load = ?self.load_history.latest(), capacity = self.capacity.total, on_the_way = incoming.unassigned_cpus(), cpu_shortfall, unmet_demands = scheduler.unmet_demands.len(), leaving = scheduler.draining.len(), "scale-out computed the CPU shortfall and the unmet demands");
        for unmet_demand in self.demands_to_rent_for(&incoming, cache, scheduler) {
            let tasks_left =
                tasks_to_rent_for(&unmet_demand, &mut cpu_shortfall, &mut incoming, cache);
            let rented = self.rent_machines_for(
                now,
                &unmet_demand,
                tasks_left,
                &mut incoming,
                &catalog,
                cache,
            );
            if rented.is_break() {
                return;
            }
        }
    }

    /// Returns the CPU capacity, in thousandths of a CPU, that arrays lack to meet their deadlines and to
    /// keep up with their arrival rate.
    fn cpu_shortfall(&self, catalog: &Catalog, incoming: &IncomingMachines) -> u64 {
        let boot_s = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let services = self.load_history.latest().services;
        let capacity = (self.capacity.total + incoming.unassigned_cpus()).saturating_sub(services);
        self.load_history
            .cpu_shortfall(self.unix_time, capacity, boot_s)
    }

    /// Returns the demands to rent machines for. Services and gangs, whose tasks must run concurrently, come
    /// first; arrays share the remaining incoming capacity.
    fn demands_to_rent_for(
        &self,
        incoming: &IncomingMachines,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<UnmetDemand> {
        let mut unmet_demands = scheduler.unmet_demands.clone();
        let on_demand = self.capacity.on_demand + incoming.unassigned_on_demand_cpus();
        let needed_on_demand = self.load_history.latest().services + self.service_reserve;
        // Spare on-demand capacity is rented in advance, so that new replicas do not wait for a boot.
        if on_demand < needed_on_demand
            && !unmet_demands
                .iter()
                .any(|demand| demand.must_run_concurrently)
        {
            unmet_demands.extend(one_replica_demand(cache));
        }
        unmet_demands.sort_by_key(|demand| !demand.must_run_concurrently);
        merge_compatible_demands(unmet_demands, cache)
    }

    /// Requests machines for `tasks_left` tasks of a demand, from the cheapest offers that may be requested.
    /// Returns `Break` if no more requests may be added in this step.
    fn rent_machines_for(
        &mut self,
        now: MonotonicTime,
        unmet_demand: &UnmetDemand,
        mut tasks_left: u64,
        incoming: &mut IncomingMachines,
        catalog: &Catalog,
        cache: &WatchCache,
    ) -> ControlFlow<()> {
        while tasks_left > 0 {
            let cheapest = cheapest_offer(&self.rentals, catalog, cache, unmet_demand, tasks_left);
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
            let machines = tasks_left.div_ceil(tasks_per_machine);
            let count = machines.min(MAX_MACHINES_PER_RENTAL.into()) as u32;
            let covered = tasks_left.min(tasks_per_machine * u64::from(count));
            let tasks_on_last = covered - tasks_per_machine * (u64::from(count) - 1);
            tasks_left -= covered;
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

/// Returns a demand for one replica of the first service, or `None` without services.
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

/// Returns the number of a demand's tasks for which to rent machines. Tasks of arrays can run one after
/// another, so only as many are counted as the CPU shortfall requires. Demands that must run concurrently,
/// and those that no existing or incoming machine can run, are assigned to incoming machines first, and the
/// remaining tasks are counted.
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

/// Returns whether any existing or incoming machine can run the demand's tasks, even if it is busy now. If
/// there is none, a machine must be rented even if all others are idle.
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

/// Merges the demands of arrays with equal needs and equal machine constraints, because the number of rent
/// requests is limited and each can rent many machines. A merged demand keeps the position of its first one.
fn merge_compatible_demands(
    unmet_demands: Vec<UnmetDemand>,
    cache: &WatchCache,
) -> Vec<UnmetDemand> {
    let mut merged: Vec<UnmetDemand> = Vec::new();
    for unmet_demand in unmet_demands {
        let spec = |demand: &UnmetDemand| cache.jobs.get(&demand.job).map(|j| j.spec.clone());
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
