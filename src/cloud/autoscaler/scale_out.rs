//! What is rented: for what found no room, less what is already on its way.

use super::*;

const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Rentals that wait for their answers at most.
const MAX_PENDING_RENTALS: usize = 16;
/// Past this many boot times a machine is not counted on.
const LATE_BOOT_FACTOR: f64 = 2.0;

/// A machine that is on its way, and the room on it that is not counted on yet.
struct IncomingMachine {
    type_name: TypeName,
    zone: Zone,
    spot: bool,
    room: Resources,
}

impl Autoscaler {
    pub(super) fn scale_out(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        // What an earlier leader has just rented shows in the list only after its lag: until
        // then a new one would rent it all again.
        if now.since(self.term_since) < self.config.list_lag + Millis(1500) {
            return;
        }
        let stored = cache.catalog.as_ref().map(|c| &c.value);
        let Some(catalog) = self.catalog.as_ref().or(stored).cloned() else {
            return;
        };
        let mut incoming = self.incoming(now, &catalog, cache);
        let mut cpu_shortfall = self.cpu_shortfall(&catalog, &incoming);
        if scheduler.unmet_demands.iter().any(|s| s.together) || cpu_shortfall > 0 {
            let mut wanted = cpu_shortfall.max(1);
            self.reclaim_leaving(&mut wanted, cache, scheduler);
            cpu_shortfall = cpu_shortfall.min(wanted);
        }
        tracing::debug!(load = ?self.load, capacity = self.capacity, on_the_way = cpus(&incoming), cpu_shortfall, unmet_demands = scheduler.unmet_demands.len(), leaving = scheduler.leaving.len(), "autoscaler step");
        for unmet_demand in self.wanted(&incoming, cache, scheduler) {
            let left = lacking_tasks(&unmet_demand, &mut cpu_shortfall, &mut incoming, cache);
            if !self.rent_machines_for(now, &unmet_demand, left, &mut incoming, &catalog, cache) {
                return;
            }
        }
    }

    /// Machines that boot in time, and those that were asked for.
    fn incoming(
        &self,
        now: MonotonicTime,
        catalog: &Catalog,
        cache: &WatchCache,
    ) -> Vec<IncomingMachine> {
        let room = |name: &TypeName| {
            let machine_type = catalog.types.iter().find(|t| t.name == *name);
            machine_type.map(MachineType::room)
        };
        let mut incoming = Vec::new();
        for boot in self.booting.values() {
            let late = LATE_BOOT_FACTOR * self.boot_time(&boot.type_name, cache);
            let in_time = now.since(boot.rented) < Millis::from_secs(late);
            incoming.extend(room(&boot.type_name).filter(|_| in_time).map(|room| {
                IncomingMachine {
                    type_name: boot.type_name.clone(),
                    zone: boot.zone.clone(),
                    spot: boot.spot,
                    room,
                }
            }));
        }
        for request in self.rentals.iter().map(|r| &r.request) {
            for _ in 0..request.count {
                incoming.extend(room(&request.type_name).map(|room| IncomingMachine {
                    type_name: request.type_name.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    room,
                }));
            }
        }
        incoming
    }

    /// The CPUs that arrays lack, by their deadlines and by what comes in.
    fn cpu_shortfall(&self, catalog: &Catalog, incoming: &[IncomingMachine]) -> u64 {
        let boot = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let capacity = (self.capacity + cpus(incoming)).saturating_sub(self.load.services);
        let cpu_shortfall = demand::lacking(&self.batches, capacity as f64, boot) as u64;
        cpu_shortfall.max(
            self.arrival_rate
                .cpus(self.unix_time)
                .saturating_sub(capacity),
        )
    }

    /// The shortages to rent for. What must run all at once comes first: the rest shares what is
    /// left.
    fn wanted(
        &self,
        incoming: &[IncomingMachine],
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<UnmetDemand> {
        let mut unmet_demands = scheduler.unmet_demands.clone();
        let steady_coming: u64 = incoming
            .iter()
            .filter(|c| !c.spot)
            .map(|c| c.room.cpus)
            .sum();
        let on_demand = self.on_demand + steady_coming;
        // The next replicas must not wait for a machine to boot.
        if on_demand < self.load.services + self.spare && !unmet_demands.iter().any(|s| s.together)
        {
            let mut jobs = cache.jobs.iter();
            let service = jobs.find(|(_, j)| j.spec.kind == JobKind::Service);
            unmet_demands.extend(service.map(|(id, job)| UnmetDemand {
                job: id.clone(),
                need: job.spec.need(),
                tasks: 1,
                seconds: 0.0,
                priority: job.spec.priority,
                together: true,
                cached_only: false,
            }));
        }
        unmet_demands.sort_by_key(|s| !s.together);
        merged(unmet_demands, cache)
    }

    /// Asks for machines for so many tasks, of the cheapest kinds that the cloud may have.
    /// `false`: no more may be asked for now.
    fn rent_machines_for(
        &mut self,
        now: MonotonicTime,
        unmet_demand: &UnmetDemand,
        mut left: u64,
        incoming: &mut Vec<IncomingMachine>,
        catalog: &Catalog,
        cache: &WatchCache,
    ) -> bool {
        while left > 0 {
            let Some((machine_type, zone, spot)) =
                self.cheapest(catalog, cache, unmet_demand, left)
            else {
                break;
            };
            let per = unmet_demand.need.count_in(machine_type.room()).max(1);
            let count = left.div_ceil(per).min(MAX_MACHINES_PER_RENTAL.into()) as u32;
            let covered = left.min(per * u64::from(count));
            let last = covered - per * (u64::from(count) - 1);
            left -= covered;
            incoming.push(IncomingMachine {
                type_name: machine_type.name.clone(),
                zone: zone.clone(),
                spot,
                room: machine_type.room() - unmet_demand.need.times(last),
            });
            self.counter += 1;
            let request = RentRequest {
                // The term makes the name unique among all that ever led.
                request: format!("r-{}-{}", self.term, self.counter),
                type_name: machine_type.name.clone(),
                zone,
                spot,
                count,
            };
            self.rentals.push(PendingRental {
                request,
                sent: false,
                retry_at: now,
                since: now,
            });
            if self.rentals.len() > MAX_PENDING_RENTALS {
                return false;
            }
        }
        true
    }

    /// The type, zone and kind that does a shortage's work for the least, among those that the
    /// cloud has not refused lately.
    pub(super) fn cheapest<'a>(
        &self,
        catalog: &'a Catalog,
        cache: &WatchCache,
        unmet_demand: &UnmetDemand,
        left: u64,
    ) -> Option<(&'a MachineType, Zone, bool)> {
        let spec = &cache.jobs.get(&unmet_demand.job)?.spec;
        let mut best: Option<(f64, usize, &MachineType, Zone, bool)> = None;
        for machine_type in &catalog.types {
            let per = unmet_demand.need.count_in(machine_type.room());
            if per == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let kind = (machine_type.name.clone(), zone.clone(), spot);
                    let pending = self.rentals.iter().any(|r| {
                        (&r.request.type_name, &r.request.zone, r.request.spot)
                            == (&kind.0, &kind.1, kind.2)
                    });
                    if !spec.allows(&kind.0, zone, spot)
                        || self.no_capacity.contains_key(&kind)
                        || pending
                    {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    // Others will join a replica; a batch leaves with its last task.
                    let tasks = if unmet_demand.together { per } else { left };
                    let cost = price * tasks.div_ceil(per) as f64 / tasks as f64;
                    let here = cache
                        .machines
                        .values()
                        .filter(|m| m.record.zone == *zone)
                        .count();
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, ..)| (cost, here) < (*c, *n));
                    if better {
                        best = Some((cost, here, machine_type, zone.clone(), spot));
                    }
                }
            }
        }
        best.map(|(_, _, t, zone, spot)| (t, zone, spot))
    }
}

fn cpus(incoming: &[IncomingMachine]) -> u64 {
    incoming.iter().map(|c| c.room.cpus).sum()
}

/// The tasks of a shortage for which machines are to be rented. Tasks of arrays follow one another:
/// only what their deadlines ask for is. What is on its way serves first those that must run all
/// at once.
fn lacking_tasks(
    unmet_demand: &UnmetDemand,
    cpu_shortfall: &mut u64,
    incoming: &mut [IncomingMachine],
    cache: &WatchCache,
) -> u64 {
    let Some(job) = cache.jobs.get(&unmet_demand.job) else {
        return 0;
    };
    let spec = &job.spec;
    let at_once = unmet_demand.together || !is_served(unmet_demand, spec, incoming, cache);
    if !at_once {
        let cpus = unmet_demand.need.cpus;
        let tasks = cpu_shortfall.div_ceil(cpus.max(1)).min(unmet_demand.tasks);
        *cpu_shortfall = cpu_shortfall.saturating_sub(tasks * cpus);
        return tasks;
    }
    let mut left = unmet_demand.tasks;
    for machine in incoming {
        if left > 0 && spec.allows(&machine.type_name, &machine.zone, machine.spot) {
            let tasks = unmet_demand.need.count_in(machine.room).min(left);
            machine.room = machine.room - unmet_demand.need.times(tasks);
            left -= tasks;
        }
    }
    left
}

/// Whether any machine of the fleet, or on its way, may run a shortage's tasks, however busy it
/// is. Otherwise it needs one, however idle the others are.
fn is_served(
    unmet_demand: &UnmetDemand,
    spec: &JobSpec,
    incoming: &[IncomingMachine],
    cache: &WatchCache,
) -> bool {
    let fits = |type_name: &TypeName, zone: &Zone, spot: bool| {
        let machine_type = cache.machine_type(type_name);
        spec.allows(type_name, zone, spot)
            && machine_type.is_some_and(|t| unmet_demand.need.fits(t.room()))
    };
    let mut there = cache.machines.values().map(|m| &m.record);
    incoming.iter().any(|c| fits(&c.type_name, &c.zone, c.spot))
        || there.any(|r| fits(&r.type_name, &r.zone, r.spot))
}

/// Arrays that may use the same machines rent together: calls are few, and each may bring many
/// machines. They keep the place of the first of them.
fn merged(unmet_demands: Vec<UnmetDemand>, cache: &WatchCache) -> Vec<UnmetDemand> {
    let mut list: Vec<UnmetDemand> = Vec::new();
    for unmet_demand in unmet_demands {
        let spec = |s: &UnmetDemand| cache.jobs.get(&s.job).map(|j| j.spec.clone());
        let same = |other: &&mut UnmetDemand| {
            let alike = match (spec(&unmet_demand), spec(other)) {
                (Some(a), Some(b)) => (&a.types, &a.zone, a.spot) == (&b.types, &b.zone, b.spot),
                _ => false,
            };
            alike && !unmet_demand.together && !other.together && other.need == unmet_demand.need
        };
        match list.iter_mut().find(same) {
            Some(other) => other.tasks += unmet_demand.tasks,
            None => list.push(unmet_demand),
        }
    }
    list
}
