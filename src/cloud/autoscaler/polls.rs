//! When the cloud's catalog and its list of machines are asked for.

use crate::ids::{Millis, MonotonicTime};
use crate::protocol::{Catalog, MachineType};
use crate::store::watch_cache::WatchCache;

/// The time between two lists of machines.
const LIST_INTERVAL: Millis = Millis(2500);
/// The time between two catalogs.
const CATALOG_INTERVAL: Millis = Millis(60_000);
/// How soon the catalog is asked for again after a failure.
const CATALOG_RETRY_DELAY: Millis = Millis(1000);
/// How soon the catalog is asked for again when no answer comes.
const CATALOG_TIMEOUT: Millis = Millis(5000);

/// Asks for the list of machines, one call at a time.
#[derive(Debug, Default)]
pub(super) struct MachineListPoll {
    next_at: MonotonicTime,
    in_flight: bool,
}

impl MachineListPoll {
    /// Makes the next call due; one that is under way is still waited for.
    pub(super) fn begin_term(&mut self, now: MonotonicTime) {
        self.next_at = now;
    }

    /// Whether the list is to be asked for now; the caller then does so.
    pub(super) fn start_if_due(&mut self, now: MonotonicTime) -> bool {
        let due = !self.in_flight && now >= self.next_at;
        self.in_flight |= due;
        due
    }

    /// Records that the call has ended, with or without a list.
    pub(super) fn finish(&mut self, now: MonotonicTime) {
        self.in_flight = false;
        self.next_at = now + LIST_INTERVAL;
    }
}

/// Asks for the catalog, and keeps the latest.
#[derive(Debug, Default)]
pub(super) struct CatalogPoll {
    next_at: MonotonicTime,
    latest: Option<Catalog>,
}

impl CatalogPoll {
    /// Whether the catalog is to be asked for now; the caller then does so.
    pub(super) fn start_if_due(&mut self, now: MonotonicTime) -> bool {
        let due = now >= self.next_at;
        if due {
            self.next_at = now + CATALOG_TIMEOUT;
        }
        due
    }

    /// Takes the cloud's answer; `None`: the call failed.
    pub(super) fn finish(&mut self, now: MonotonicTime, catalog: Option<Catalog>) {
        let delay = match catalog {
            Some(_) => CATALOG_INTERVAL,
            None => CATALOG_RETRY_DELAY,
        };
        self.next_at = now + delay;
        if catalog.is_some() {
            self.latest = catalog;
        }
    }

    /// The latest catalog, or else the stored one.
    pub(super) fn current<'a>(&'a self, cache: &'a WatchCache) -> Option<&'a Catalog> {
        let stored = cache.catalog.as_ref().map(|c| &c.value);
        self.latest.as_ref().or(stored)
    }

    /// The catalog to write, if the stored one is another; prices move all the time and are only
    /// stored along with a change of substance.
    pub(super) fn to_store(&self, cache: &WatchCache) -> Option<&Catalog> {
        let latest = self.latest.as_ref()?;
        let same = cache
            .catalog
            .as_ref()
            .is_some_and(|stored| without_prices(&stored.value) == without_prices(latest));
        (!same).then_some(latest)
    }
}

fn without_prices(catalog: &Catalog) -> Vec<MachineType> {
    let strip = |machine_type: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..machine_type.clone()
    };
    catalog.types.iter().map(strip).collect()
}

#[cfg(test)]
mod tests;
