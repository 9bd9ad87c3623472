//! Machines that were rented and have no record in the key-value store yet.

use super::machine_offer::MachineOffer;
use crate::ids::{MachineId, MachineTypeName, Millis, MonotonicTime};
use crate::protocol::ListedMachine;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// Past this many boot times a machine is not counted on.
const LATE_BOOT_FACTOR: f64 = 2.0;
/// Past this many boot times a machine will not come up any more.
const FAILED_BOOT_FACTOR: f64 = 4.0;
/// Seconds that a boot is taken to last at least before it counts as failed.
const MIN_BOOT_S: f64 = 10.0;
/// Seconds that a machine of an unknown type is taken to boot.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that was not listed for so long is forgotten: the cloud has it no more.
const UNLISTED_EXPIRY: Millis = Millis(30_000);

/// A machine that boots.
#[derive(Clone, Debug)]
struct Boot {
    offer: MachineOffer,
    rented_at: MonotonicTime,
    /// When the cloud last answered or listed it.
    last_listed: MonotonicTime,
}

/// The machines that boot, by id.
#[derive(Debug, Default)]
pub(super) struct Boots {
    machines: BTreeMap<MachineId, Boot>,
}

impl Boots {
    /// How many machines boot.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Records a machine that the cloud lists and that has no record yet.
    pub(super) fn on_listed(&mut self, now: MonotonicTime, machine: ListedMachine) {
        let boot = Boot {
            offer: MachineOffer::of_listed(&machine),
            rented_at: now - Millis::from_secs(machine.age_s),
            last_listed: now,
        };
        self.machines
            .entry(machine.id)
            .and_modify(|known| known.last_listed = now)
            .or_insert(boot);
    }

    /// Records machines that a rental has brought. `rented`: when the rental was decided.
    pub(super) fn on_rented(
        &mut self,
        now: MonotonicTime,
        machines: Vec<MachineId>,
        offer: &MachineOffer,
        rented_at: MonotonicTime,
    ) {
        for id in machines {
            let boot = Boot {
                offer: offer.clone(),
                rented_at,
                last_listed: now,
            };
            self.machines.entry(id).or_insert(boot);
        }
    }

    /// Forgets a machine that is deleted.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Forgets machines that have come up, and those that the cloud lists no more.
    pub(super) fn prune(&mut self, now: MonotonicTime, cache: &WatchCache) {
        self.machines.retain(|id, boot| {
            !cache.machines.contains_key(id) && now.since(boot.last_listed) < UNLISTED_EXPIRY
        });
    }

    /// What boots, in the order of ids.
    pub(super) fn offers(&self) -> impl Iterator<Item = &MachineOffer> {
        self.machines.values().map(|boot| &boot.offer)
    }

    /// What boots and is not late, in the order of ids.
    pub(super) fn offers_in_time(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
    ) -> impl Iterator<Item = &MachineOffer> {
        let in_time = move |boot: &&Boot| {
            let late = LATE_BOOT_FACTOR * boot_s(&boot.offer.type_name, cache);
            now.since(boot.rented_at) < Millis::from_secs(late)
        };
        let boots = self.machines.values().filter(in_time);
        boots.map(|boot| &boot.offer)
    }

    /// Machines that have taken far too long to boot.
    pub(super) fn failed(&self, now: MonotonicTime, cache: &WatchCache) -> Vec<MachineId> {
        let limit = |boot: &Boot| {
            let boot_s = boot_s(&boot.offer.type_name, cache);
            Millis::from_secs(FAILED_BOOT_FACTOR * boot_s.max(MIN_BOOT_S))
        };
        let late = self
            .machines
            .iter()
            .filter(|(_, boot)| now.since(boot.rented_at) > limit(boot));
        late.map(|(id, _)| id.clone()).collect()
    }
}

/// Seconds that a machine of a type takes to boot, by the catalog.
fn boot_s(type_name: &MachineTypeName, cache: &WatchCache) -> f64 {
    cache
        .machine_type(type_name)
        .map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}
