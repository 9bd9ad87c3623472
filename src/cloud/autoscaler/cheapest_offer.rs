//! Selection of the offer to rent for an unmet demand.

use super::machine_offer::MachineOffer;
use super::rentals::Rentals;
use crate::ids::Zone;
use crate::placement::UnmetDemand;
use crate::protocol::{Catalog, MachineType};
use crate::store::watch_cache::WatchCache;

/// An offer that can serve a demand.
pub(super) struct CheapestOffer<'a> {
    /// The machine type, from the catalog.
    pub(super) machine_type: &'a MachineType,
    /// The offer to request from the cloud.
    pub(super) offer: MachineOffer,
    /// The price of the machines divided by the number of tasks that they serve.
    cost_per_task: f64,
    /// The number of machines that are already in its zone.
    machines_in_zone: usize,
}

impl CheapestOffer<'_> {
    /// Returns whether this offer is cheaper, or equally cheap and in a zone with fewer machines.
    fn is_better_than(&self, other: &Self) -> bool {
        (self.cost_per_task, self.machines_in_zone) < (other.cost_per_task, other.machines_in_zone)
    }
}

/// Returns the offer with the lowest cost per task for a demand, among those that may be requested now.
/// `tasks` is the number of the demand's tasks to serve.
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
        // A machine rented for a replica also receives other tasks, so it is priced as if full. A machine
        // rented for an array is returned after the array's last task.
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

/// Returns all offers of a machine type, zone by zone, spot before on-demand.
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
