//! Machines that have been rented and do not have a record in the key-value store yet.

use super::machine_offer::MachineOffer;
use crate::ids::{MachineId, MachineTypeName, Millis, MonotonicTime};
use crate::protocol::ListedMachine;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// After this multiple of its type's boot time, a machine no longer counts as incoming capacity.
const LATE_BOOT_FACTOR: f64 = 2.0;
/// After this multiple of its type's boot time, a boot counts as failed.
const FAILED_BOOT_FACTOR: f64 = 4.0;
/// The shortest boot time, in seconds, that is assumed when deciding whether a boot has failed.
const MIN_BOOT_S: f64 = 10.0;
/// The boot time, in seconds, that is assumed for machine types that are not in the catalog.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A booting machine that the cloud has not listed for this long no longer exists and is removed.
const UNLISTED_EXPIRY: Millis = Millis(30_000);

/// A booting machine.
#[derive(Clone, Debug)]
struct Boot {
    offer: MachineOffer,
    rented_at: MonotonicTime,
    /// When the cloud last reported this machine, in a list or in the response to the rent request.
    last_listed: MonotonicTime,
}

/// The booting machines, by id.
#[derive(Debug, Default)]
pub(super) struct Boots {
    machines: BTreeMap<MachineId, Boot>,
}

impl Boots {
    /// Returns the number of booting machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Records a machine that the cloud lists and that does not have a record in the store yet.
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

    /// Records the machines of a successful rental. `rented_at` is the time when the rental was decided.
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

    /// Removes a deleted machine.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Removes machines that have booted, and machines that the cloud no longer lists.
    pub(super) fn prune(&mut self, now: MonotonicTime, cache: &WatchCache) {
        self.machines.retain(|id, boot| {
            !cache.machines.contains_key(id) && now.since(boot.last_listed) < UNLISTED_EXPIRY
        });
    }

    /// Returns the offers of all booting machines, in the order of machine ids.
    pub(super) fn offers(&self) -> impl Iterator<Item = &MachineOffer> {
        self.machines.values().map(|boot| &boot.offer)
    }

    /// Returns the offers of the booting machines that are not late, in the order of machine ids.
    pub(super) fn offers_in_time(
        &self,
        now: MonotonicTime,
        cache: &WatchCache,
    ) -> impl Iterator<Item = &MachineOffer> {
        let in_time = move |boot: &&Boot| {
            let late_after_s = LATE_BOOT_FACTOR * boot_s(&boot.offer.type_name, cache);
            now.since(boot.rented_at) < Millis::from_secs(late_after_s)
        };
        let boots = self.machines.values().filter(in_time);
        boots.map(|boot| &boot.offer)
    }

    /// Returns the machines whose boot has taken longer than [`FAILED_BOOT_FACTOR`] times the boot time of
    /// their type. Such a boot counts as failed.
    pub(super) fn failed_machines(&self, now: MonotonicTime, cache: &WatchCache) -> Vec<MachineId> {
        let limit = |boot: &Boot| {
            let boot_s = boot_s(&boot.offer.type_name, cache);
            Millis::from_secs(FAILED_BOOT_FACTOR * boot_s.max(MIN_BOOT_S))
        };
        let failed = self
            .machines
            .iter()
            .filter(|(_, boot)| now.since(boot.rented_at) > limit(boot));
        failed.map(|(id, _)| id.clone()).collect()
    }
}

/// Returns the boot time of a machine type in seconds, from the catalog.
fn boot_s(type_name: &MachineTypeName, cache: &WatchCache) -> f64 {
    cache
        .machine_type(type_name)
        .map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}
