//! Machines that are on their way: they boot, or were asked for.

use super::boots::Boots;
use super::machine_offer::MachineOffer;
use super::rentals::Rentals;
use crate::ids::{MachineTypeName, MonotonicTime, Resources};
use crate::placement::UnmetDemand;
use crate::protocol::{Catalog, JobSpec, MachineType};
use crate::store::watch_cache::WatchCache;

/// A machine that is on its way, and the capacity on it that is not counted on yet.
struct IncomingMachine {
    offer: MachineOffer,
    free: Resources,
}

/// The machines that demand may count on before they are there.
pub(super) struct IncomingMachines {
    machines: Vec<IncomingMachine>,
}

impl IncomingMachines {
    /// Machines that boot and are not late, and those that were asked for, of known types.
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

    /// The CPUs (in thousandths) that are not counted on yet.
    pub(super) fn cpus(&self) -> u64 {
        self.machines.iter().map(|m| m.free.milli_cpus).sum()
    }

    /// Those of them on machines that the cloud does not take back.
    pub(super) fn on_demand_cpus(&self) -> u64 {
        let on_demand = self.machines.iter().filter(|m| !m.offer.spot);
        on_demand.map(|m| m.free.milli_cpus).sum()
    }

    /// Adds a machine that was just asked for, with what is free on it.
    pub(super) fn add(&mut self, offer: MachineOffer, free: Resources) {
        self.machines.push(IncomingMachine { offer, free });
    }

    /// Places as many tasks of a demand on these machines as they hold; returns how many are left.
    pub(super) fn place(&mut self, unmet_demand: &UnmetDemand, spec: &JobSpec) -> u64 {
        let mut left = unmet_demand.tasks;
        for machine in &mut self.machines {
            if left > 0 && machine.offer.is_allowed_by(spec) {
                let tasks = unmet_demand.need.fit_count(machine.free).min(left);
                machine.free = machine.free - unmet_demand.need.times(tasks);
                left -= tasks;
            }
        }
        left
    }

    /// What is on its way, whatever is free on it.
    pub(super) fn offers(&self) -> impl Iterator<Item = &MachineOffer> {
        self.machines.iter().map(|m| &m.offer)
    }
}
