//! Schedules for fetching the cloud's catalog and its list of machines.

use crate::ids::{Millis, MonotonicTime};
use crate::protocol::{Catalog, MachineType};
use crate::store::watch_cache::WatchCache;

/// The time from the end of one list request to the next.
const LIST_INTERVAL: Millis = Millis(2500);
/// The time between a fetched catalog and the next request.
const CATALOG_INTERVAL: Millis = Millis(60_000);
/// The delay before the catalog is requested again after a failed request.
const CATALOG_RETRY_DELAY: Millis = Millis(1000);
/// The catalog is requested again if a request has not been answered within this time.
const CATALOG_TIMEOUT: Millis = Millis(5000);

/// The schedule of list requests. At most one is in flight at a time.
#[derive(Debug, Default)]
pub(super) struct MachineListPoll {
    next_at: MonotonicTime,
    in_flight: bool,
}

impl MachineListPoll {
    /// Makes the next request due immediately, unless one is in flight.
    pub(super) fn begin_term(&mut self, now: MonotonicTime) {
        self.next_at = now;
    }

    /// Returns whether the list must be requested now. If so, the request counts as in flight.
    pub(super) fn start_if_due(&mut self, now: MonotonicTime) -> bool {
        let due = !self.in_flight && now >= self.next_at;
        self.in_flight |= due;
        due
    }

    /// Records that the request in flight has ended, successfully or not.
    pub(super) fn finish(&mut self, now: MonotonicTime) {
        self.in_flight = false;
        self.next_at = now + LIST_INTERVAL;
    }
}

/// The schedule of catalog requests, and the latest catalog received.
#[derive(Debug, Default)]
pub(super) struct CatalogPoll {
    next_at: MonotonicTime,
    latest: Option<Catalog>,
}

impl CatalogPoll {
    /// Returns whether the catalog must be requested now. If so, the next request is due after
    /// [`CATALOG_TIMEOUT`].
    pub(super) fn start_if_due(&mut self, now: MonotonicTime) -> bool {
        let due = now >= self.next_at;
        if due {
            self.next_at = now + CATALOG_TIMEOUT;
        }
        due
    }

    /// Handles the response to a catalog request. `None` means that the request failed.
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

    /// Returns the latest catalog received, or the stored one if none has been received.
    pub(super) fn current<'a>(&'a self, cache: &'a WatchCache) -> Option<&'a Catalog> {
        let stored = cache.catalog.as_ref().map(|c| &c.value);
        self.latest.as_ref().or(stored)
    }

    /// Returns the catalog to store, if it differs from the stored one in more than prices. Prices change
    /// constantly, so they are stored only together with another change.
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
