//! Incoming machines: those that are booting and those that have been requested.

use super::boots::Boots;
use super::machine_offer::MachineOffer;
use super::rentals::Rentals;
use crate::ids::{MachineTypeName, MonotonicTime, Resources};
use crate::placement::UnmetDemand;
use crate::protocol::{Catalog, JobSpec, MachineType};
use crate::store::watch_cache::WatchCache;

/// An incoming machine, and its capacity that is not assigned to a demand yet.
struct IncomingMachine {
    offer: MachineOffer,
    free: Resources,
}

/// The incoming machines that unmet demands can be assigned to before the machines are up.
pub(super) struct IncomingMachines {
    machines: Vec<IncomingMachine>,
}

impl IncomingMachines {
    /// Collects the booting machines that are not late and the requested machines, as far as their types are
    /// in the catalog.
    pub(super) fn collect(
        now: MonotonicTime,
        boots: &Boots,
        rentals: &Rentals,
        catalog: &Catalog,
        cache: &WatchCache,
    ) -> Self {
        let capacity = |name: &MachineTypeName| {
            let machine_type = catalog.types.iter().find(|t| t.name == *name);
            machine_type.map(MachineType::capacity)
        };
        let incoming = |offer: &MachineOffer| {
            Some(IncomingMachine {
                offer: offer.clone(),
                free: capacity(&offer.type_name)?,
            })
        };
        let mut machines: Vec<IncomingMachine> = boots
            .offers_in_time(now, cache)
            .filter_map(incoming)
            .collect();
        for rental in rentals.pending() {
            for _ in 0..rental.count {
                machines.extend(incoming(&rental.offer));
            }
        }
        Self { machines }
    }

    /// Returns the unassigned CPU capacity, in thousandths of a CPU.
    pub(super) fn unassigned_cpus(&self) -> u64 {
        self.machines.iter().map(|m| m.free.milli_cpus).sum()
    }

    /// Returns the unassigned CPU capacity on on-demand machines, in thousandths of a CPU.
    pub(super) fn unassigned_on_demand_cpus(&self) -> u64 {
        let on_demand = self.machines.iter().filter(|m| !m.offer.spot);
        on_demand.map(|m| m.free.milli_cpus).sum()
    }

    /// Adds a machine that has just been requested, with its unassigned capacity.
    pub(super) fn add(&mut self, offer: MachineOffer, free: Resources) {
        self.machines.push(IncomingMachine { offer, free });
    }

    /// Assigns as many tasks of a demand to these machines as fit, and returns the number of tasks that are
    /// left.
    pub(super) fn place(&mut self, unmet_demand: &UnmetDemand, spec: &JobSpec) -> u64 {
        let mut tasks_left = unmet_demand.tasks;
        for machine in &mut self.machines {
            if tasks_left > 0 && machine.offer.is_allowed_by(spec) {
                let tasks = unmet_demand.need.fit_count(machine.free).min(tasks_left);
                machine.free = machine.free - unmet_demand.need.times(tasks);
                tasks_left -= tasks;
            }
        }
        tasks_left
    }

    /// Returns the offers of all incoming machines, including those without unassigned capacity.
    pub(super) fn offers(&self) -> impl Iterator<Item = &MachineOffer> {
        self.machines.iter().map(|m| &m.offer)
    }
}
