//! The choice of what to rent for a demand.

use super::machine_offer::MachineOffer;
use super::rentals::Rentals;
use crate::ids::Zone;
use crate::placement::UnmetDemand;
use crate::protocol::{Catalog, MachineType};
use crate::store::watch_cache::WatchCache;

/// An offer that can serve a demand.
pub(super) struct CheapestOffer<'a> {
    /// Its type, as the catalog has it.
    pub(super) machine_type: &'a MachineType,
    /// What to ask the cloud for.
    pub(super) offer: MachineOffer,
    /// The price of one task.
    cost_per_task: f64,
    /// Machines in its zone already.
    machines_in_zone: usize,
}

impl CheapestOffer<'_> {
    /// Cheaper, or as cheap in a zone with fewer machines.
    fn is_better_than(&self, other: &Self) -> bool {
        (self.cost_per_task, self.machines_in_zone) < (other.cost_per_task, other.machines_in_zone)
    }
}

/// The offer that does a demand's work for the least, among those that may be asked for now.
/// `tasks`: how many of its tasks are to be served.
pub(super) fn cheapest_offer<'a>(
    rentals: &Rentals,
    catalog: &'a Catalog,
    cache: &WatchCache,
    unmet_demand: &UnmetDemand,
    tasks: u64,
) -> Option<CheapestOffer<'a>> {
    let spec = &cache.jobs.get(&unmet_demand.job)?.spec;
    let mut best: Option<CheapestOffer<'a>> = None;
    for machine_type in &catalog.types {
        let tasks_per_machine = unmet_demand.need.fit_count(machine_type.capacity());
        if tasks_per_machine == 0 {
            continue;
        }
        // Others will join a replica; a batch leaves with its last task.
        let tasks = if unmet_demand.must_run_concurrently {
            tasks_per_machine
        } else {
            tasks
        };
        let machines = tasks.div_ceil(tasks_per_machine);
        for offer in offers_of(machine_type) {
            if !offer.is_allowed_by(spec) || !rentals.may_request(&offer) {
                continue;
            }
            let candidate = CheapestOffer {
                machine_type,
                cost_per_task: offer.price(machine_type) * machines as f64 / tasks as f64,
                machines_in_zone: machines_in(&offer.zone, cache),
                offer,
            };
            if best.as_ref().is_none_or(|b| candidate.is_better_than(b)) {
                best = Some(candidate);
            }
        }
    }
    best
}

/// All offers of a machine type, zone by zone, spot before on-demand.
fn offers_of(machine_type: &MachineType) -> impl Iterator<Item = MachineOffer> {
    machine_type.zones.iter().flat_map(|zone| {
        [true, false].map(|spot| MachineOffer {
            type_name: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    })
}

fn machines_in(zone: &Zone, cache: &WatchCache) -> usize {
    let machines = cache.machines.values();
    machines.filter(|m| m.record.zone == *zone).count()
}
